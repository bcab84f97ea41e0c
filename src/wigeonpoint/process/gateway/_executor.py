"""Runs statements outside transactions: reads at any proven member, writes at the primary."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection.session import (
    CallerSession,
    MemberAnswer,
    MemberConnectionLost,
    MemberFault,
    MemberLink,
)
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._exchange import LATE_FLOOR_S, Exchange, NotSent
from wigeonpoint.process.gateway._group import Group, ReadRequirement
from wigeonpoint.process.gateway._member_pool import MemberPool
from wigeonpoint.process.gateway._primary_guard import PrimaryGuard
from wigeonpoint.process.gateway._refusals import reply_for_answer, reply_for_error
from wigeonpoint.request import RetryBudgets
from wigeonpoint.request.session import (
    Refusal,
    Reply,
    SessionStatement,
    refuse_statement,
)
from wigeonpoint.version.catalogue import DatabaseRoute

PARALLEL_READS = 2
RETRY_PAUSE_S = 0.005
# A caller is told to come back before a quarter of its objective is spent on waiting in vain.
WAIT_SHARE = 0.2
PRIMARY_CHECK_S = 0.02
SHORTEST_WAIT_S = 0.001
# After this an answer that nobody waits for is taken for lost, and its link is closed.
ABANDONED_LIFE_S = 0.5
OVERTAKEN_LIFE_S = 0.1  # the same, of one that later statements have overtaken
ABANDONED_LATE_FACTOR = 4  # the same, as a multiple of the time after which an answer is late


@dataclass(frozen=True, slots=True)
class Work:
    """A statement with what its execution needs.

    Attributes:
        session: The caller's session.
        route: The route that it runs under.
        group: The route's database group.
        statement: The statement.
        deadline: Event-loop time, in seconds, until which its answer is of use.
    """

    session: CallerSession
    route: DatabaseRoute
    group: Group
    statement: SessionStatement
    deadline: float

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    @property
    def committed(self) -> LogPosition | None:
        """Position of the session's last commit in the group, or None."""
        return self.session.committed.get(self.group.name)

    def note_commit(self, position: LogPosition | None) -> None:
        """Records the position of a commit of the session."""
        if position is not None:
            self.session.committed[self.group.name] = position


