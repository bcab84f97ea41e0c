"""Pool of this instance's connections to one member, granted by rank."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonpoint.connection.session import (
    EndpointHealth,
    LatencyEstimate,
    MemberConnection,
    MemberConnectionLost,
    MemberConnector,
    MemberFault,
    MemberRefused,
    MemberUnreachable,
    PooledConnection,
)
from wigeonpoint.errors import NotRun
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._schedule import QueueEntry
from wigeonpoint.process.gateway.pool._attempts import ConnectionAttempts
from wigeonpoint.process.gateway.pool._connection_quota import ConnectionQuota
from wigeonpoint.process.gateway.pool._connection_set import ConnectionSet
from wigeonpoint.process.gateway.pool._customer_room import CustomerRoom
from wigeonpoint.process.gateway.pool._errors import (
    deadline_error,
    leaving_error,
    unreachable_error,
)
from wigeonpoint.process.gateway.pool._statement_limit import StatementLimit
from wigeonpoint.process.gateway.pool._unanswered import UnansweredStatements
from wigeonpoint.process.gateway.pool._wait_estimate import WaitEstimate
from wigeonpoint.process.gateway.pool._waiting import WaitingRequests
from wigeonpoint.request import Rank
from wigeonpoint.version.catalogue import MemberRecord

CONNECT_TIMEOUT_S = 0.6  # a member accepts a connection only when it has a free slot
RECENT_ANSWER_S = 0.1  # after an answer this recent, a late one is no sign of a fault
# At an unreachable member, a statement unanswered for this long is abandoned.
SILENT_CONNECTION_S = 0.2
ROLLBACK_TIMEOUT_S = 0.5
UNLIMITED_STATEMENTS = 1_000_000
# Of the time for which a request is ready to wait, in case the expected wait was wrong.
MAX_PATIENCE_FACTOR = 2


class MemberPool:
    """Connections to one member.

    The pool keeps to this instance's share of the member's connection limit. It borrows a few more
    while statements wait, and makes do with the open ones when the member refuses. Connections that
    name a customer serve that one only, and may be closed to make room for another customer.

    Args:
        record: The member.
        connector: Opens connections.
        share: Returns this instance's equal share of the limit.
        limit: Returns the member's connection limit.
        running: Returns the number of statements that may run at the same time.
        takes_new: Tells whether the member may get new statements and transactions.
        superseded: Tells whether an idle connection should be closed because it would be opened in
            another way now.
        names_customers: Tells whether statements run on behalf of customers, whom connections name.
    """

    def __init__(
        self,
        record: MemberRecord,
        connector: MemberConnector,
        *,
        share: Callable[[], int],
        limit: Callable[[], int],
        running: Callable[[], int] = lambda: UNLIMITED_STATEMENTS,
        takes_new: Callable[[], bool] = lambda: True,
        superseded: Callable[[MemberConnection], bool] = lambda connection: False,
        names_customers: Callable[[], bool] = lambda: False,
    ) -> None:
        self._record = record
        self._connector = connector
        self._quota = ConnectionQuota(share=share, limit=limit)
        self._connections = ConnectionSet(superseded)
        self._statement_limit = StatementLimit(running)
        self._takes_new = takes_new
        self._opening = ConnectionAttempts(self._open, self._grant_idle)
        self._waiting = WaitingRequests()
        self._room = CustomerRoom(
            self._connections, self._opening, self._waiting, self._quota, names_customers
        )
        self._closed = False
        self.health = EndpointHealth()
        self.latency = LatencyEstimate()
        self.wait = WaitEstimate(
            self.latency,
            connections=lambda: self.open + len(self._opening),
            statements=lambda: self._statement_limit.limit,
        )
        self._unanswered = UnansweredStatements(self._connections, self.latency)
        self.opened = 0
        self.refused = 0

    @property
    def record(self) -> MemberRecord:
        """The member."""
        return self._record

    @property
    def takes_new(self) -> bool:
        """Whether the member may get new statements and transactions; open ones go on."""
        return self._takes_new()

    @property
    def in_use(self) -> int:
        """Number of connections granted to statements or transactions."""
        return self._connections.in_use

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a connection."""
        return len(self._waiting)

    def waiting_of(self, rank: Rank) -> int:
        """Number of requests of a rank that wait for a connection."""
        return self._waiting.waiting_of(rank)

    @property
    def displaced(self) -> int:
        """Number of connections that were closed to make room for another customer."""
        return self._room.displaced

    @property
    def open(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def update(self, record: MemberRecord) -> None:
        """Adopts the member's new record; closes idle connections if the member has restarted."""
        if record.born_ms != self._record.born_ms:
            self._connections.close_idle()
        self._record = record

    async def acquire(
        self,
        rank: Rank,
        *,
        caller: str,
        deadline: float,
        session: int | None = None,
        customer: str = "",
        patience_s: float = float("inf"),
    ) -> PooledConnection:
        """Waits for a connection, the most urgent first.

        Args:
            rank: Urgency.
            caller: Key for fair queueing within the rank.
            deadline: Event-loop time, in seconds, until which to wait.
            session: Session number; a connection that last served this session is preferred.
            customer: Customer whose statement it is for, empty for none. Only a connection that
                names this customer, or none in particular, is granted.
            patience_s: Seconds beyond which it is not worth waiting.

        Raises:
            NotRun: QUEUE_FULL, DEADLINE_UNREACHABLE, BACKEND_UNREACHABLE or BACKEND_LEAVING;
                nothing was sent.
        """
        if self._closed:
            raise unreachable_error(self._record)
        if not self.takes_new:
            raise leaving_error(self._record)
        self._room.note_request(customer)
        if not self._waiting and self._may_run() and self._room.may_use(customer):
            connection = self._connections.take(session, customer)
            if connection is not None:
                return connection
        loop = asyncio.get_running_loop()
        now = loop.time()
        give_up_at = min(deadline, now + MAX_PATIENCE_FACTOR * patience_s)
        entry = QueueEntry(
            rank,
            caller,
            give_up_at,
            loop.create_future(),
            session=session,
            customer=customer,
            queued_at=now,
        )
        self._refuse_if_too_late(
            entry, min(deadline, now + patience_s) if self.wait.known else deadline
        )
        return await self._wait_in_queue(entry)

    def release(self, connection: PooledConnection) -> None:
        """Returns a connection to the pool; closes it if it is lost or still in a transaction."""
        if not self._connections.uses(connection):
            return
        now = asyncio.get_running_loop().time()
        held_s = now - connection.idle_since
        if self._closed:
            connection.close()
        if self._connections.put_back(connection):
            self.wait.note_held(held_s)
            if self._waiting and self._may_open() and not self._has_room():
                self._room.displace(connection)
        self._grant_idle()

    async def roll_back(self, connection: PooledConnection) -> None:
        """Rolls back the transaction of a connection and returns the connection to the pool."""
        if not connection.closed:
            try:
                async with asyncio.timeout(ROLLBACK_TIMEOUT_S):
                    answer = await connection.member_connection.rollback()
                connection.state = answer.state
            except (MemberConnectionLost, TimeoutError):
                connection.close()  # the member rolls back when the connection ends
        self.release(connection)

    def retire(self) -> None:
        """Grants no further connections; those in use are closed when they are released."""
        self._closed = True
        self._connections.close_idle()
        self._waiting.refuse_all(unreachable_error(self._record))

    def prewarm(self, connections: int) -> None:
        """Opens connections before the first statements need them."""
        wanted = min(connections, self._quota.regular_limit) - self.open - len(self._opening)
        for customer in self._room.expected_customers(max(wanted, 0)):
            self._opening.start(customer, verify=False)

    def probe(self) -> None:
        """Tries to connect unless an attempt is running, to find out whether the member answers."""
        if not self._opening and self.health.may_connect and not self._closed:
            self._opening.start(next(iter(self._room.expected_customers(1)), ""), verify=True)

    async def verify(self) -> bool:
        """Whether the member answers; connects to it to find out if there is reason to doubt it."""
        if self._answered_within(RECENT_ANSWER_S) and self.health.available:
            return True
        self.probe()
        await self._opening.wait_for_first()
        return self.health.available and self.health.answered_at is not None

    def note_answered(self, sent_at: float, fault: MemberFault | None) -> None:
        """Records that a statement was answered.

        Args:
            sent_at: Event-loop time, in seconds, at which it was sent.
            fault: Why there was no result, or None.
        """
        self.health.note_answer()
        if fault is MemberFault.BUSY:
            self._statement_limit.note_refused()
        elif fault is None:
            self._statement_limit.note_answered()
        if fault is None or not fault.not_run:
            self._unanswered.note_answered(sent_at)

    def note_resting(self) -> None:
        """Records that a connection waits for the next statement of its transaction."""
        self._grant_idle()

    def overtaken(self, sent_at: float) -> bool:
        """Whether a statement that was sent later than this has already been answered."""
        return self._unanswered.overtaken(sent_at)

    def note_late(self) -> None:
        """Handles an unusually late answer; probes unless the member has answered recently."""
        if not self._answered_within(RECENT_ANSWER_S):
            self.probe()

    def close_spare_connections(self) -> None:
        """Closes idle connections that are superseded, or unneeded and above the regular limit."""
        self._connections.close_superseded()
        self._connections.close_spare(self._quota.regular_limit)

    def _expected_wait_s(self, entry: QueueEntry) -> float:
        """Expected seconds until a request gets a connection."""
        if self._connections.idle_for(entry.customer) and self._may_run():
            return 0.0
        return self._waiting.work_ahead(entry) * self.wait.interval_s

    def _late_error(self, wait_s: float) -> NotRun:
        return deadline_error(self._record, self.wait.next_return_s(wait_s))

    def _refuse_if_too_late(self, entry: QueueEntry, latest: float) -> None:
        wait_s = self._expected_wait_s(entry)
        if self.in_use and entry.queued_at + wait_s > latest:
            raise self._late_error(wait_s)
        if self.open and (self.health.available or self._answered_within(SILENT_CONNECTION_S)):
            return
        if not self.health.available and not self.health.may_connect:
            raise unreachable_error(self._record)
        if self._quota.pause_remaining_s:
            raise self._late_error(self._quota.pause_remaining_s)

    async def _wait_in_queue(self, entry: QueueEntry) -> PooledConnection:
        self._waiting.push(entry)
        self._grant_idle()
        loop = asyncio.get_running_loop()
        timer = loop.call_at(entry.deadline, self._expire_request, entry)
        try:
            await entry.granted
        except asyncio.CancelledError:
            self._waiting.remove(entry)
            connection = self._waiting.claim(entry)
            if connection is not None:
                self.release(connection)
            raise
        finally:
            timer.cancel()
        connection = self._waiting.claim(entry)
        assert connection is not None
        return connection

    def _grant_idle(self) -> None:
        """Grants idle connections to the requests that may use them, in their order."""
        if self._waiting and not self.takes_new:
            self._waiting.refuse_all(leaving_error(self._record))
        while self._waiting and self._may_run():
            entry = self._waiting.first(self._room.has_connection)
            if entry is None:
                break
            if entry.granted.done():
                self._waiting.remove(entry)
                continue
            connection = self._connections.take(None, entry.customer)
            if connection is not None:
                self._waiting.grant(entry, connection)
        self._open_for_waiting()

    def _answered_within(self, seconds: float) -> bool:
        """Whether the member has answered or accepted a connection that recently."""
        answered_at = self.health.answered_at
        now = asyncio.get_running_loop().time()
        return answered_at is not None and now - answered_at <= seconds

    def _open_for_waiting(self) -> None:
        """Opens connections for waiting requests whose customers lack one."""
        if self._closed:
            return
        while (entry := self._waiting.first(self._room.lacks_connection)) is not None:
            # The new connection is opened even while no further statement may run, as those of
            # other customers could keep it so for long.
            if not self._may_run() and (self._opening or not self._room.names_customers):
                return
            if not self._may_open():
                return
            if not self._has_room() and not self._room.close_victim():
                return
            self._opening.start(entry.customer, verify=not self.health.available)

    def _may_run(self) -> bool:
        """Whether another statement may run; those whose answers are probably lost do not count."""
        return self._connections.running - self._unanswered.lost < self._statement_limit.limit

    def _may_open(self) -> bool:
        if not self.health.available and (self._opening or not self.health.may_connect):
            return False
        if self._quota.pause_remaining_s:
            return False
        # After a refusal, one attempt at a time shows whether there is room again.
        return not (self._opening and self._quota.recently_refused)

    def _has_room(self) -> bool:
        """Whether another connection may be opened beside the open ones."""
        limit = self._quota.current_limit(waiting=bool(self._waiting))
        return self.open + len(self._opening) - self._unanswered.overdue < limit

    async def _open(self, customer: str, verify: bool) -> None:
        try:
            member_connection = await self._connector.connect(
                self._record, timeout=CONNECT_TIMEOUT_S, verify=verify, customer=customer
            )
        except MemberUnreachable as error:
            self._note_unreachable(str(error))
            return
        except MemberRefused as error:
            self._note_refusal(error.fault)
            return
        if member_connection.verified:
            if not self.health.available:
                log_event(Event.MEMBER_REACHABLE, member=self._record.id)
            self.health.note_answer()
        self._quota.note_accepted()
        self.opened += 1
        connection = PooledConnection(member_connection, self._record)
        if self._closed:
            connection.close()
        else:
            self._connections.add(connection)

    def _note_unreachable(self, reason: str) -> None:
        if self.health.available:
            log_event(
                Event.MEMBER_UNREACHABLE,
                member=self._record.id,
                address=self._record.address,
                reason=reason,
            )
        self.health.note_unreachable()
        # Connections opened before the fault may never get an answer.
        self._connections.close_idle()
        for connection in self._connections.waiting_longer_than(SILENT_CONNECTION_S):
            connection.close()
        # Transactions that rest may hold connections to a member that is gone.
        if not self.in_use or not self._answered_within(SILENT_CONNECTION_S):
            self._waiting.refuse_all(unreachable_error(self._record))

    def _note_refusal(self, fault: MemberFault) -> None:
        self.refused += 1
        if fault is MemberFault.TOO_MANY_CONNECTIONS:
            self._quota.note_refused()
            self.health.note_answer()
            if self._room.names_customers:
                # The connections of other customers may all be idle, so that no release follows.
                loop = asyncio.get_running_loop()
                loop.call_later(self._quota.pause_remaining_s, self._grant_idle)
            if not self.open:
                self._waiting.refuse_all(self._late_error(self._quota.pause_remaining_s))
            return
        log_event(Event.MEMBER_REFUSED, member=self._record.id, fault=fault.name.lower())
        self.health.note_unreachable()
        if not self.open:
            self._waiting.refuse_all(unreachable_error(self._record))

    def _expire_request(self, entry: QueueEntry) -> None:
        wait_s = self._expected_wait_s(entry)
        self._waiting.refuse(entry, self._late_error(wait_s))
