"""One read and its attempts at different members; the first result wins."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from wigeonpoint.connection.session import MemberAnswer, MemberConnectionLost, MemberFault
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process.gateway._exchange import LATE_FLOOR_S, NotSent
from wigeonpoint.process.gateway._group import ReadRequirement
from wigeonpoint.process.gateway._member_pool import MemberPool
from wigeonpoint.process.gateway._refusals import reply_for_answer, reply_for_error
from wigeonpoint.process.gateway._statement_context import RETRY_PAUSE_S, StatementContext
from wigeonpoint.request.session import Refusal, Reply, refuse_statement

if TYPE_CHECKING:
    from wigeonpoint.process.gateway._executor import StatementExecutor

PARALLEL_READS = 2
# After this an answer that nobody waits for is taken for lost, and its connection is closed.
ABANDONED_LIFE_S = 0.5
OVERTAKEN_LIFE_S = 0.1  # the same, of one that later statements have overtaken
ABANDONED_LATE_FACTOR = 4  # the same, as a multiple of the time after which an answer is late


class HedgedRead:
    """One read and its attempts at different members; the first result wins.

    Args:
        executor: Executor of the instance.
        context: The read.
    """

    def __init__(self, executor: StatementExecutor, context: StatementContext) -> None:
        self._executor = executor
        self._context = context
        self._tried: set[str] = set()
        self._attempts: dict[asyncio.Task[MemberAnswer | NotRun], MemberPool] = {}
        self._last: Reply = refuse_statement(Refusal.OVERLOADED, "no member answered in time")
        self._pause = RETRY_PAUSE_S
        self._sent_at: dict[asyncio.Task[MemberAnswer | NotRun], float] = {}
        self._free_repeats = 0

    async def run(self) -> Reply:
        """Runs the read until a result, a refusal or the deadline."""
        try:
            while self._context.remaining_s > 0:
                self._drop_lost()
                started = await self._start_attempt()
                if not self._attempts:
                    if not started and not await self._rest():
                        return self._last
                    continue
                reply = await self._wait()
                if reply is not None:
                    return reply
            return self._last
        finally:
            for task, pool in self._attempts.items():
                life_s = abandoned_life_s(pool)
                self._executor.in_background(_abandon(task, pool, life_s=life_s))

    async def _start_attempt(self) -> bool:
        if len(self._attempts) >= PARALLEL_READS:
            return False
        if self._tried and not self._may_repeat():
            return False
        context = self._context
        now = asyncio.get_running_loop().time()
        requirement = context.group.requirement(context.route, context.committed, now)
        pool = context.group.choose_read_member(requirement, now, excluded=frozenset(self._tried))
        if pool is None and self._tried and not requirement.primary_only:
            return False
        if pool is None or pool.record.id == context.group.primary_id:
            try:
                pool = await self._executor.primary(context)
            except NotRun as error:
                self._last = reply_for_error(error)
                return False
        self._tried.add(pool.record.id)
        task = asyncio.create_task(self._attempt(pool, requirement))
        self._attempts[task] = pool
        return True

    def _drop_lost(self) -> None:
        """Gives up attempts that have most likely lost their answer.

        The answer is late, and statements that were sent later have been answered. The member has
        done its work, so that asking again takes nothing from the budget.
        """
        now = asyncio.get_running_loop().time()
        for task, pool in list(self._attempts.items()):
            sent_at = self._sent_at.get(task, now)
            late_s = max(pool.latency.late_after_s, LATE_FLOOR_S)
            if now - sent_at >= late_s and pool.overtaken(sent_at):
                del self._attempts[task]
                self._executor.in_background(_abandon(task, pool, life_s=OVERTAKEN_LIFE_S))
                self._free_repeats += 1

    def _may_repeat(self) -> bool:
        if self._free_repeats:
            self._free_repeats -= 1
            return True
        return self._executor.budgets.of(self._context.route.name).take()

    async def _attempt(
        self, pool: MemberPool, requirement: ReadRequirement
    ) -> MemberAnswer | NotRun:
        context = self._context
        try:
            exchange = await self._executor.open(context, pool)
        except NotRun as error:
            return error
        primary = pool.record.id == context.group.primary_id
        after = None if primary else requirement.position
        try:
            task = asyncio.current_task()
            if task is not None:
                self._sent_at[task] = asyncio.get_running_loop().time()
            async with asyncio.timeout(max(context.remaining_s, 0) + abandoned_life_s(pool)):
                answer = await exchange.run(after=after)
        except NotSent as refused:
            return refused.answer
        except (MemberConnectionLost, TimeoutError) as error:
            exchange.connection.close()
            pool.note_late()
            return NotRun(ResultCode.BACKEND_UNREACHABLE, str(error) or "no answer in time")
        finally:
            pool.release(exchange.connection)
        if answer.fault is not None:
            self._executor.note_fault(context, pool, answer, after)
        elif primary and not await self._executor.confirm(context, pool):
            return NotRun(ResultCode.NO_PRIMARY, "the primary may have been replaced")
        return answer

    async def _wait(self) -> Reply | None:
        """Waits for an attempt to end, or until its answer is unusually late."""
        late = max(pool.latency.late_after_s for pool in self._attempts.values())
        wait = min(max(late, LATE_FLOOR_S), max(self._context.remaining_s, 0))
        done, _ = await asyncio.wait(
            self._attempts, timeout=wait, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            del self._attempts[task]
            reply = self._judge(task.result())
            if reply is not None:
                return reply
        return None

    def _judge(self, result: MemberAnswer | NotRun) -> Reply | None:
        """The final reply, or None if another attempt may succeed."""
        if isinstance(result, NotRun):
            self._last = reply_for_error(result)
            return None
        self._last = reply_for_answer(result)
        if result.fault is None or result.fault is MemberFault.MALFORMED:
            return self._last
        return None

    async def _rest(self) -> bool:
        """Pauses before members are tried again; False when there is no time for it."""
        self._pause *= 2
        if self._context.remaining_s <= self._pause or self._pause > 0.2:
            return False
        await asyncio.sleep(self._pause)
        self._tried.clear()
        return True


def abandoned_life_s(pool: MemberPool) -> float:
    """Seconds for which an answer is awaited after its statement has been given up."""
    return max(ABANDONED_LIFE_S, ABANDONED_LATE_FACTOR * pool.latency.late_after_s)


async def _abandon(task: asyncio.Task[Any], pool: MemberPool, *, life_s: float) -> None:
    """Waits for an attempt that nobody needs any more, so that its connection can be used again."""
    done, _ = await asyncio.wait({task}, timeout=life_s)
    if not done:
        pool.note_late()
        task.cancel()
