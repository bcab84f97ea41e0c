"""State of a request across its attempts, and the outcome that its failures add up to."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection import Session
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.process._deadlines import remaining_s
from wigeonpoint.request import Access, RetryBudget, StatementRequest
from wigeonpoint.version import GroupView, Pool, Route

ATTEMPTS_BEFORE_ACCEPT_ANY = 2
BUDGET_RETRY_AFTER_MS = 250

RETRYABLE_CODES = frozenset(
    {
        ResultCode.NO_PRIMARY,
        ResultCode.NOT_OWNER,
        ResultCode.NOT_PRIMARY,
        ResultCode.BACKEND_UNREACHABLE,
        ResultCode.BACKEND_LEAVING,
        ResultCode.CONNECTION_LIMIT,
        ResultCode.PEER_UNREACHABLE,
        ResultCode.INSTANCE_STOPPING,
        ResultCode.MEMBER_BEHIND,
        ResultCode.AGE_NOT_PROVABLE,
    }
)
PRIMARY_LOST_CODES = (ResultCode.NOT_PRIMARY, ResultCode.BACKEND_UNREACHABLE)


@dataclass(slots=True)
class RequestAttempt:
    """State of one request across its attempts.

    Attributes:
        request: The caller's request.
        route: Route of the request.
        pool: Pool of the route.
        group: Database group of the pool.
        session: Session of the caller.
        request_id: Id of a write, given by the caller or generated.
        retry_budget: Retry budget of the route.
        primary_id: Backend server that the current attempt uses as the primary.
        may_have_run: Whether the outcome of an earlier attempt is unknown.
        failed_attempts: Number of failed attempts.
    """

    request: StatementRequest
    route: Route
    pool: Pool
    group: GroupView
    session: Session
    request_id: str | None
    retry_budget: RetryBudget
    primary_id: str = ""
    may_have_run: bool = False
    failed_attempts: int = 0

    @property
    def required(self) -> LogPosition | None:
        """Position in the group that the session requires, or None."""
        return self.session.positions.get(self.group.name)

    @property
    def accept_any(self) -> bool:
        """Whether an instance that does not own the server may serve the request.

        Set after repeated failures, since instances may disagree on the owner.
        """
        return self.failed_attempts >= ATTEMPTS_BEFORE_ACCEPT_ANY

    @property
    def remaining_time_s(self) -> float:
        """Seconds until the deadline.

        Raises:
            NotRun: DEADLINE_UNREACHABLE when it has passed.
        """
        return remaining_s(self.request.deadline)

    def record_failure(self, error: WigeonpointError) -> WigeonpointError:
        """Records the failure of an attempt.

        Returns:
            The error to raise if no further attempt is made.

        Raises:
            WigeonpointError: The failure cannot be retried.
        """
        self.failed_attempts += 1
        if error.code == ResultCode.POSITION_LOST:
            raise error
        if isinstance(error, OutcomeUnknown):
            self.may_have_run = True
            self.group.forget_primary(self.primary_id)
        elif error.code in PRIMARY_LOST_CODES:
            self.group.forget_primary(self.primary_id)
        failure = self.outcome(error)
        if not isinstance(error, OutcomeUnknown) and error.code not in RETRYABLE_CODES:
            raise failure from error
        return failure

    def outcome(self, error: WigeonpointError) -> WigeonpointError:
        """Returns the error that is true of all attempts together.

        A refused attempt does not prove that an earlier one did not run, so the outcome is unknown
        if an earlier one may have. AGE_NOT_PROVABLE stays as it is, since reads change nothing.
        """
        if not self.may_have_run or isinstance(error, OutcomeUnknown):
            return error
        if self.request.access is Access.READ and error.code == ResultCode.AGE_NOT_PROVABLE:
            return error
        return OutcomeUnknown(
            ResultCode.DEADLINE_EXCEEDED, f"{error.message}; an earlier attempt may have run"
        )

    async def wait_before_retry(self, pause_s: float, failure: WigeonpointError) -> None:
        """Waits before the next attempt.

        Raises:
            WigeonpointError: No further attempt is allowed by the deadline or the retry budget.
        """
        if asyncio.get_running_loop().time() + pause_s >= self.request.deadline:
            raise failure
        if not self.retry_budget.take():
            raise budget_exhausted_error(failure, self.route.name)
        await asyncio.sleep(pause_s)


def budget_exhausted_error(failure: WigeonpointError, route: str) -> WigeonpointError:
    """Returns the error for an empty retry budget; unknown outcomes and age errors are kept."""
    if isinstance(failure, OutcomeUnknown) or failure.code == ResultCode.AGE_NOT_PROVABLE:
        return failure
    return NotRun(
        ResultCode.RETRY_BUDGET_EXHAUSTED,
        f"{failure.message}; the retry budget of route {route!r} is used up",
        retry_after_ms=failure.retry_after_ms or BUDGET_RETRY_AFTER_MS,
    )
