"""Tests of the queue that grants the slots of one backend server."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process._concurrency import AdaptiveLimit, FixedLimit
from wigeonpoint.process._rank_queue import QueueBounds, RankQueue
from wigeonpoint.process._schedule import RANKS, QueueEntry, RankedSchedule
from wigeonpoint.request import Rank

pytestmark = pytest.mark.looptime(noop_cycles=0)
SERVICE_S = 0.01
FAR_DEADLINE_S = 1000.0


class QueueRun:
    """A queue under test, with the order in which its requests were dispatched."""

    def __init__(self, **options: Any) -> None:
        options.setdefault("limit", FixedLimit(2))
        options.setdefault("schedule", RankedSchedule())
        self.queue = RankQueue("db-0", **options)
        self.order: list[tuple[Rank, str]] = []

    def send(self, rank: Rank, caller: str = "a", **options: Any) -> asyncio.Task[None]:
        """Starts a task that requests a slot."""
        return asyncio.create_task(self._hold_slot(rank, caller, **options))

    async def _hold_slot(
        self,
        rank: Rank,
        caller: str,
        deadline_in_s: float = FAR_DEADLINE_S,
        service_s: float = SERVICE_S,
        **options: Any,
    ) -> None:
        deadline = asyncio.get_running_loop().time() + deadline_in_s
        async with self.queue.admit(
            rank=rank, caller=caller, deadline=deadline, **options
        ) as entry:
            entry.mark_sent()
            self.order.append((rank, caller))
            await asyncio.sleep(service_s)


async def refusal(task: asyncio.Task[None]) -> NotRun:
    """Returns the refusal that a task ended with."""
    with pytest.raises(NotRun) as caught:
        await task
    return caught.value


class TestOrder:
    """Which request gets the next slot."""

    async def test_urgent_goes_first_and_lower_ranks_get_their_share(self) -> None:
        """Guards against starvation of a lower rank, and against bulk before urgent requests."""
        run = QueueRun()
        tasks = [run.send(rank) for rank in reversed(RANKS) for _ in range(100)]
        await asyncio.sleep(1.0 - SERVICE_S / 2)
        counts = Counter(rank for rank, _ in run.order[2:102])  # 2 started before the rest arrived
        # The fifth bulk dispatch falls on the edge of the window.
        assert counts[Rank.STANDARD] == 10 and counts[Rank.BULK] in (4, 5)
        assert run.order[2][0] is Rank.URGENT
        await asyncio.gather(*tasks)

    async def test_flood_of_one_caller_delays_only_itself(self) -> None:
        """Guards against a flood that delays the other callers of its rank."""
        run = QueueRun()
        tasks = [run.send(Rank.STANDARD, "flood") for _ in range(100)]
        await asyncio.sleep(0)
        others = [run.send(Rank.STANDARD, f"c{index}") for index in range(5)]
        await asyncio.gather(*others)
        assert len(run.order) <= 2 + 5 + 3
        await asyncio.gather(*tasks)

    async def test_open_transaction_goes_ahead_of_its_rank(self) -> None:
        """Guards against transactions that hold connections while they wait behind a backlog."""
        run = QueueRun()
        tasks = [run.send(Rank.STANDARD) for _ in range(10)]
        await asyncio.sleep(0)
        await run.send(Rank.STANDARD, "t", in_transaction=True)
        assert run.order[2] == (Rank.STANDARD, "t")
        await asyncio.gather(*tasks)


class TestRefusal:
    """Requests that are not dispatched."""

    async def test_unreachable_deadline_is_refused_at_once(self) -> None:
        """Guards against requests that wait in vain, and against a refusal without retry time."""
        run = QueueRun()
        await run.send(Rank.STANDARD)
        tasks = [run.send(Rank.STANDARD) for _ in range(100)]
        await asyncio.sleep(0)
        before = asyncio.get_running_loop().time()
        error = await refusal(run.send(Rank.STANDARD, deadline_in_s=0.3))
        assert asyncio.get_running_loop().time() == before
        assert error.code == ResultCode.DEADLINE_UNREACHABLE
        assert error.retry_after_ms is not None and 400 <= error.retry_after_ms <= 600
        await asyncio.gather(*tasks)

    async def test_expired_request_is_dropped_while_it_waits(self) -> None:
        """Guards against a slot spent on a request whose caller no longer waits."""
        run = QueueRun()
        blockers = [run.send(Rank.STANDARD, service_s=1.0) for _ in range(2)]
        await asyncio.sleep(0)
        error = await refusal(run.send(Rank.URGENT, deadline_in_s=0.5))
        assert error.code == ResultCode.DEADLINE_UNREACHABLE
        assert asyncio.get_running_loop().time() == pytest.approx(0.5, abs=0.01)
        await asyncio.gather(*blockers)
        assert len(run.order) == 2

    async def test_full_rank_refuses_the_newest_request_of_the_heaviest_caller(self) -> None:
        """Guards against a flood that fills the queue, so that other callers are refused."""
        run = QueueRun(bounds=QueueBounds(total=20, rank=10, caller=10))
        flood = [run.send(Rank.BULK, "flood") for _ in range(12)]
        await asyncio.sleep(0)
        other = run.send(Rank.BULK, "other")
        error = await refusal(flood[-1])
        assert error.code == ResultCode.QUEUE_FULL and error.retry_after_ms is not None
        await asyncio.gather(other, *flood[:-1])

    async def test_full_queue_refuses_the_least_urgent_rank(self) -> None:
        """Guards against urgent requests refused while bulk requests wait."""
        run = QueueRun(bounds=QueueBounds(total=10, rank=10, caller=10))
        bulk = [run.send(Rank.BULK) for _ in range(12)]
        await asyncio.sleep(0)
        urgent = run.send(Rank.URGENT)
        assert (await refusal(bulk[-1])).code == ResultCode.QUEUE_FULL
        await asyncio.gather(urgent, *bulk[:-1])


class TestCancel:
    """Cancellation by message id."""

    async def test_queued_request_is_removed_and_sent_request_is_reported(self) -> None:
        """Guards against a cancelled request that runs, and against `not sent` for a sent one."""
        run = QueueRun(limit=FixedLimit(1))
        running = run.send(Rank.STANDARD, message_id="m1")
        queued = run.send(Rank.STANDARD, message_id="m2")
        await asyncio.sleep(0)
        assert run.queue.cancel("m1").sent
        result = run.queue.cancel("m2")
        assert result.known and not result.sent
        assert run.queue.waiting == 0  # its place in the queue is free at once
        assert (await refusal(queued)).code == ResultCode.CANCELLED
        await running
        assert run.queue.cancel("m1").sent and len(run.order) == 1

    async def test_cancellation_may_overtake_its_request(self) -> None:
        """Guards against a request that runs although its cancellation arrived first."""
        run = QueueRun()
        run.queue.cancel("m1")
        error = await refusal(run.send(Rank.STANDARD, message_id="m1"))
        assert error.code == ResultCode.CANCELLED

    async def test_cancelled_tasks_release_their_slots(self) -> None:
        """Guards against slots that stay taken after their tasks were cancelled."""
        run = QueueRun()
        tasks = [run.send(Rank.STANDARD) for _ in range(6)]
        await asyncio.sleep(SERVICE_S / 2)
        for task in tasks[:4]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert (run.queue.running, run.queue.waiting, len(run.order)) == (0, 0, 4)

    async def test_task_cancelled_as_its_slot_is_granted_releases_it(self) -> None:
        """Guards against a slot that stays taken by a task that can no longer use it."""
        run = QueueRun(limit=FixedLimit(1))
        async with run.queue.admit(rank=Rank.BULK, caller="a", deadline=FAR_DEADLINE_S) as entry:
            queued = run.send(Rank.STANDARD)
            await asyncio.sleep(0)
            entry.mark_sent()
        queued.cancel()  # the slot was granted, and the task has not resumed yet
        await asyncio.gather(queued, return_exceptions=True)
        assert (run.queue.running, run.order) == (0, [])


class TestAdaptiveLimit:
    """The limit for servers that do not state their slots."""

    async def test_limit_converges_to_the_slots_of_the_server(self) -> None:
        """Guards against a limit that overloads the server or leaves it idle."""
        slots = asyncio.Semaphore(4)
        limit = AdaptiveLimit()
        queue = RankQueue("db-0", limit=limit, schedule=RankedSchedule())
        seen: list[int] = []

        async def run_statement() -> None:
            async with queue.admit(rank=Rank.BULK, caller="a", deadline=FAR_DEADLINE_S) as entry:
                entry.mark_sent()
                async with slots:
                    await asyncio.sleep(SERVICE_S)
                seen.append(limit.limit)

        for _ in range(5):
            await asyncio.gather(*(run_statement() for _ in range(400)))
        assert max(seen[1000:]) <= 8
        # 2000 statements at 4 slots; the limit is halved briefly to measure the baseline
        assert asyncio.get_running_loop().time() <= 1.1 * 2000 * SERVICE_S / 4


class QueueMachine(RuleBasedStateMachine):
    """Random arrivals, ends and cancellations on one queue; the loop's clock is set by hand."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.now = 0.0
        self.loop.time = lambda: self.now  # type: ignore[method-assign]
        self.bounds = QueueBounds(total=12, rank=6, caller=4)
        self.queue = RankQueue(
            "db-0", limit=FixedLimit(2), schedule=RankedSchedule(), bounds=self.bounds
        )
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.ends: dict[str, asyncio.Event] = {}
        self.started: list[str] = []
        self.cancelled_unsent: set[str] = set()
        self.random = random.Random(7)

    def run_ready(self) -> None:
        """Runs the event loop until no callback is ready."""
        for _ in range(6):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()

    async def hold_slot(self, name: str, rank: Rank, caller: str, deadline: float) -> None:
        """One request, which holds its slot until its event is set."""
        async with self.queue.admit(
            rank=rank, caller=caller, deadline=deadline, message_id=name
        ) as entry:
            entry.mark_sent()
            assert self.now < deadline
            self.started.append(name)
            await self.ends[name].wait()

    @rule(
        rank=st.sampled_from(RANKS), caller=st.sampled_from("abc"), deadline_in_s=st.floats(0.1, 9)
    )
    def arrive(self, rank: Rank, caller: str, deadline_in_s: float) -> None:
        """A request arrives."""
        name = str(len(self.tasks))
        self.ends[name] = asyncio.Event()
        request = self.hold_slot(name, rank, caller, self.now + deadline_in_s)
        self.tasks[name] = self.loop.create_task(request)
        self.run_ready()

    @precondition(lambda self: self.queue.running)
    @rule(seconds=st.floats(0.01, 3))
    def end_one(self, seconds: float) -> None:
        """The oldest running request ends."""
        self.now += seconds
        running = [name for name in self.started if not self.tasks[name].done()]
        self.ends[running[0]].set()
        self.run_ready()

    @precondition(lambda self: self.tasks)
    @rule(index=st.integers(0, 100))
    def cancel(self, index: int) -> None:
        """A request is cancelled, whether it waits, runs or has ended."""
        name = str(index % len(self.tasks))
        result = self.queue.cancel(name)
        if not result.sent:
            self.cancelled_unsent.add(name)
        assert result.sent or name not in self.started
        self.run_ready()

    @invariant()
    def bounds_hold_and_no_slot_is_idle(self) -> None:
        """Guards against slots left idle while requests wait, and against exceeded bounds."""
        assert self.queue.running <= 2
        assert not (self.queue.waiting and self.queue.running < 2)
        assert self.queue.waiting <= self.bounds.total

    @invariant()
    def nothing_is_lost_or_run_twice(self) -> None:
        """Guards against requests that are lost, run twice, or run after their cancellation."""
        assert len(self.started) == len(set(self.started))
        assert not self.cancelled_unsent & set(self.started)
        open_tasks = sum(not task.done() for task in self.tasks.values())
        assert open_tasks == self.queue.running + self.queue.waiting

    def teardown(self) -> None:
        """Ends all requests; each of them has run or was refused with a result code."""
        for end in self.ends.values():
            end.set()
        self.run_ready()
        for _ in range(len(self.tasks)):
            self.run_ready()
        for name, task in self.tasks.items():
            assert task.done()
            error = task.exception()
            assert isinstance(error, NotRun) if error else name in self.started
        self.loop.close()


class TestQueueMachine(QueueMachine.TestCase):  # type: ignore[name-defined,misc]
    """Guards against lost or repeated requests in random sequences of events."""

    settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)


class TestScheduleModel:
    """The guarantees of the schedule under random backlogs."""

    def test_backlogged_ranks_get_their_shares_in_any_window(self) -> None:
        """Guards against a share that holds on average but not while a backlog lasts."""
        generator = random.Random(11)
        loop = asyncio.new_event_loop()
        schedule = RankedSchedule(shares={Rank.STANDARD: 0.2, Rank.BULK: 0.1})
        for rank in RANKS:
            for _ in range(2000):
                caller = generator.choice("abcd")
                schedule.push(QueueEntry(rank, caller, FAR_DEADLINE_S, loop.create_future()))
        served = [entry.rank for _ in range(1000) if (entry := schedule.pop()) is not None]
        loop.close()
        for start in range(0, 900, 50):
            window = Counter(served[start : start + 100])
            assert abs(window[Rank.STANDARD] - 20) <= 1
            assert abs(window[Rank.BULK] - 10) <= 1
