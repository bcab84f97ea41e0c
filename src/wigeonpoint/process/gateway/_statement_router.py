"""Chooses primaries for statements, opens exchanges with members and confirms their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection.session import (
    MemberAnswer,
    MemberFault,
    PooledConnection,
    RequestTerms,
)
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._exchange import Exchange
from wigeonpoint.process.gateway._primary_guard import PrimaryGuard
from wigeonpoint.process.gateway._statement_context import StatementContext
from wigeonpoint.process.gateway.pool import MemberPool
from wigeonpoint.process.policy import ReturnSchedule
from wigeonpoint.request import Rank, RetryBudgets
from wigeonpoint.request.session import Refusal, Reply, refuse_statement

# Of the latency objective, to wait for a primary. A caller is told to retry before a quarter of its
# objective is spent.
PRIMARY_WAIT_FRACTION = 0.2
PRIMARY_CHECK_INTERVAL_S = 0.02
MIN_WAIT_S = 0.001


_ONE_RANK_LOWER = {Rank.URGENT: Rank.STANDARD, Rank.STANDARD: Rank.BULK}


def one_rank_lower(rank: Rank) -> Rank:
    """The next less urgent rank; the least urgent one stays."""
    return _ONE_RANK_LOWER.get(rank, rank)


class StatementRouter:
    """Opens exchanges with the members that statements should run at.

    Args:
        guard: Tells whether a primary may be used.
    """

    def __init__(self, guard: PrimaryGuard) -> None:
        self._guard = guard
        self._background: set[asyncio.Task[Any]] = set()
        self._returns: dict[str, ReturnSchedule] = {}  # by group
        self.budgets = RetryBudgets()

    async def open_exchange_at_primary(
        self, context: StatementContext, *, retry: bool = False
    ) -> Exchange:
        """Waits for a usable primary and for a connection to it.

        Raises:
            NotRun: No primary may be used, or no connection is free in time.
        """
        pool = await self.wait_for_primary(context)
        return await self.open_exchange(context, pool, retry=retry)

    async def open_exchange(
        self, context: StatementContext, pool: MemberPool, *, retry: bool = False
    ) -> Exchange:
        """Waits for a connection to a member.

        Args:
            context: The statement.
            pool: Pool of the member.
            retry: Whether the statement was sent before; it must not delay first attempts.

        Raises:
            NotRun: No connection is free in time.
        """
        rank = one_rank_lower(context.rank) if retry else context.rank
        connection = await pool.acquire(
            rank,
            caller=context.queue_key,
            deadline=context.deadline,
            session=context.session.number,
            customer=context.customer_name,
            patience_s=context.patience_s,
        )
        return self.make_exchange(context, pool, connection, rank=rank)

    def make_exchange(
        self,
        context: StatementContext,
        pool: MemberPool,
        connection: PooledConnection,
        *,
        rank: Rank | None = None,
    ) -> Exchange:
        """Makes the exchange of a statement on a connection.

        Args:
            context: The statement.
            pool: Pool of the member.
            connection: The connection.
            rank: Urgency at the member's relays; by default that of the statement.
        """
        rank = rank or context.rank
        group = context.group
        if group.remote_reads.gives_way(pool.record, group.pools, group.primary_id):
            rank = one_rank_lower(rank)
        connection.member_connection.assign(
            RequestTerms(
                rank,
                context.queue_key,
                context.deadline,
                context.session.number,
                context.customer_name,
                patience_s=context.patience_s,
            )
        )
        return Exchange(
            context.group, pool, connection, context.snapshot, context.statement, self._guard
        )

    async def wait_for_primary(self, context: StatementContext) -> MemberPool:
        """Waits for a usable primary, for a part of the route's latency objective.

        Raises:
            NotRun: NO_PRIMARY; there was none in time.
        """
        loop = asyncio.get_running_loop()
        context.group.primary_requested_at = loop.time()
        give_up_at = min(
            context.deadline, loop.time() + PRIMARY_WAIT_FRACTION * context.route.target_s
        )
        while True:
            pool = context.group.primary
            reached = pool is not None and (pool.health.available or pool.health.may_connect)
            usable = pool is not None and reached and pool.takes_new
            if pool is not None and usable and self.may_send(context, pool):
                return pool
            if pool is not None and not pool.health.available:
                pool.probe()
            remaining = give_up_at - loop.time()
            if remaining < MIN_WAIT_S:
                leaving = pool is not None and not pool.takes_new
                raise NotRun(
                    ResultCode.NO_PRIMARY,
                    f"group {context.group.name} has no primary that may be used"
                    + (": it is leaving and takes no new statements" if leaving else ""),
                    retry_after_ms=self._primary_retry_ms(context),
                )
            await context.group.wait_for_change(min(remaining, PRIMARY_CHECK_INTERVAL_S))

    def _primary_retry_ms(self, context: StatementContext) -> int:
        """Milliseconds after which to look for a primary again, different ones for each caller."""
        returns = self._returns.setdefault(context.group.name, ReturnSchedule())
        now = asyncio.get_running_loop().time()
        return int(returns.next_return_s(context.route.target_s, 0.0, now) * 1000)

    def may_send(self, context: StatementContext, pool: MemberPool) -> bool:
        """Whether a statement may be sent to a member as the primary."""
        return self._guard.may_send(context.group.name, pool.record.id)

    async def confirm(
        self, context: StatementContext, pool: MemberPool, *, commit: LogPosition | None = None
    ) -> bool:
        """Whether an answer of the primary may be given to the caller.

        Args:
            context: The statement.
            pool: Pool of the member that answered.
            commit: Position of the commit that was answered, None if it was no commit.
        """
        return await self._guard.confirm(
            context.group.name, pool.record.id, commit, deadline=context.deadline
        )

    def note_fault(
        self,
        context: StatementContext,
        pool: MemberPool,
        answer: MemberAnswer,
        after: LogPosition | None,
    ) -> None:
        """Records why a member did not run a statement."""
        if answer.fault is MemberFault.BEHIND and after is not None:
            now = asyncio.get_running_loop().time()
            context.group.note_behind(pool.record.id, after, now)
        log_event(
            Event.STATEMENT_RETRIED,
            request=context.statement.id,
            member=pool.record.id,
            fault=answer.fault.name.lower() if answer.fault else None,
        )

    def run_in_background(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine in a task that no caller waits for."""
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def in_doubt_reply(self, context: StatementContext, reason: str) -> Reply:
        """Logs and returns the refusal of a statement that may have taken effect."""
        log_event(
            Event.STATEMENT_IN_DOUBT,
            request=context.statement.id,
            group=context.group.name,
            reason=reason,
        )
        return refuse_statement(Refusal.IN_DOUBT, reason)
