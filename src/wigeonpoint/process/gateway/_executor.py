"""Runs statements outside transactions: reads at members recent enough, writes at the primary."""

from __future__ import annotations

import asyncio

from wigeonpoint.connection.session import MemberAnswer, MemberConnectionLost
from wigeonpoint.errors import NotRun
from wigeonpoint.process.gateway._exchange import Exchange, StatementNotSent
from wigeonpoint.process.gateway._hedged_read import HedgedRead
from wigeonpoint.process.gateway._replies import reply_for_answer, reply_for_error
from wigeonpoint.process.gateway._statement_context import INITIAL_RETRY_PAUSE_S, StatementContext
from wigeonpoint.process.gateway._statement_router import StatementRouter
from wigeonpoint.request.session import Refusal, Reply, refuse_statement


class StatementExecutor:
    """Runs single statements.

    Args:
        router: Opens exchanges with members.
    """

    def __init__(self, router: StatementRouter) -> None:
        self._router = router

    async def read(self, context: StatementContext) -> Reply:
        """Runs a read; if the answer is late, also sends it to another member."""
        self._router.budgets.of(context.route.name).note_request()
        return await HedgedRead(self._router, context).run()

    async def write(self, context: StatementContext) -> Reply:
        """Runs a write at the primary at most once; retries it only if it was not run."""
        self._router.budgets.of(context.route.name).note_request()
        pause_s = INITIAL_RETRY_PAUSE_S
        retry = False
        while True:
            try:
                exchange = await self._router.open_exchange_at_primary(context, retry=retry)
                answer = await self._write_once(context, exchange)
            except NotRun as error:
                return reply_for_error(error)
            if isinstance(answer, Reply):
                return answer
            if not answer.fault or not answer.fault.not_run or context.remaining_s <= pause_s:
                return reply_for_answer(answer, exchange.pool)
            if not self._router.budgets.of(context.route.name).take():
                return reply_for_answer(answer, exchange.pool)
            retry = True
            await asyncio.sleep(pause_s)
            pause_s *= 2

    async def _write_once(
        self, context: StatementContext, exchange: Exchange
    ) -> MemberAnswer | Reply:
        """Sends a write once; returns the member's answer, or a reply if it is lost or in doubt.

        Raises:
            NotRun: The write was refused before it reached the member.
        """
        try:
            async with asyncio.timeout(max(context.remaining_s, 0)):
                answer = await exchange.run()
        except StatementNotSent as refused:
            exchange.pool.release(exchange.connection)
            return refused.answer
        except NotRun:
            exchange.pool.release(exchange.connection)
            raise
        except (MemberConnectionLost, TimeoutError) as error:
            exchange.connection.close()
            exchange.pool.release(exchange.connection)
            return self._reply_for_lost_answer(context, exchange, error)
        exchange.pool.release(exchange.connection)
        if answer.fault is None:
            if not await self._router.confirm(context, exchange.pool, commit=answer.position):
                return self._router.in_doubt_reply(context, "the primary may have been replaced")
            context.note_commit(answer.position)
        elif answer.fault.not_run:
            self._router.note_fault(context, exchange.pool, answer, None)
        return answer

    def _reply_for_lost_answer(
        self, context: StatementContext, exchange: Exchange, error: Exception
    ) -> MemberAnswer | Reply:
        if not exchange.sent:
            return refuse_statement(
                Refusal.UNAVAILABLE, "the connection was lost before the statement was sent"
            )
        exchange.pool.note_late()
        return self._router.in_doubt_reply(context, str(error) or "no answer in time")
