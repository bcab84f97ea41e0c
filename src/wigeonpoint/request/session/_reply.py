"""Replies to the statements of a caller's session."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto


class Refusal(Enum):
    """Why a statement was not answered with its result.

    The first group guarantees that nothing of the caller's attempt is kept, the second guarantees
    nothing, and the third means that the statement itself is wrong.
    """

    OVERLOADED = auto()  # no capacity in time
    UNAVAILABLE = auto()  # no backend server can run it now
    QUOTA_EXCEEDED = auto()  # the customer has used up its quota
    ABORTED = auto()  # the transaction was rolled back

    IN_DOUBT = auto()  # it may have taken effect
    TIMED_OUT = auto()  # the backend server stopped it at its time limit
    FAILED = auto()  # the backend server ran it and failed

    MALFORMED = auto()
    UNKNOWN_STATEMENT = auto()  # no prepared statement of that name
    UNKNOWN_DATABASE = auto()
    UNAUTHENTICATED = auto()  # no customer has the caller's key
    TOO_LARGE = auto()

    @property
    def guarantees_no_effect(self) -> bool:
        """Whether the refusal guarantees that nothing of the caller's attempt is kept."""
        return self in (
            Refusal.OVERLOADED,
            Refusal.UNAVAILABLE,
            Refusal.QUOTA_EXCEEDED,
            Refusal.ABORTED,
        )


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to one statement.

    Attributes:
        rows: Rows of the backend server, unchanged.
        proof: The backend server's proof, None for a statement that needs none.
        refusal: Why there is no result, or None.
        message: Explanation of a refusal, for the caller.
        retry_after_ms: Milliseconds after which a retry may succeed, or None.
    """

    rows: list[str] = field(default_factory=list)
    proof: str | None = None
    refusal: Refusal | None = None
    message: str = ""
    retry_after_ms: int | None = None


def refuse_statement(refusal: Refusal, message: str, *, retry_after_ms: int | None = None) -> Reply:
    """Builds the reply of a refusal."""
    return Reply(refusal=refusal, message=message, retry_after_ms=retry_after_ms)
