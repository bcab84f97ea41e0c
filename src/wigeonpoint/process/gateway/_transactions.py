"""Runs transactions, each bound to one connection from its first statement on."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection.session import (
    CallerSession,
    MemberAnswer,
    MemberConnectionLost,
    PooledConnection,
    SessionTransaction,
)
from wigeonpoint.errors import NotRun
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._exchange import Exchange, NotSent
from wigeonpoint.process.gateway._executor import StatementExecutor
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._member_pool import MemberPool
from wigeonpoint.process.gateway._refusals import reply_for_answer, reply_for_error
from wigeonpoint.process.gateway._statement_context import RETRY_PAUSE_S, StatementContext
from wigeonpoint.request.session import (
    Refusal,
    Reply,
    TransactionState,
    Verb,
    refuse_statement,
)

ROLLBACK_TIMEOUT_S = 0.5
BUSY_TRIES = 6


@dataclass(frozen=True, slots=True)
class _Binding:
    """Where a transaction runs.

    Attributes:
        group: The database group.
        pool: Pool of the connection.
        at_primary: Whether the member was the primary when the transaction began.
    """

    group: Group
    pool: MemberPool
    at_primary: bool


class TransactionRunner:
    """Runs the statements of open transactions.

    Args:
        executor: Hands out connections.
    """

    def __init__(self, executor: StatementExecutor) -> None:
        self._executor = executor
        self._bindings: dict[PooledConnection, _Binding] = {}

    @property
    def open(self) -> int:
        """Transactions that are bound to a connection."""
        return len(self._bindings)

    async def run(self, context: StatementContext, transaction: SessionTransaction) -> Reply:
        """Runs a statement of an open transaction; a refusal fails the transaction."""
        exchange = await self._exchange(context, transaction)
        if isinstance(exchange, Reply):
            return self._fail(context, exchange)
        answer = await self._run(context, exchange)
        if isinstance(answer, Reply):
            return self._fail(context, answer)
        if answer.fault is not None:
            return self._fail(context, reply_for_answer(answer))
        if not await self._confirm(context, exchange.connection):
            return self._fail(context, _aborted("the primary may have been replaced"))
        if context.statement.verb is Verb.WRITE or _executes_write(context):
            transaction.wrote = True
        return Reply(rows=answer.rows, proof=answer.proof)

    async def commit(self, context: StatementContext, transaction: SessionTransaction) -> Reply:
        """Commits a transaction; without a complete answer the outcome is in doubt."""
        exchange = await self._exchange(context, transaction)
        if isinstance(exchange, Reply):
            self.roll_back(context.session)
            return exchange
        if not self._may_send(context, exchange.connection):
            self.roll_back(context.session)
            return _aborted("the primary may have been replaced")
        reply = await self._commit(context, exchange, transaction)
        context.session.end()
        binding = self._bindings.pop(exchange.connection)
        binding.pool.release(exchange.connection)
        return reply

    def roll_back(self, session: CallerSession) -> None:
        """Ends a transaction without its effects; the caller need not wait for the member."""
        connection = session.end()
        if connection is not None:
            self._executor.in_background(self._return_connection(connection))

    async def _exchange(
        self, context: StatementContext, transaction: SessionTransaction
    ) -> Exchange | Reply:
        connection = transaction.connection
        if connection is None:
            return await self._bind(context, transaction)
        binding = self._bindings[connection]
        return self._executor.exchange(
            replace(context, group=binding.group), binding.pool, connection
        )

    async def _bind(
        self, context: StatementContext, transaction: SessionTransaction
    ) -> Exchange | Reply:
        """Begins the transaction at a member; a refusal may be retried, as nothing has run yet."""
        tried: set[str] = set()
        pause = RETRY_PAUSE_S
        last = refuse_statement(Refusal.OVERLOADED, "no member began the transaction in time")
        for _ in range(BUSY_TRIES):
            try:
                exchange, after = await self._open(context, transaction, tried)
            except NotRun as error:
                return reply_for_error(error)
            answer = await self._begin(context, exchange, transaction.read_only, after)
            if isinstance(answer, MemberAnswer) and answer.fault is None:
                self._attach(context, transaction, exchange)
                return exchange
            tried.add(exchange.pool.record.id)
            exchange.pool.release(exchange.connection)
            last = answer if isinstance(answer, Reply) else reply_for_answer(answer)
            if isinstance(answer, MemberAnswer):
                self._executor.note_fault(context, exchange.pool, answer, after)
            if context.remaining_s <= pause:
                break
            await asyncio.sleep(pause)
            pause *= 2
        return last

    async def _open(
        self, context: StatementContext, transaction: SessionTransaction, tried: set[str]
    ) -> tuple[Exchange, LogPosition | None]:
        """Opens a connection at a member that may begin the transaction.

        Raises:
            NotRun: No member is free in time.
        """
        if not transaction.read_only:
            return await self._executor.open_at_primary(context), None
        now = asyncio.get_running_loop().time()
        requirement = context.group.requirement(context.route, context.committed, now)
        pool = context.group.choose_read_member(requirement, now, excluded=frozenset(tried))
        if pool is None or pool.record.id == context.group.primary_id:
            return await self._executor.open_at_primary(context), None
        return await self._executor.open(context, pool), requirement.position

    async def _begin(
        self,
        context: StatementContext,
        exchange: Exchange,
        read_only: bool,
        after: LogPosition | None,
    ) -> MemberAnswer | Reply:
        try:
            async with asyncio.timeout(self._leaving_primary_wait_s(context, exchange.pool)):
                return await exchange.begin(read_only=read_only, after=after)
        except (MemberConnectionLost, TimeoutError) as error:
            exchange.connection.close()
            exchange.pool.note_late()
            return refuse_statement(Refusal.UNAVAILABLE, str(error) or "no answer in time")

    @staticmethod
    def _leaving_primary_wait_s(context: StatementContext, pool: MemberPool) -> float:
        return max(min(context.remaining_s / 2, 4 * pool.latency.late_after_s), 0.01)

    def _attach(
        self, context: StatementContext, transaction: SessionTransaction, exchange: Exchange
    ) -> None:
        # A member that was the primary when it was chosen must still be it for every answer.
        at_primary = (
            not transaction.read_only or exchange.pool.record.id == context.group.primary_id
        )
        transaction.connection = exchange.connection
        self._bindings[exchange.connection] = _Binding(context.group, exchange.pool, at_primary)

    async def _run(self, context: StatementContext, exchange: Exchange) -> MemberAnswer | Reply:
        """Runs a statement; tries it again on the connection if the member did not run it."""
        pause = RETRY_PAUSE_S
        while True:
            try:
                async with asyncio.timeout(max(context.remaining_s, 0)):
                    answer = await exchange.run()
            except NotSent as refused:
                answer = refused.answer
            except (MemberConnectionLost, TimeoutError) as error:
                exchange.connection.close()
                exchange.pool.note_late()
                return _aborted(str(error) or "no answer in time")
            retry = answer.fault is not None and answer.fault.not_run
            if not retry or answer.state is not TransactionState.OPEN:
                return answer
            if context.remaining_s <= pause:
                return answer
            await asyncio.sleep(pause)
            pause *= 2

    async def _commit(
        self, context: StatementContext, exchange: Exchange, transaction: SessionTransaction
    ) -> Reply:
        try:
            async with asyncio.timeout(max(context.remaining_s, 0)):
                answer = await exchange.run()
        except NotSent as refused:
            exchange.connection.close()
            return _aborted(refused.answer.detail)
        except (MemberConnectionLost, TimeoutError) as error:
            exchange.connection.close()
            exchange.pool.note_late()
            if not exchange.sent or not transaction.wrote:
                return _aborted("the connection was lost and nothing had been written")
            return self._executor.in_doubt(context, str(error) or "no answer in time")
        commit = answer.position if transaction.wrote else None
        if answer.fault is None and not await self._confirm(
            context, exchange.connection, commit=commit
        ):
            if not transaction.wrote:
                return _aborted("the primary may have been replaced")
            return self._executor.in_doubt(context, "the primary may have been replaced")
        if answer.fault is None and transaction.wrote:
            context.note_commit(answer.position)
        if answer.fault is not None and answer.fault.not_run:
            exchange.connection.close()  # the member rolls back what the transaction did
            return _aborted(f"not committed: {answer.fault.name.lower()}")
        return reply_for_answer(answer)

    def _may_send(self, context: StatementContext, connection: PooledConnection) -> bool:
        binding = self._bindings[connection]
        return not binding.at_primary or self._executor.may_send(context, binding.pool)

    async def _confirm(
        self,
        context: StatementContext,
        connection: PooledConnection,
        *,
        commit: LogPosition | None = None,
    ) -> bool:
        binding = self._bindings[connection]
        if not binding.at_primary:
            return True
        return await self._executor.confirm(context, binding.pool, commit=commit)

    def _fail(self, context: StatementContext, reply: Reply) -> Reply:
        """Marks the transaction as failed and gives its connection back."""
        transaction = context.session.transaction
        if transaction is not None and transaction.connection is not None:
            connection, transaction.connection = transaction.connection, None
            self._executor.in_background(self._return_connection(connection))
        context.session.state = TransactionState.FAILED
        log_event(
            Event.TRANSACTION_ABORTED,
            request=context.statement.id,
            group=context.group.name,
            reason=reply.message,
        )
        return reply

    async def _return_connection(self, connection: PooledConnection) -> None:
        binding = self._bindings.pop(connection)
        if not connection.closed:
            try:
                async with asyncio.timeout(ROLLBACK_TIMEOUT_S):
                    answer = await connection.member_connection.rollback()
                connection.state = answer.state
            except (MemberConnectionLost, TimeoutError):
                connection.close()  # the member rolls back when the connection ends
        binding.pool.release(connection)


def _executes_write(context: StatementContext) -> bool:
    prepared = context.session.prepared.get(context.statement.name)
    executes = context.statement.verb is Verb.EXECUTE
    return executes and prepared is not None and prepared.access.value == "write"


def _aborted(message: str) -> Reply:
    return refuse_statement(Refusal.ABORTED, message or "transaction rolled back", retry_after_ms=0)