class StatementExecutor:
    """Runs single statements and hands out links for transactions.

    Args:
        guard: Evidence for the use of primaries.
    """

    def __init__(self, guard: PrimaryGuard) -> None:
        self._guard = guard
        self._background: set[asyncio.Task[Any]] = set()
        self.budgets = RetryBudgets()

    async def read(self, work: Work) -> Reply:
        """Runs a read; one whose answer stays away is also sent to another member."""
        self.budgets.of(work.route.name).note_request()
        return await _ReadRace(self, work).run()

    async def write(self, work: Work) -> Reply:
        """Runs a write at the primary, at most once."""
        self.budgets.of(work.route.name).note_request()
        pause = RETRY_PAUSE_S
        while True:
            try:
                exchange = await self.open_at_primary(work)
            except NotRun as error:
                return reply_for_error(error)
            answer = await self._write_once(work, exchange)
            if isinstance(answer, Reply):
                return answer
            if not answer.fault or not answer.fault.not_run or work.remaining_s <= pause:
                return reply_for_answer(answer)
            if not self.budgets.of(work.route.name).take():
                return reply_for_answer(answer)
            await asyncio.sleep(pause)
            pause *= 2

    async def open_at_primary(self, work: Work) -> Exchange:
        """Waits for the primary and for a link to it.

        Raises:
            NotRun: No primary may be used, or no link is free in time.
        """
        pool = await self.primary(work)
        return await self.open(work, pool)

    async def open(self, work: Work, pool: MemberPool) -> Exchange:
        """Waits for a link to a member.

        Raises:
            NotRun: No link is free in time.
        """
        link = await pool.acquire(
            work.route.rank,
            caller=work.route.name,
            deadline=work.deadline,
            session=work.session.number,
        )
        return self.exchange(work, pool, link)

    def exchange(self, work: Work, pool: MemberPool, link: MemberLink) -> Exchange:
        """An exchange of a statement on a link."""
        return Exchange(work.group, pool, link, work.session, work.statement, self._guard)

    async def primary(self, work: Work) -> MemberPool:
        """Waits a little for a primary that may be used.

        Raises:
            NotRun: NO_PRIMARY.
        """
        loop = asyncio.get_running_loop()
        work.group.primary_wanted_at = loop.time()
        give_up = min(work.deadline, loop.time() + WAIT_SHARE * work.route.target_s)
        while True:
            pool = work.group.primary
            usable = pool is not None and (pool.health.available or pool.health.may_try)
            if pool is not None and usable and self.may_send(work, pool):
                return pool
            if pool is not None and not pool.health.available:
                pool.probe()
            remaining = give_up - loop.time()
            if remaining < SHORTEST_WAIT_S:
                raise NotRun(
                    ResultCode.NO_PRIMARY,
                    f"group {work.group.name} has no primary that may be used",
                    retry_after_ms=int(work.route.target_s * 1000),
                )
            await work.group.wait_for_change(min(remaining, PRIMARY_CHECK_S))

    def may_send(self, work: Work, pool: MemberPool) -> bool:
        """Whether a statement may be sent to a member as the primary."""
        return self._guard.may_send(work.group.name, pool.record.id)

    async def confirm(
        self, work: Work, pool: MemberPool, *, commit: LogPosition | None = None
    ) -> bool:
        """Whether an answer of the primary may be given to the caller.

        Args:
            work: The statement.
            pool: Pool of the member that answered.
            commit: Position of the commit that was answered, None if it was no commit.
        """
        return await self._guard.confirm(
            work.group.name, pool.record.id, commit, deadline=work.deadline
        )

    def note_fault(
        self, work: Work, pool: MemberPool, answer: MemberAnswer, after: LogPosition | None
    ) -> None:
        """Records why a member did not run a statement."""
        if answer.fault is MemberFault.BEHIND and after is not None:
            now = asyncio.get_running_loop().time()
            work.group.note_behind(pool.record.id, after, now)
        log_event(
            Event.STATEMENT_RETRIED,
            request=work.statement.id,
            member=pool.record.id,
            fault=answer.fault.name.lower() if answer.fault else None,
        )

    def in_background(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs something that no caller waits for."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def _write_once(self, work: Work, exchange: Exchange) -> MemberAnswer | Reply:
        """Sends a write once; gives the member's answer, or the reply if there is no answer."""
        try:
            async with asyncio.timeout(max(work.remaining_s, 0)):
                answer = await exchange.run()
        except NotSent as refused:
            exchange.pool.release(exchange.link)
            return refused.answer
        except (MemberConnectionLost, TimeoutError) as error:
            exchange.link.close()
            exchange.pool.release(exchange.link)
            return self._write_lost(work, exchange, error)
        exchange.pool.release(exchange.link)
        if answer.fault is None:
            if not await self.confirm(work, exchange.pool, commit=answer.position):
                return self.in_doubt(work, "the primary may have been replaced")
            work.note_commit(answer.position)
        elif answer.fault.not_run:
            self.note_fault(work, exchange.pool, answer, None)
        return answer

    def _write_lost(self, work: Work, exchange: Exchange, error: Exception) -> MemberAnswer | Reply:
        if not exchange.sent:
            return refuse_statement(
                Refusal.UNAVAILABLE, "the connection was lost before the statement was sent"
            )
        exchange.pool.note_late()
        return self.in_doubt(work, str(error) or "no answer in time")

    def in_doubt(self, work: Work, reason: str) -> Reply:
        """The reply for a statement that may have taken effect."""
        log_event(
            Event.STATEMENT_IN_DOUBT,
            request=work.statement.id,
            group=work.group.name,
            reason=reason,
        )
        return refuse_statement(Refusal.IN_DOUBT, reason)


class _ReadRace:
    """One read and its attempts at different members; the first result wins.

    Args:
        executor: Executor of the instance.
        work: The read.
    """

    def __init__(self, executor: StatementExecutor, work: Work) -> None:
        self._executor = executor
        self._work = work
        self._tried: set[str] = set()
        self._attempts: dict[asyncio.Task[MemberAnswer | NotRun], MemberPool] = {}
        self._last: Reply = refuse_statement(Refusal.OVERLOADED, "no member answered in time")
        self._pause = RETRY_PAUSE_S
        self._sent_at: dict[asyncio.Task[MemberAnswer | NotRun], float] = {}
        self._free_repeats = 0

    async def run(self) -> Reply:
        """Runs the read until a result, a refusal or the deadline."""
        try:
            while self._work.remaining_s > 0:
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
        work = self._work
        now = asyncio.get_running_loop().time()
        requirement = work.group.requirement(work.route, work.committed, now)
        pool = work.group.choose_reader(requirement, now, excluded=frozenset(self._tried))
        if pool is None and self._tried and not requirement.primary_only:
            return False
        if pool is None or pool.record.id == work.group.primary_id:
            try:
                pool = await self._executor.primary(work)
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
        return self._executor.budgets.of(self._work.route.name).take()

    async def _attempt(
        self, pool: MemberPool, requirement: ReadRequirement
    ) -> MemberAnswer | NotRun:
        work = self._work
        try:
            exchange = await self._executor.open(work, pool)
        except NotRun as error:
            return error
        primary = pool.record.id == work.group.primary_id
        after = None if primary else requirement.position
        try:
            task = asyncio.current_task()
            if task is not None:
                self._sent_at[task] = asyncio.get_running_loop().time()
            async with asyncio.timeout(max(work.remaining_s, 0) + abandoned_life_s(pool)):
                answer = await exchange.run(after=after)
        except NotSent as refused:
            return refused.answer
        except (MemberConnectionLost, TimeoutError) as error:
            exchange.link.close()
            pool.note_late()
            return NotRun(ResultCode.BACKEND_UNREACHABLE, str(error) or "no answer in time")
        finally:
            pool.release(exchange.link)
        if answer.fault is not None:
            self._executor.note_fault(work, pool, answer, after)
        elif primary and not await self._executor.confirm(work, pool):
            return NotRun(ResultCode.NO_PRIMARY, "the primary may have been replaced")
        return answer

    async def _wait(self) -> Reply | None:
        """Waits for an attempt to end, or until its answer is unusually late."""
        late = max(pool.latency.late_after_s for pool in self._attempts.values())
        wait = min(max(late, LATE_FLOOR_S), max(self._work.remaining_s, 0))
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
        if self._work.remaining_s <= self._pause or self._pause > 0.2:
            return False
        await asyncio.sleep(self._pause)
        self._tried.clear()
        return True


def abandoned_life_s(pool: MemberPool) -> float:
    """Seconds for which an answer is awaited after its statement has been given up."""
    return max(ABANDONED_LIFE_S, ABANDONED_LATE_FACTOR * pool.latency.late_after_s)


async def _abandon(task: asyncio.Task[Any], pool: MemberPool, *, life_s: float) -> None:
    """Waits for an attempt that nobody needs any more, so that its link can be used again."""
    done, _ = await asyncio.wait({task}, timeout=life_s)
    if not done:
        pool.note_late()
        task.cancel()
