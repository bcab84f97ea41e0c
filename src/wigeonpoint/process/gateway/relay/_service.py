"""Runs statements of other instances on this instance's connections to members."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.connection.session import (
    MemberAnswer,
    MemberConnectionLost,
    MemberConnector,
    PooledConnection,
    SessionSnapshot,
)
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._exchange import Exchange, StatementNotSent
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._primary_guard import PrimaryGuard
from wigeonpoint.process.gateway.pool import MemberPool, MemberSharing, relay_count
from wigeonpoint.process.gateway.relay._links import RelayLinks
from wigeonpoint.process.gateway.relay._messages import (
    FetchSample,
    RelayBegin,
    RelayCheck,
    RelayPing,
    RelayReady,
    RelayRollback,
    RelayStatement,
    RelayTerms,
    SharedSample,
    SlotDemand,
)
from wigeonpoint.process.gateway.relay._pools import RelayPools
from wigeonpoint.process.gateway.relay._slot_demand import SlotDemands
from wigeonpoint.process.gateway.relay._transactions import RelayTransaction, RelayTransactions
from wigeonpoint.request.session import SessionStatement, TransactionState, Verb
from wigeonpoint.version.catalogue import MemberRecord

# A statement is awaited for this long after its caller's deadline; abandoning it closes its
# connection, and opening a new one costs the member more.
LATE_ANSWER_S = 0.5

# Has a newer configuration copied from an instance, given by its name and the store version there.
CatchUp = Callable[[str, int], None]

_IDLE = MemberAnswer(TransactionState.IDLE)
_BEGIN = SessionStatement(id="", text="BEGIN", verb=Verb.BEGIN)


class RelayService:
    """Holds connections to the members that this instance relays for, and runs statements on them.

    Args:
        connector: Opens connections to members.
        sharing: Decides which members this instance relays for.
        groups: Returns the groups by name.
        guard: Tells whether a primary may be used.
        transaction_idle_s: Returns the seconds for which callers may leave transactions idle.
        catch_up: Copies the configuration by which another instance routes a statement.
        keys_needed: Tells whether callers need the keys of customers.
        address: Address of this instance for peers.
        links: Links to other relays.
    """

    def __init__(
        self,
        connector: MemberConnector,
        sharing: MemberSharing,
        groups: Callable[[], Mapping[str, Group]],
        guard: PrimaryGuard,
        transaction_idle_s: Callable[[], float],
        catch_up: CatchUp,
        keys_needed: Callable[[], bool],
        *,
        address: str,
        links: RelayLinks,
    ) -> None:
        self._groups = groups
        self._guard = guard
        self._transaction_idle_s = transaction_idle_s
        self._catch_up = catch_up
        self._sharing = sharing
        self._pools = RelayPools(
            connector, sharing, groups, keys_needed, lambda record: self._demands.share(record)
        )
        self._demands = SlotDemands(address, links, lambda: self.pools, self._regular_relays)
        self._transactions = RelayTransactions()
        self._draining = False

    @property
    def pools(self) -> Mapping[str, MemberPool]:
        """Pools of the connections to members, by member id."""
        return self._pools.by_member

    @property
    def transactions(self) -> int:
        """Number of open transactions."""
        return len(self._transactions)

    def slots(self, record: MemberRecord) -> int:
        """Statements that this instance may run as a relay at a member at the same time."""
        return self._demands.share(record)

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handlers of the messages to relays."""
        dispatcher.register(RelayPing, self._answer_ping)
        dispatcher.register(RelayCheck, self._answer_check)
        dispatcher.register(FetchSample, self._answer_sample)
        dispatcher.register(RelayBegin, self._answer_begin)
        dispatcher.register(RelayStatement, self._answer_statement)
        dispatcher.register(RelayRollback, self._answer_rollback)
        dispatcher.register(SlotDemand, self._demands.answer)

    def drain(self) -> None:
        """Refuses new work; open transactions go on."""
        self._draining = True

    def close(self) -> None:
        """Closes all connections."""
        self._demands.close()
        self._transactions.close()
        self._pools.close()

    def maintain(self) -> None:
        """Maintains the connections, and ends transactions of instances that were lost."""
        self._transactions.end_abandoned(self._transaction_idle_s())
        self._pools.maintain(draining=self._draining)

    async def _answer_ping(self, message: RelayPing) -> RelayReady:
        return RelayReady()

    async def _answer_check(self, message: RelayCheck) -> RelayReady:
        pool = self._pool(self._group(message.group), message.member_id)
        if not await pool.verify():
            raise NotRun(
                ResultCode.BACKEND_UNREACHABLE, f"member {message.member_id} does not answer"
            )
        return RelayReady()

    async def _answer_sample(self, message: FetchSample) -> SharedSample:
        group = self._group(message.group)
        sample = group.newest_sample() if group.primary_id == message.member_id else None
        if sample is None:
            return SharedSample()
        return SharedSample(sample.position, asyncio.get_running_loop().time() - sample.sent_at)

    async def _answer_begin(self, message: RelayBegin) -> MemberAnswer:
        key = message.terms.sender, message.terms.connection
        return await self._transactions.begin(key, lambda: self._begin(message))

    async def _begin(self, message: RelayBegin) -> tuple[MemberAnswer, RelayTransaction | None]:
        """Begins a transaction; returns the member's answer and the transaction, if it is open.

        Raises:
            NotRun: No connection was free in time, or the member did not answer.
        """
        terms = message.terms
        self._catch_up(terms.sender, terms.configuration)
        group = self._group(terms.group)
        pool, connection = await self._acquire(group, terms)
        exchange = Exchange(group, pool, connection, _make_session(terms), _BEGIN, self._guard)
        try:
            async with asyncio.timeout(terms.remaining_s):
                answer = await exchange.begin(read_only=message.read_only, after=terms.after)
        except (MemberConnectionLost, TimeoutError) as error:
            connection.close()
            pool.release(connection)
            pool.note_late()
            raise _lost(terms, error) from error
        if answer.state is TransactionState.IDLE:
            pool.release(connection)
            return answer, None
        now = asyncio.get_running_loop().time()
        return answer, RelayTransaction(group, pool, connection, terms.after is None, now)

    async def _answer_statement(self, message: RelayStatement) -> MemberAnswer:
        try:
            if message.in_transaction:
                return await self._run_in_transaction(message)
            return await self._run_single(message)
        except (NotRun, OutcomeUnknown) as error:
            log_event(
                Event.RELAYED_STATEMENT_FAILED,
                request=message.statement.id,
                sender=message.terms.sender,
                group=message.terms.group,
                member=message.terms.member_id,
                customer=message.terms.customer or None,
                outcome=str(error.outcome),
                reason=error.message,
            )
            raise

    async def _run_single(self, message: RelayStatement) -> MemberAnswer:
        self._catch_up(message.terms.sender, message.terms.configuration)
        group = self._group(message.terms.group)
        pool, connection = await self._acquire(group, message.terms)
        try:
            return await self._run(group, pool, connection, message)
        finally:
            pool.release(connection)

    async def _answer_rollback(self, message: RelayRollback) -> MemberAnswer:
        await self._transactions.end((message.sender, message.connection))
        return _IDLE

    async def _run_in_transaction(self, message: RelayStatement) -> MemberAnswer:
        key = message.terms.sender, message.terms.connection
        transaction = self._transactions.get(key)
        if transaction is None:
            raise NotRun(ResultCode.TRANSACTION_LOST, "the relay has ended the transaction")
        if message.statement.verb is Verb.COMMIT and not self._may_commit(transaction):
            await self._transactions.end(key)
            raise NotRun(ResultCode.TRANSACTION_LOST, "the primary may have been replaced")
        group, pool, connection = transaction.group, transaction.pool, transaction.connection
        return await self._transactions.run(
            key, lambda: self._run(group, pool, connection, message)
        )

    async def _run(
        self,
        group: Group,
        pool: MemberPool,
        connection: PooledConnection,
        message: RelayStatement,
    ) -> MemberAnswer:
        """Runs a statement on a connection; closes the connection if the answer is missing.

        Raises:
            NotRun: The statement was not sent.
            OutcomeUnknown: It was sent and not answered.
        """
        terms = message.terms
        session = _make_session(terms, message)
        exchange = Exchange(group, pool, connection, session, message.statement, self._guard)
        try:
            async with asyncio.timeout(terms.remaining_s + LATE_ANSWER_S):
                return await exchange.run(after=terms.after)
        except StatementNotSent as refused:
            connection.state = refused.answer.state
            return refused.answer
        except (MemberConnectionLost, TimeoutError) as error:
            connection.close()
            pool.note_late()
            if exchange.sent:
                raise OutcomeUnknown(ResultCode.CONNECTION_LOST, _reason(error)) from error
            raise _lost(terms, error) from error

    async def _acquire(
        self, group: Group, terms: RelayTerms
    ) -> tuple[MemberPool, PooledConnection]:
        """Waits for a connection to a member.

        Raises:
            NotRun: The member may not be used, or no connection is free in time.
        """
        loop = asyncio.get_running_loop()
        pool = self._pool(group, terms.member_id)
        if terms.after is None:
            group.primary_requested_at = loop.time()  # keeps this relay's quorum lease renewed
        deadline = loop.time() + terms.remaining_s
        session = _session_number(terms)
        self._demands.note_request(terms.member_id, terms.rank)
        connection = await pool.acquire(
            terms.rank,
            caller=terms.caller,
            deadline=deadline,
            session=session,
            customer=terms.customer,
            patience_s=terms.patience_s if terms.patience_s is not None else terms.remaining_s,
        )
        # An instance that was suspended finds old messages when it wakes up. By then its lease has
        # expired, and the member may have been replaced.
        if terms.after is None and not self._guard.may_send(group.name, terms.member_id):
            pool.release(connection)
            raise NotRun(ResultCode.NO_PRIMARY, "this relay may not use the primary now")
        return pool, connection

    def _may_commit(self, transaction: RelayTransaction) -> bool:
        member_id = transaction.pool.record.id
        return not transaction.at_primary or self._guard.may_send(transaction.group.name, member_id)

    def _regular_relays(self, record: MemberRecord) -> list[str]:
        """Addresses of the regular relays of a member."""
        group = self._groups().get(record.service)
        if group is None:
            return []
        limit = group.service.connection_limit
        return self._sharing.relays(record, limit)[: relay_count(limit)]

    def _group(self, name: str) -> Group:
        group = self._groups().get(name)
        if group is None:
            raise NotRun(ResultCode.NOT_OWNER, f"group {name} is not known here")
        return group

    def _pool(self, group: Group, member_id: str) -> MemberPool:
        """Returns the pool of a member.

        Raises:
            NotRun: The member is not known here, or this instance stops.
        """
        if self._draining:
            raise NotRun(ResultCode.INSTANCE_STOPPING, "the relay is stopping")
        return self._pools.use(group, member_id)


def _make_session(terms: RelayTerms, message: RelayStatement | None = None) -> SessionSnapshot:
    """Builds the session of a caller of another instance, as far as a statement needs it."""
    if message is None:
        return SessionSnapshot(_session_number(terms))
    return SessionSnapshot(_session_number(terms), message.values, message.prepared)


def _session_number(terms: RelayTerms) -> int:
    """A number that tells sessions of different instances apart."""
    return hash((terms.sender, terms.session))


def _lost(terms: RelayTerms, error: Exception) -> NotRun:
    return NotRun(
        ResultCode.BACKEND_UNREACHABLE, f"member {terms.member_id} was lost: {_reason(error)}"
    )


def _reason(error: Exception) -> str:
    return str(error) or "no answer in time"
