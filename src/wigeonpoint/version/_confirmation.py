"""Confirmation that a majority holds what a primary answered, and that its term is current.

A member confirms (term, position) when it obeys that term, its log ends in that term, and its
position is at or past the answer's. Only statuses requested after the statement ran count, so that
a promotion before a read cannot be missed. Requests and waiting answers are ordered by a counter
rather than by the clock, whose resolution may give two of them the same time.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from wigeonpoint.backend import Backend, LogPosition, MemberRole, MemberStatus
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode
from wigeonpoint.version._configuration import Durability
from wigeonpoint.version._confirmation_stall import ConfirmationStall
from wigeonpoint.version._group_membership import GroupMembership
from wigeonpoint.version._servers import BackendServer

STATUS_TIMEOUT_S = 0.5
POLL_PAUSE_S = 0.001  # between two polls of a member that is behind
RETRY_PAUSE_S = 0.02  # between two polls of a member that did not answer


@dataclass(slots=True, eq=False)
class _Waiter:
    at: LogPosition
    server_id: str
    durability: Durability
    joined_at: int
    done: asyncio.Future[None] = field(repr=False)


@dataclass(frozen=True, slots=True)
class _Observation:
    status: MemberStatus
    requested_at: int


class GroupConfirmer:
    """Confirms answers of one group's primary by polling each member while answers wait.

    All waiting answers share the polls, so the cost of a confirmation falls as load rises.

    Args:
        servers: Members of the group.
        backend: Access to the members.
        membership: Members among which majorities are counted; None counts `servers` only.
        stall: Records how long answers wait for a majority.
    """

    def __init__(
        self,
        servers: list[BackendServer],
        backend: Backend,
        membership: GroupMembership | None = None,
        stall: ConfirmationStall | None = None,
    ) -> None:
        self._servers = servers
        self._membership = membership
        self._stall = stall or ConfirmationStall()
        self._backend = backend
        self._waiters: set[_Waiter] = set()
        self._sequence = itertools.count(1)
        self._observed: dict[str, _Observation] = {}
        self._poll_requested = asyncio.Event()
        self._pollers = [asyncio.create_task(self._poll(server)) for server in self.polled]

    @property
    def polled(self) -> list[BackendServer]:
        """Members whose status is polled."""
        return self._membership.servers if self._membership else self._servers

    @property
    def majority(self) -> int:
        """Number of listed members that form a majority; `membership` may require others too."""
        return len(self._servers) // 2 + 1

    def close(self) -> None:
        """Ends the polling tasks; waiting answers end with an unknown outcome."""
        for poller in self._pollers:
            poller.cancel()
        for waiter in self._waiters:
            if not waiter.done.done():
                waiter.done.set_exception(_primary_replaced("the group's members have changed"))
        self._waiters.clear()

    async def confirm(
        self,
        at: LogPosition,
        server_id: str,
        *,
        timeout: float,
        durability: Durability = Durability.MAJORITY,
    ) -> None:
        """Waits until an answer is confirmed.

        Args:
            at: Term and position that the answer reflects.
            server_id: Member that answered.
            timeout: Seconds to wait.
            durability: Whether a majority must hold the position or only obey the term.

        Raises:
            OutcomeUnknown: PRIMARY_REPLACED when a member obeys a later term,
                CONFIRMATION_TIMEOUT when no majority confirmed in time.
        """
        loop = asyncio.get_running_loop()
        waiter = _Waiter(at, server_id, durability, next(self._sequence), loop.create_future())
        self._waiters.add(waiter)
        self._poll_requested.set()
        try:
            with self._record_wait(durability):
                await asyncio.wait_for(waiter.done, timeout)
        except TimeoutError as error:
            raise OutcomeUnknown(
                ResultCode.CONFIRMATION_TIMEOUT,
                f"no majority confirmed term {at.term} position {at.position} in time",
            ) from error
        finally:
            self._waiters.discard(waiter)

    @contextmanager
    def _record_wait(self, durability: Durability) -> Iterator[None]:
        """Records how long an answer waits for a majority to hold its position."""
        if durability is not Durability.MAJORITY:
            yield
            return
        loop = asyncio.get_running_loop()
        started = loop.time()
        self._stall.begin(started)
        given_up = False
        try:
            yield
        except (TimeoutError, asyncio.CancelledError):
            given_up = True
            raise
        finally:
            now = loop.time()
            self._stall.end(now, timed_out=given_up, waited=now - started)

    async def _poll(self, server: BackendServer) -> None:
        member = self._backend.member(server.address)
        while True:
            await self._wait_for_waiters()
            requested_at = next(self._sequence)
            try:
                status = await member.status(timeout=STATUS_TIMEOUT_S)
            except Exception:  # if the poller ended, no later answer would be confirmed
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._observed[server.id] = _Observation(status, requested_at)
            self._evaluate()
            if self._waiters:
                await asyncio.sleep(POLL_PAUSE_S)

    async def _wait_for_waiters(self) -> None:
        while not self._waiters:
            self._poll_requested.clear()
            await self._poll_requested.wait()

    def _evaluate(self) -> None:
        for waiter in list(self._waiters):
            if not waiter.done.done():
                self._evaluate_waiter(waiter)
            if waiter.done.done():
                self._waiters.discard(waiter)

    def _evaluate_waiter(self, waiter: _Waiter) -> None:
        confirming = set()
        for server_id, observation in self._observed.items():
            if observation.requested_at < waiter.joined_at:
                continue
            if observation.status.fenced_term > waiter.at.term:
                waiter.done.set_exception(_primary_replaced(f"term {waiter.at.term} has ended"))
                return
            if _confirms(observation.status, waiter):
                confirming.add(server_id)
        if len(confirming) < self.majority:
            return
        if self._membership is not None and not self._membership.has_majority(confirming):
            return
        primary = self._observed.get(waiter.server_id)
        if (
            primary is not None
            and primary.requested_at >= waiter.joined_at
            and self._is_primary(primary.status, waiter.at.term)
        ):
            waiter.done.set_result(None)

    @staticmethod
    def _is_primary(status: MemberStatus, term: int) -> bool:
        return status.role is MemberRole.PRIMARY and status.fenced_term == term


def _confirms(status: MemberStatus, waiter: _Waiter) -> bool:
    if status.fenced_term != waiter.at.term:
        return False
    if waiter.durability is Durability.PRIMARY:
        return True
    return status.log_term == waiter.at.term and status.position >= waiter.at.position


def _primary_replaced(message: str) -> OutcomeUnknown:
    return OutcomeUnknown(ResultCode.PRIMARY_REPLACED, message)


async def member_statuses(
    servers: list[BackendServer], backend: Backend, *, timeout: float
) -> dict[str, MemberStatus]:
    """Asks all members for their status at once.

    Returns:
        Statuses by server id, of those that answered within `timeout` seconds.
    """

    async def ask(server: BackendServer) -> MemberStatus | None:
        try:
            return await backend.member(server.address).status(timeout=timeout)
        except (NotRun, OutcomeUnknown):
            return None

    statuses = await asyncio.gather(*(ask(server) for server in servers))
    return {
        server.id: status
        for server, status in zip(servers, statuses, strict=True)
        if status is not None
    }
