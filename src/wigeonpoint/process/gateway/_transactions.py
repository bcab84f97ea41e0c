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
from wigeonpoint.process.gateway._exchange import Exchange, StatementNotSent
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._replies import reply_for_answer, reply_for_error
from wigeonpoint.process.gateway._statement_context import INITIAL_RETRY_PAUSE_S, StatementContext
from wigeonpoint.process.gateway._statement_router import StatementRouter
from wigeonpoint.process.gateway.pool import MemberPool
from wigeonpoint.request import Access
from wigeonpoint.request.session import (
    Refusal,
    Reply,
    TransactionState,
    Verb,
    refuse_statement,
)

MAX_BEGIN_ATTEMPTS = 6


@dataclass(frozen=True, slots=True)
class _Binding:
    """Group and pool of the connection that a transaction is bound to.

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
        router: Opens exchanges and confirms answers of primaries.
    """

    def __init__(self, router: StatementRouter) -> None:
        self._router = router
        self._bindings: dict[PooledConnection, _Binding] = {}

    @property
    def open(self) -> int:
        """Number of transactions that are bound to a connection."""
        return len(self._bindings)

    async def run(self, context: StatementContext, transaction: SessionTransaction) -> Reply:
        """Runs a statement of an open transaction; a refusal puts it into the failed state."""
        exchange = await self._get_exchange(context, transaction)
        if isinstance(exchange, Reply):
            return self._fail_transaction(context, exchange)
        answer = await self._run(context, exchange)
        if isinstance(answer, Reply):
            return self._fail_transaction(context, answer)
        if answer.fault is not None:
            return self._fail_transaction(context, reply_for_answer(answer, exchange.pool))
        if not await self._confirm(context, exchange.connection):
            return self._fail_transaction(
                context, _aborted_reply("the primary may have been replaced")
            )
        if context.statement.verb is Verb.WRITE or _executes_prepared_write(context):
            transaction.wrote = True
        return Reply(rows=answer.rows, proof=answer.proof)

    async def commit(self, context: StatementContext, transaction: SessionTransaction) -> Reply:
        """Commits a transaction; if it has written and the answer is lost, it is in doubt."""
        exchange = await self._get_exchange(context, transaction)
        if isinstance(exchange, Reply):
            self.roll_back(context.session)
            return exchange
        if not self._may_send(context, exchange.connection):
            self.roll_back(context.session)
            return _aborted_reply("the primary may have been replaced")
        reply = await self._commit(context, exchange, transaction)
        context.session.end()
        self._unbind(exchange.connection).pool.release(exchange.connection)
        return reply

    def roll_back(self, session: CallerSession) -> None:
        """Ends a transaction without effect; the member's rollback runs in the background."""
        connection = session.end()
        if connection is not None:
            self._router.run_in_background(self._return_connection(connection))

    async def _get_exchange(
        self, context: StatementContext, transaction: SessionTransaction
    ) -> Exchange | Reply:
        connection = transaction.connection
        if connection is None:
            return await self._begin_at_member(context, transaction)
        binding = self._bindings[connection]
        return self._router.make_exchange(
            replace(context, group=binding.group), binding.pool, connection
        )

    async def _begin_at_member(
        self, context: StatementContext, transaction: SessionTransaction
    ) -> Exchange | Reply:
        """Begins the transaction at a member; retries refusals, as no statement has run yet."""
        tried: set[str] = set()
        pause_s = INITIAL_RETRY_PAUSE_S
        last_reply = refuse_statement(Refusal.OVERLOADED, "no member began the transaction in time")
        for _ in range(MAX_BEGIN_ATTEMPTS):
            try:
                exchange, after = await self._open_exchange(context, transaction, tried)
                answer = await self._begin(context, exchange, transaction.read_only, after)
            except NotRun as error:
                return reply_for_error(error)
            if isinstance(answer, MemberAnswer) and answer.fault is None:
                self._attach_connection(context, transaction, exchange)
                return exchange
            tried.add(exchange.pool.record.id)
            exchange.pool.release(exchange.connection)
            last_reply = (
                answer if isinstance(answer, Reply) else reply_for_answer(answer, exchange.pool)
            )
            if isinstance(answer, MemberAnswer):
                self._router.note_fault(context, exchange.pool, answer, after)
            if context.remaining_s <= pause_s:
                break
            await asyncio.sleep(pause_s)
            pause_s *= 2
        return last_reply

    async def _open_exchange(
        self, context: StatementContext, transaction: SessionTransaction, tried: set[str]
    ) -> tuple[Exchange, LogPosition | None]:
        """Opens an exchange at a member that may begin the transaction.

        Raises:
            NotRun: No usable member has a connection free in time.
        """
        retry = bool(tried)
        if not transaction.read_only:
            return await self._router.open_exchange_at_primary(context, retry=retry), None
        await context.group.refresh_samples(context.route)
        now = asyncio.get_running_loop().time()
        requirement = context.group.read_requirement(context.route, context.committed, now)
        pool = context.group.choose_read_member(
            requirement,
            now,
            rank=context.rank,
            target_s=context.route.target_s,
            excluded=frozenset(tried),
            trial=False,
        )
        if pool is None or pool.record.id == context.group.primary_id:
            return await self._router.open_exchange_at_primary(context, retry=retry), None
        exchange = await self._router.open_exchange(context, pool, retry=retry)
        return exchange, requirement.position

    async def _begin(
        self,
        context: StatementContext,
        exchange: Exchange,
        read_only: bool,
        after: LogPosition | None,
    ) -> MemberAnswer | Reply:
        try:
            async with asyncio.timeout(self._begin_timeout_s(context, exchange.pool)):
                return await exchange.begin(read_only=read_only, after=after)
        except (MemberConnectionLost, TimeoutError) as error:
            exchange.connection.close()
            exchange.pool.note_late()
            return refuse_statement(Refusal.UNAVAILABLE, str(error) or "no answer in time")
        except NotRun:
            exchange.pool.release(exchange.connection)
            raise

    @staticmethod
    def _begin_timeout_s(context: StatementContext, pool: MemberPool) -> float:
        return max(min(context.remaining_s / 2, 4 * pool.latency.late_after_s), 0.01)

    def _attach_connection(
        self, context: StatementContext, transaction: SessionTransaction, exchange: Exchange
    ) -> None:
        # A member chosen as the primary must still be the primary for every answer.
        at_primary = (
            not transaction.read_only or exchange.pool.record.id == context.group.primary_id
        )
        transaction.connection = exchange.connection
        if at_primary:
            context.group.transactions_at_primary += 1
        self._bindings[exchange.connection] = _Binding(context.group, exchange.pool, at_primary)

    async def _run(self, context: StatementContext, exchange: Exchange) -> MemberAnswer | Reply:
        """Runs a statement; retries it on the connection while the member says it did not run."""
        pause_s = INITIAL_RETRY_PAUSE_S
        while True:
            try:
                async with asyncio.timeout(max(context.remaining_s, 0)):
                    answer = await exchange.run()
            except StatementNotSent as refused:
                answer = refused.answer
            except (MemberConnectionLost, NotRun, TimeoutError) as error:
                exchange.connection.close()
                exchange.pool.note_late()
                return _aborted_reply(str(error) or "no answer in time")
            retry = answer.fault is not None and answer.fault.not_run
            if not retry or answer.state is not TransactionState.OPEN:
                return answer
            if context.remaining_s <= pause_s:
                return answer
            await asyncio.sleep(pause_s)
            pause_s *= 2

    async def _commit(
        self, context: StatementContext, exchange: Exchange, transaction: SessionTransaction
    ) -> Reply:
        try:
            async with asyncio.timeout(max(context.remaining_s, 0)):
                answer = await exchange.run()
        except StatementNotSent as refused:
            exchange.connection.close()
            return _aborted_reply(refused.answer.detail)
        except NotRun as error:
            exchange.connection.close()
            return _aborted_reply(error.message)
        except (MemberConnectionLost, TimeoutError) as error:
            exchange.connection.close()
            exchange.pool.note_late()
            if not exchange.sent or not transaction.wrote:
                return _aborted_reply("the connection was lost and nothing had been written")
            return self._router.in_doubt_reply(context, str(error) or "no answer in time")
        commit = answer.position if transaction.wrote else None
        if answer.fault is None and not await self._confirm(
            context, exchange.connection, commit=commit
        ):
            if not transaction.wrote:
                return _aborted_reply("the primary may have been replaced")
            return self._router.in_doubt_reply(context, "the primary may have been replaced")
        if answer.fault is None and transaction.wrote:
            context.note_commit(answer.position)
        if answer.fault is not None and answer.fault.not_run:
            exchange.connection.close()  # the member rolls the transaction back
            return _aborted_reply(f"not committed: {answer.fault.name.lower()}")
        return reply_for_answer(answer, exchange.pool)

    def _may_send(self, context: StatementContext, connection: PooledConnection) -> bool:
        binding = self._bindings[connection]
        return not binding.at_primary or self._router.may_send(context, binding.pool)

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
        return await self._router.confirm(context, binding.pool, commit=commit)

    def _fail_transaction(self, context: StatementContext, reply: Reply) -> Reply:
        """Marks the transaction as failed and returns its connection to the pool."""
        transaction = context.session.transaction
        if transaction is not None and transaction.connection is not None:
            connection, transaction.connection = transaction.connection, None
            self._router.run_in_background(self._return_connection(connection))
        context.session.state = TransactionState.FAILED
        log_event(
            Event.TRANSACTION_ABORTED,
            request=context.statement.id,
            group=context.group.name,
            reason=reply.message,
        )
        return reply

    async def _return_connection(self, connection: PooledConnection) -> None:
        await self._unbind(connection).pool.roll_back(connection)

    def _unbind(self, connection: PooledConnection) -> _Binding:
        binding = self._bindings.pop(connection)
        if binding.at_primary:
            binding.group.transactions_at_primary -= 1
        return binding


def _executes_prepared_write(context: StatementContext) -> bool:
    prepared = context.snapshot.prepared
    return prepared is not None and prepared.access is Access.WRITE


def _aborted_reply(message: str) -> Reply:
    return refuse_statement(Refusal.ABORTED, message or "transaction rolled back", retry_after_ms=0)
