"""Reads that are also sent to a second member when the first one's answer is late."""

from __future__ import annotations

import asyncio
from typing import Any

from wigeonpoint.connection.session import MemberAnswer, MemberConnectionLost, MemberFault
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process.gateway._exchange import StatementNotSent
from wigeonpoint.process.gateway._read_requirement import ReadRequirement
from wigeonpoint.process.gateway._replies import reply_for_answer, reply_for_error
from wigeonpoint.process.gateway._statement_context import INITIAL_RETRY_PAUSE_S, StatementContext
from wigeonpoint.process.gateway._statement_router import StatementRouter
from wigeonpoint.process.gateway.pool import MIN_LATE_S, MemberPool
from wigeonpoint.request.session import Refusal, Reply, refuse_statement

MAX_PARALLEL_ATTEMPTS = 2
MIN_REMAINING_S = 0.001  # with less time left, no answer can be waited for
# How long an abandoned attempt may still get its answer before its connection is closed.
ABANDONED_WAIT_S = 0.5
OVERTAKEN_WAIT_S = 0.1  # the same, when later statements have already been answered
ABANDONED_LATE_FACTOR = 4  # at least this multiple of the time after which an answer is late


class HedgedRead:
    """One read and its attempts at different members; the first usable answer wins.

    Args:
        router: Opens the exchanges.
        context: The read.
    """

    def __init__(self, router: StatementRouter, context: StatementContext) -> None:
        self._router = router
        self._context = context
        self._tried: set[str] = set()
        self._attempts: dict[asyncio.Task[MemberAnswer | NotRun], MemberPool] = {}
        self._last_reply: Reply = refuse_statement(Refusal.OVERLOADED, "no member answered in time")
        self._pause_s = INITIAL_RETRY_PAUSE_S
        self._sent_at: dict[asyncio.Task[MemberAnswer | NotRun], float] = {}
        self._free_retries = 0
        self._answered = False  # whether a member has refused or failed to run the read

    async def run(self) -> Reply:
        """Runs the read until there is a result or a final refusal, or the deadline has passed."""
        try:
            while self._context.remaining_s > MIN_REMAINING_S:
                self._abandon_lost()
                started = await self._start_attempt()
                if not self._attempts:
                    if not started and not await self._pause_before_retry():
                        return self._last_reply
                    continue
                reply = await self._wait_for_reply()
                if reply is not None:
                    return reply
            return self._last_reply
        finally:
            for task, pool in self._attempts.items():
                wait_s = abandoned_wait_s(pool)
                self._router.run_in_background(_abandon(task, pool, wait_s=wait_s))

    async def _start_attempt(self) -> bool:
        if len(self._attempts) >= MAX_PARALLEL_ATTEMPTS:
            return False
        if (self._tried or self._answered) and not self._may_retry():
            return False
        context = self._context
        await context.group.refresh_samples(context.route)
        now = asyncio.get_running_loop().time()
        requirement = context.group.read_requirement(context.route, context.committed, now)
        pool = context.group.choose_read_member(
            requirement,
            now,
            rank=context.rank,
            target_s=context.route.target_s,
            excluded=frozenset(self._tried),
            trial=not self._tried and not self._answered,
        )
        if pool is None and self._tried and not requirement.primary_only:
            return False
        if pool is None or pool.record.id == context.group.primary_id:
            try:
                pool = await self._router.wait_for_primary(context)
            except NotRun as error:
                self._last_reply = reply_for_error(error)
                return False
        self._tried.add(pool.record.id)
        task = asyncio.create_task(self._attempt(pool, requirement, retry=self._answered))
        self._attempts[task] = pool
        return True

    def _abandon_lost(self) -> None:
        """Abandons attempts whose answer has most likely been lost.

        The answer is late, and the member has answered statements that were sent later. It has done
        the work already, so a retry does not count against the retry budget.
        """
        now = asyncio.get_running_loop().time()
        for task, pool in list(self._attempts.items()):
            sent_at = self._sent_at.get(task, now)
            late_s = max(pool.latency.late_after_s, MIN_LATE_S)
            if now - sent_at >= late_s and pool.overtaken(sent_at):
                del self._attempts[task]
                self._router.run_in_background(_abandon(task, pool, wait_s=OVERTAKEN_WAIT_S))
                self._free_retries += 1

    def _may_retry(self) -> bool:
        if self._free_retries:
            self._free_retries -= 1
            return True
        return self._router.budgets.of(self._context.route.name).take()

    async def _attempt(
        self, pool: MemberPool, requirement: ReadRequirement, *, retry: bool
    ) -> MemberAnswer | NotRun:
        context = self._context
        began_at = asyncio.get_running_loop().time()
        try:
            exchange = await self._router.open_exchange(context, pool, retry=retry)
        except NotRun as error:
            self._note_refused(pool)
            return error
        primary = pool.record.id == context.group.primary_id
        after = None if primary else requirement.position
        try:
            task = asyncio.current_task()
            if task is not None:
                self._sent_at[task] = asyncio.get_running_loop().time()
            async with asyncio.timeout(max(context.remaining_s, 0) + abandoned_wait_s(pool)):
                answer = await exchange.run(after=after)
        except StatementNotSent as refused:
            return refused.answer
        except NotRun as error:
            self._note_refused(pool)
            return error
        except (MemberConnectionLost, TimeoutError) as error:
            exchange.connection.close()
            pool.note_late()
            return NotRun(ResultCode.BACKEND_UNREACHABLE, str(error) or "no answer in time")
        finally:
            pool.release(exchange.connection)
        if answer.fault is not None:
            self._router.note_fault(context, pool, answer, after)
            if answer.fault is MemberFault.BUSY:
                self._note_refused(pool)
        elif primary and not await self._router.confirm(context, pool):
            return NotRun(ResultCode.NO_PRIMARY, "the primary may have been replaced")
        if answer.fault is None and not primary:
            self._note_answer(pool, began_at)
        return answer

    def _note_answer(self, pool: MemberPool, began_at: float) -> None:
        context, now = self._context, asyncio.get_running_loop().time()
        context.group.remote_reads.note_answer(
            context.rank,
            remote=context.group.remote_reads.is_remote(pool.record),
            seconds=now - began_at,
            now=now,
        )

    def _note_refused(self, pool: MemberPool) -> None:
        if self._context.group.remote_reads.is_remote(pool.record):
            self._context.group.remote_reads.note_refused(self._context.rank)

    async def _wait_for_reply(self) -> Reply | None:
        """Waits until an attempt ends or an answer is late; returns the final reply, if any."""
        late = max(self._late_after_s(pool) for pool in self._attempts.values())
        timeout_s = min(max(late, MIN_LATE_S), max(self._context.remaining_s, 0))
        done, _ = await asyncio.wait(
            self._attempts, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            pool = self._attempts.pop(task)
            reply = self._final_reply(task.result(), pool)
            if reply is not None:
                return reply
        return None

    def _late_after_s(self, pool: MemberPool) -> float:
        """Seconds after which the read is sent to another member as well."""
        if self._context.group.health.ejected(pool.record.id) is not None:
            return MIN_LATE_S  # a trial must not cost its caller the latency of a slow member
        return pool.latency.late_after_s

    def _final_reply(self, result: MemberAnswer | NotRun, pool: MemberPool) -> Reply | None:
        """Returns the final reply, or None if another attempt may succeed."""
        if isinstance(result, NotRun):
            self._last_reply = reply_for_error(result)
            return None
        self._answered = True
        self._last_reply = reply_for_answer(result, pool)
        if result.fault is None or result.fault is MemberFault.MALFORMED:
            return self._last_reply
        if result.fault is MemberFault.BEHIND:
            self._free_retries += 1  # the member has done no work
        return None

    async def _pause_before_retry(self) -> bool:
        """Pauses before all members are tried again; returns False if no time is left for it."""
        self._pause_s *= 2
        if self._context.remaining_s <= self._pause_s or self._pause_s > 0.2:
            return False
        await asyncio.sleep(self._pause_s)
        self._tried.clear()
        return True


def abandoned_wait_s(pool: MemberPool) -> float:
    """Seconds to wait for the answer of an attempt that has been abandoned."""
    return max(ABANDONED_WAIT_S, ABANDONED_LATE_FACTOR * pool.latency.late_after_s)


async def _abandon(task: asyncio.Task[Any], pool: MemberPool, *, wait_s: float) -> None:
    """Lets an abandoned attempt end, so that its connection can be used again."""
    done, _ = await asyncio.wait({task}, timeout=wait_s)
    if not done:
        pool.note_late()
        task.cancel()
