"""One request on its way through its attempts, and what its failures say about its outcome."""

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
    """State of one request.

    Attributes:
        request: What the caller asked for.
        route: Its route.
        pool: Pool of the route.
        group: Database group of the pool.
        session: The caller's session.
        request_id: Id of a write, given by the caller or generated.
        budget: Retry budget of the route.
        primary_id: Backend server that the current attempt took for the primary.
        unresolved: Whether an attempt was sent whose outcome is not known.
        count: Failed attempts.
    """

    request: StatementRequest
    route: Route
    pool: Pool
    group: GroupView
    session: Session
    request_id: str | None
    budget: RetryBudget
    primary_id: str = ""
    unresolved: bool = False
    count: int = 0

    @property
    def required(self) -> LogPosition | None:
        """Position that the session has seen in the group."""
        return self.session.positions.get(self.group.name)

    @property
    def accept_any(self) -> bool:
        """Whether any instance may serve the request, because views of ownership differ."""
        return self.count >= ATTEMPTS_BEFORE_ACCEPT_ANY

    @property
    def remaining(self) -> float:
        """Seconds until the deadline; raises DEADLINE_UNREACHABLE when it has passed."""
        return remaining_s(self.request.deadline)

    def record(self, error: WigeonpointError) -> WigeonpointError:
        """Takes the failure of an attempt.

        Returns:
            The error to raise if no further attempt is made.

        Raises:
            WigeonpointError: The failure is final.
        """
        self.count += 1
        if error.code == ResultCode.POSITION_LOST:
            raise error
        if isinstance(error, OutcomeUnknown):
            self.unresolved = True
            self.group.forget_primary(self.primary_id)
        elif error.code in PRIMARY_LOST_CODES:
            self.group.forget_primary(self.primary_id)
        failure = self.outcome(error)
        if not isinstance(error, OutcomeUnknown) and error.code not in RETRYABLE_CODES:
            raise failure from error
        return failure

    def outcome(self, error: WigeonpointError) -> WigeonpointError:
        """The error as it holds for all attempts together.

        A refusal of a later attempt says nothing about an earlier one that may have run. Only the
        refusal of an age stands, since a read changes nothing.
        """
        if not self.unresolved or isinstance(error, OutcomeUnknown):
            return error
        if self.request.access is Access.READ and error.code == ResultCode.AGE_NOT_PROVABLE:
            return error
        return OutcomeUnknown(
            ResultCode.DEADLINE_EXCEEDED, f"{error.message}; an earlier attempt may have run"
        )

    async def pause(self, pause: float, failure: WigeonpointError) -> None:
        """Waits before the next attempt, or raises the failure when none is allowed."""
        if asyncio.get_running_loop().time() + pause >= self.request.deadline:
            raise failure
        if not self.budget.take():
            raise budget_exhausted(failure, self.route.name)
        await asyncio.sleep(pause)


def budget_exhausted(failure: WigeonpointError, route: str) -> WigeonpointError:
    """The error when a route may not retry; an unknown outcome stays unknown."""
    if isinstance(failure, OutcomeUnknown) or failure.code == ResultCode.AGE_NOT_PROVABLE:
        return failure
    return NotRun(
        ResultCode.RETRY_BUDGET_EXHAUSTED,
        f"{failure.message}; the retry budget of route {route!r} is used up",
        retry_after_ms=failure.retry_after_ms or BUDGET_RETRY_AFTER_MS,
    )
