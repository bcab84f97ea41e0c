"""Connections of this instance to one member, given out by rank."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from wigeonpoint.connection.session import (
    LatencyEstimate,
    MemberConnector,
    MemberFault,
    MemberHealth,
    MemberRefused,
    MemberUnreachable,
    PooledConnection,
)
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._schedule import QueueEntry, RankedSchedule
from wigeonpoint.process.gateway._connection_quota import ConnectionQuota
from wigeonpoint.request import Rank
from wigeonpoint.request.session import TransactionState
from wigeonpoint.version.catalogue import MemberRecord

CONNECT_TIMEOUT_S = 0.6  # a member accepts when it has a slot free
PROVEN_ALIVE_S = 0.1  # an answer this young makes a late one no sign of a fault
# A statement unanswered for this long at an unreachable member is given up.
SILENT_CONNECTION_S = 0.2
OVERDUE_FLOOR_S = 0.1  # an answer that takes longer than this, and than usual, is overdue
SPARE_LIFE_S = 0.5  # idle connections above this instance's share are closed after this time
MIN_RETRY_MS = 20
HOLD_WEIGHT = 0.1
FIRST_HOLD_S = 0.02


class MemberPool:
    """Links to one member.

    An instance keeps to its share of the member's connection limit. It borrows a few more while
    work waits, and returns to what it has when the member refuses.

    Args:
        record: The member.
        connector: Opens connections.
        share: Gives the connections that this instance may hold without borrowing.
        limit: Gives the member's connection limit.
    """

    def __init__(
        self,
        record: MemberRecord,
        connector: MemberConnector,
        *,
        share: Callable[[], int],
        limit: Callable[[], int],
    ) -> None:
        self._record = record
        self._connector = connector
        self._quota = ConnectionQuota(share=share, limit=limit)
        self._idle: deque[PooledConnection] = deque()
        self._in_use: set[PooledConnection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._schedule = RankedSchedule()
        self._waiting: dict[asyncio.Future[None], QueueEntry] = {}
        self._granted: dict[asyncio.Future[None], PooledConnection] = {}
        self._closed = False
        self._hold_s = FIRST_HOLD_S
        self.health = MemberHealth()
        self.latency = LatencyEstimate()
        self._newest_answered = float("-inf")
        self.opened = 0
        self.refused = 0

    @property
    def record(self) -> MemberRecord:
        """The member."""
        return self._record

    @property
    def in_use(self) -> int:
        """Links that carry work."""
        return len(self._in_use)

    @property
    def waiting(self) -> int:
        """Requests that wait for a connection."""
        return len(self._schedule)

    @property
    def open(self) -> int:
        """Links that are open."""
        return len(self._idle) + len(self._in_use)

    @property
    def closed(self) -> bool:
        """Whether the member is no longer in use."""
        return self._closed

    def update(self, record: MemberRecord) -> None:
        """Takes over what the member says of itself now; a restarted one has no connections."""
        if record.born_ms != self._record.born_ms:
            self._drop_idle()
        self._record = record

    async def acquire(
        self, rank: Rank, *, caller: str, deadline: float, session: int | None = None
    ) -> PooledConnection:
        """Waits for a connection, the most urgent first.

        Args:
            rank: Urgency.
            caller: Name for fair queueing within the rank.
            deadline: Event-loop time, in seconds, until which a connection is of use.
            session: Session number; a connection that served the session before is preferred.

        Raises:
            NotRun: QUEUE_FULL, DEADLINE_UNREACHABLE or BACKEND_UNREACHABLE; nothing was sent.
        """
        if self._closed:
            raise self._unreachable()
        if not self._schedule:
            connection = self._take_idle(session)
            if connection is not None:
                return connection
        self._check_wait(rank, caller, deadline)
        return await self._wait(rank, caller, deadline)

    def release(self, connection: PooledConnection) -> None:
        """Returns a connection; one that is not idle or lost is closed."""
        if connection not in self._in_use:
            return
        self._in_use.discard(connection)
        now = asyncio.get_running_loop().time()
        if connection.closed or self._closed or connection.state is not TransactionState.IDLE:
            connection.close()
            self._open_for_waiting()
            return
        self._hold_s += HOLD_WEIGHT * (now - connection.idle_since - self._hold_s)
        connection.idle_since = now
        self._idle.append(connection)
        self._hand_out()

    def retire(self) -> None:
        """Gives out no further connections; connections in use are closed when they return."""
        self._closed = True
        self._drop_idle()
        self._refuse_waiting(self._unreachable())

    def prewarm(self, connections: int) -> None:
        """Opens connections ahead of the first statements."""
        wanted = (
            min(connections, self._quota.most(waiting=bool(self._schedule)))
            - self.open
            - len(self._opening)
        )
        for _ in range(max(wanted, 0)):
            self._start_opening()

    def probe(self) -> None:
        """Tries to connect if nothing else does, so that a suspect member can return."""
        if not self._opening and self.health.may_try and not self._closed:
            self._start_opening()

    def note_answered(self, sent_at: float) -> None:
        """Records that a statement was answered.

        Args:
            sent_at: Event-loop time, in seconds, at which it was sent.
        """
        self.health.note_answer()
        self._newest_answered = max(self._newest_answered, sent_at)

    def overtaken(self, sent_at: float) -> bool:
        """Whether a statement that was sent later than this has been answered already."""
        return self._newest_answered > sent_at

    def note_late(self) -> None:
        """Records an answer that is unusually late; without any other sign of life, probes."""
        answered_at = self.health.answered_at
        now = asyncio.get_running_loop().time()
        if answered_at is None or now - answered_at > PROVEN_ALIVE_S:
            self.probe()

    def close_spare(self) -> None:
        """Closes idle connections above the share that have not been used for a while."""
        now = asyncio.get_running_loop().time()
        while self.open > self._quota.own and self._idle:
            if now - self._idle[0].idle_since < SPARE_LIFE_S:
                return
            self._idle.popleft().close()

    def expected_wait_s(self, rank: Rank, caller: str) -> float:
        """Seconds until a new request would get a connection."""
        if self._idle:
            return 0.0
        connections = max(self.open, 1)
        return self._schedule.wait_work(rank, caller) * self._hold_s / connections

    def _take_idle(self, session: int | None) -> PooledConnection | None:
        while self._idle:
            connection = self._preferred(session)
            if connection.closed:
                connection.close()
                continue
            self._use(connection)
            return connection
        return None

    def _preferred(self, session: int | None) -> PooledConnection:
        if session is not None:
            for connection in reversed(self._idle):
                if connection.last_session == session:
                    self._idle.remove(connection)
                    return connection
        return self._idle.pop()

    def _use(self, connection: PooledConnection) -> None:
        # Until the release this is the start of the hold.
        connection.idle_since = asyncio.get_running_loop().time()
        self._in_use.add(connection)

    def _check_wait(self, rank: Rank, caller: str, deadline: float) -> None:
        now = asyncio.get_running_loop().time()
        wait = self.expected_wait_s(rank, caller)
        if self._in_use and now + wait > deadline:
            raise self._late(wait)
        if self.open:
            return
        if not self.health.available and not self.health.may_try:
            raise self._unreachable()
        if self._quota.paused_s:
            raise self._late(self._quota.paused_s)

    async def _wait(self, rank: Rank, caller: str, deadline: float) -> PooledConnection:
        loop = asyncio.get_running_loop()
        entry = QueueEntry(rank, caller, deadline, loop.create_future())
        self._schedule.push(entry)
        self._open_for_waiting()
        timer = loop.call_at(deadline, self._expire, entry)
        try:
            await entry.granted
        except asyncio.CancelledError:
            self._schedule.remove(entry)
            connection = self._granted.pop(entry.granted, None)
            if connection is not None:
                self.release(connection)
            raise
        finally:
            timer.cancel()
        return self._granted.pop(entry.granted)

    def _hand_out(self) -> None:
        while self._schedule and self._idle:
            connection = self._take_idle(None)
            if connection is None:
                break
            entry = self._schedule.pop()
            if entry is None or entry.granted.done():
                self._in_use.discard(connection)
                self._idle.append(connection)
                continue
            self._granted[entry.granted] = connection
            entry.granted.set_result(None)
        self._open_for_waiting()

    def _overdue(self) -> int:
        """Links whose answer is probably lost; work that waits must not wait for them too."""
        overdue_s = max(self.latency.late_after_s, OVERDUE_FLOOR_S)
        sent_before = asyncio.get_running_loop().time() - overdue_s
        return sum(
            1
            for connection in self._in_use
            if connection.waiting_since is not None and connection.waiting_since < sent_before
        )

    def _open_for_waiting(self) -> None:
        if self._closed:
            return
        while len(self._schedule) > len(self._opening) and self._may_open():
            self._start_opening()

    def _may_open(self) -> bool:
        if not self.health.available and (self._opening or not self.health.may_try):
            return False
        if self._quota.paused_s:
            return False
        if self._opening and self._quota.refused_lately:
            return False  # after a refusal, one attempt tells whether there is room again
        most = self._quota.most(waiting=bool(self._schedule))
        return self.open + len(self._opening) - self._overdue() < most

    def _start_opening(self) -> None:
        task = asyncio.create_task(self._open())
        self._opening.add(task)
        task.add_done_callback(self._finish_opening)

    def _finish_opening(self, task: asyncio.Task[None]) -> None:
        self._opening.discard(task)
        if not task.cancelled():
            task.result()
            self._hand_out()

    async def _open(self) -> None:
        try:
            member_connection = await self._connector.connect(
                self._record, timeout=CONNECT_TIMEOUT_S
            )
        except MemberUnreachable as error:
            self._note_unreachable(str(error))
            return
        except MemberRefused as error:
            self._note_refusal(error.fault)
            return
        if not self.health.available:
            log_event(Event.MEMBER_REACHABLE, member=self._record.id)
        self.health.note_answer()
        self._quota.note_accepted()
        self.opened += 1
        connection = PooledConnection(member_connection, self._record)
        connection.idle_since = asyncio.get_running_loop().time()
        if self._closed:
            connection.close()
        else:
            self._idle.append(connection)

    def _note_unreachable(self, reason: str) -> None:
        if self.health.available:
            log_event(
                Event.MEMBER_UNREACHABLE,
                member=self._record.id,
                address=self._record.address,
                reason=reason,
            )
        self.health.note_unreachable()
        # What is open was made before the fault and may be silent for good.
        self._drop_idle()
        self._drop_silent()
        if not self._in_use:
            self._refuse_waiting(self._unreachable())

    def _note_refusal(self, fault: MemberFault) -> None:
        self.refused += 1
        if fault is MemberFault.TOO_MANY_CONNECTIONS:
            self._quota.note_refused()
            self.health.note_answer()
            if not self.open:
                self._refuse_waiting(self._late(self._quota.paused_s))
            return
        log_event(Event.MEMBER_REFUSED, member=self._record.id, fault=fault.name.lower())
        self.health.note_unreachable()
        if not self.open:
            self._refuse_waiting(self._unreachable())

    def _drop_silent(self) -> None:
        """Ends statements that wait at a member that cannot be reached any more."""
        now = asyncio.get_running_loop().time()
        for connection in list(self._in_use):
            if (
                connection.waiting_since is not None
                and now - connection.waiting_since >= SILENT_CONNECTION_S
            ):
                connection.close()

    def _drop_idle(self) -> None:
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _expire(self, entry: QueueEntry) -> None:
        if self._schedule.remove(entry) and not entry.granted.done():
            entry.granted.set_exception(self._late(self._hold_s))

    def _refuse_waiting(self, error: NotRun) -> None:
        while (entry := self._schedule.pop()) is not None:
            if not entry.granted.done():
                entry.granted.set_exception(error)

    def _late(self, wait_s: float) -> NotRun:
        return NotRun(
            ResultCode.DEADLINE_UNREACHABLE,
            f"member {self._record.id} has no connection free in time",
            retry_after_ms=max(int(wait_s * 1000), MIN_RETRY_MS),
        )

    def _unreachable(self) -> NotRun:
        return NotRun(
            ResultCode.BACKEND_UNREACHABLE,
            f"member {self._record.id} is not reachable",
            retry_after_ms=MIN_RETRY_MS,
        )
