"""Result codes, outcomes and the exception tree."""

from __future__ import annotations

from enum import IntEnum, StrEnum


class Outcome(StrEnum):
    """What is known about a request when its answer is sent.

    For a write, `NOT_RUN` means that it has changed nothing and will not. For a read, it means that
    no rows are returned, even if a server may have executed it.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Numbered result of a request; `docs/ERRORS.md` lists what a caller should do for each."""

    DONE = 0

    MALFORMED_JSON = 100
    INVALID_FIELD = 101
    BODY_TOO_LARGE = 102
    UNAUTHORISED = 103
    UNKNOWN_ROUTE = 104
    UNKNOWN_TRANSACTION = 105
    FOREIGN_TRANSACTION = 106
    INVALID_SESSION_TOKEN = 107
    REQUEST_ID_CONFLICT = 108
    READ_ONLY_VIOLATION = 109
    STATEMENT_REJECTED = 110
    UNKNOWN_PATH = 111
    METHOD_NOT_ALLOWED = 112
    TRANSACTION_CONFLICT = 113
    TRANSACTION_SEQUENCE = 114

    DEADLINE_UNREACHABLE = 200
    QUEUE_FULL = 201
    NO_PRIMARY = 202
    NOT_OWNER = 203
    INSTANCE_STOPPING = 204
    AGE_NOT_PROVABLE = 205
    BACKEND_UNREACHABLE = 206
    CONNECTION_LIMIT = 207
    RETRY_BUDGET_EXHAUSTED = 208
    PEER_UNREACHABLE = 209
    NOT_PRIMARY = 210
    MEMBER_BEHIND = 211
    NO_CONFIGURATION = 212
    BACKEND_LEAVING = 213
    CANCELLED = 214
    TRANSACTION_LOST = 215

    CONNECTION_LOST = 300
    CONFIRMATION_TIMEOUT = 301
    PRIMARY_REPLACED = 302
    POSITION_LOST = 303
    DEADLINE_EXCEEDED = 304

    EDIT_CONFLICT = 400
    UNKNOWN_POOL = 401
    INVALID_ROW = 402
    UNKNOWN_GROUP = 403
    UNKNOWN_ROW = 404
    POOL_IN_USE = 405
    TABLES_INVALID = 406
    EDIT_ID_REUSED = 407
    ENTRY_UNREADABLE = 410
    DUPLICATE_ENTRY = 411
    ENTRY_WITHOUT_EFFECT = 412
    CONTRADICTING_LIMITS = 413

    STORE_UNAVAILABLE = 500
    CONDITION_FAILED = 501

    SETTINGS_UNREADABLE = 600
    SETTINGS_INVALID = 601

    INTERNAL = 900

    @property
    def label(self) -> str:
        """The lower-case name sent to callers beside the number."""
        return self.name.lower()


class WigeonpointError(Exception):
    """Base class of the errors that the package raises.

    Args:
        code: Numbered result code.
        message: A sentence that tells the user what happened and what to do.
        retry_after_ms: Milliseconds after which a retry may succeed, where one makes sense.
    """

    outcome = Outcome.NOT_RUN

    def __init__(
        self, code: ResultCode, message: str, *, retry_after_ms: int | None = None
    ) -> None:
        super().__init__(message)
        self._code = code
        self._message = message
        self._retry_after_ms = retry_after_ms
        # Id to repeat the request with, set by the instance that the caller sent it to.
        self.request_id: str | None = None
        self.transaction: str | None = None  # id of a transaction that is still open

    @property
    def code(self) -> ResultCode:
        """Numbered result code."""
        return self._code

    @property
    def message(self) -> str:
        """A sentence that tells the user what happened and what to do."""
        return self._message

    @property
    def retry_after_ms(self) -> int | None:
        """Milliseconds after which a retry may succeed, or None."""
        return self._retry_after_ms


class InvalidRequest(WigeonpointError):
    """The request is invalid and was not run; repeating it unchanged does not help."""


class NotRun(WigeonpointError):
    """The request was refused before it ran; it may be repeated."""


class OutcomeUnknown(WigeonpointError):
    """The request may or may not have run; repeat it with the same request id to find out."""

    outcome = Outcome.UNKNOWN


class ConfigurationRefused(WigeonpointError):
    """An edit of the routes or pools table was refused; the accepted state is unchanged."""


class PlatformError(WigeonpointError):
    """A service of the platform refused or failed a call."""


class StoreUnavailable(PlatformError):
    """The table service or object store did not answer; a change may have taken effect."""

    outcome = Outcome.UNKNOWN

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.STORE_UNAVAILABLE, message)


class ConditionFailed(PlatformError):
    """A conditional transaction found a row at another version than expected."""

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.CONDITION_FAILED, message)


class SettingsError(WigeonpointError):
    """The settings file cannot be read or has an invalid field."""


def error_for(
    code: ResultCode, message: str, *, retry_after_ms: int | None = None
) -> WigeonpointError:
    """Builds the exception that belongs to a result code received from a peer.

    Args:
        code: Numbered result code other than DONE.
        message: The peer's message.
        retry_after_ms: Milliseconds after which a retry may succeed.

    Returns:
        An exception of the class that covers the code's range.
    """
    if code is ResultCode.CONDITION_FAILED:
        return ConditionFailed(message)
    hundreds = code // 100
    classes: dict[int, type[WigeonpointError]] = {
        1: InvalidRequest,
        2: NotRun,
        3: OutcomeUnknown,
        4: ConfigurationRefused,
        6: SettingsError,
    }
    error_class = classes.get(hundreds, OutcomeUnknown)
    return error_class(code, message, retry_after_ms=retry_after_ms)
