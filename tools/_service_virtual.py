"""Compares queue policies on a virtual clock, where service times are exact."""

from __future__ import annotations

import asyncio
import itertools
import random
import selectors
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wigeonpoint.errors import NotRun, Outcome
from wigeonpoint.load import Arrival, LoadBounds, Reply, TraceKind, generate, replay
from wigeonpoint.process._concurrency import FixedLimit
from wigeonpoint.process._rank_queue import RankQueue
from wigeonpoint.process._schedule import FifoSchedule, RankedSchedule, StrictPrioritySchedule
from wigeonpoint.request import Rank

STATEMENT_S = 0.010
INSTANCES = 5
VIRTUAL_S = 10.0
SEED = 1


@dataclass(frozen=True)
class Policy:
    """A queue policy.

    Attributes:
        schedule: Creates the schedule of a queue.
        reserved: Slots reserved for urgent requests.
        queues: Number of queues before the server.
    """

    schedule: Callable[[], Any]
    reserved: int = 0
    queues: int = 1


POLICIES = {
    "ranked": Policy(RankedSchedule),
    "ranked, 1 slot kept": Policy(RankedSchedule, reserved=1),
    "first-in-first-out": Policy(FifoSchedule),
    "strict priority": Policy(StrictPrioritySchedule),
    "ranked, a queue per instance": Policy(RankedSchedule, queues=INSTANCES),
}
SCENARIOS = {
    "calm": (TraceKind.CALM, 1.0),
    "bulk 1x": (TraceKind.BULK_FLOOD, 0.5),  # uses the capacity together with the other ranks
    "bulk 2x": (TraceKind.BULK_FLOOD, 2.0),
    "bulk 4x": (TraceKind.BULK_FLOOD, 4.0),
    "bulk 8x": (TraceKind.BULK_FLOOD, 8.0),
    "urgent 4x": (TraceKind.URGENT_STORM, 4.0),
    "one caller 4x": (TraceKind.CALLER_FLOOD, 4.0),
}


class QueuedServer:
    """A backend server with slots behind one or several queues, on the virtual clock."""

    def __init__(self, policy: Policy, slots: int, *, exponential: bool) -> None:
        self._queues = [
            RankQueue(
                "server",
                limit=FixedLimit(slots),
                schedule=policy.schedule(),
                reserved=policy.reserved,
            )
            for _ in range(policy.queues)
        ]
        self._round_robin = itertools.cycle(self._queues)
        self._slots = asyncio.Semaphore(slots)
        self._random = random.Random(SEED)
        self._exponential = exponential
        self.flood_done = 0
        self.others: list[float] = []

    @property
    def dispatched(self) -> dict[Rank, int]:
        """Dispatched requests by rank."""
        return {rank: sum(queue.dispatched[rank] for queue in self._queues) for rank in Rank}

    async def send(self, arrival: Arrival) -> Reply:
        """Queues and runs a request."""
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        deadline = arrived + arrival.deadline_ms / 1000
        try:
            async with next(self._round_robin).admit(
                rank=arrival.rank, caller=arrival.caller, deadline=deadline
            ) as entry:
                entry.mark_sent()
                async with self._slots:
                    await asyncio.sleep(self._service_s())
        except NotRun as error:
            return Reply(error.outcome, int(error.code), error.retry_after_ms)
        if loop.time() > deadline:
            return Reply(Outcome.UNKNOWN, 304)
        if arrival.caller == "flood":
            self.flood_done += 1
        elif arrival.rank is Rank.STANDARD:
            self.others.append(loop.time() - arrived)
        return Reply(Outcome.DONE, 0)

    def _service_s(self) -> float:
        return self._random.expovariate(1 / STATEMENT_S) if self._exponential else STATEMENT_S


class _AdvancingSelector(selectors.SelectSelector):
    """Advances a clock by the time that the event loop asks to wait.

    looptime runs dozens of empty cycles before it advances, which costs 1 ms per arrival.
    """

    now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Advances the clock and returns without waiting."""
        self.now += max(timeout or 0.0, 0.0)
        return super().select(0)


def virtual_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop whose clock advances without waiting."""
    selector = _AdvancingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now  # type: ignore[method-assign]
    return loop


def run_virtual(policy: Policy, slots: int, scenario: str, *, exponential: bool) -> dict[str, Any]:
    """Runs a scenario on the virtual clock and returns its results."""
    kind, times = SCENARIOS[scenario]
    capacity = slots / STATEMENT_S
    trace = generate(kind, route="r", capacity=capacity, seconds=VIRTUAL_S, times=times, seed=SEED)

    async def run() -> dict[str, Any]:
        server = QueuedServer(policy, slots, exponential=exponential)
        bounds = LoadBounds(requests=1_000_000, seconds=VIRTUAL_S, in_flight=1_000_000)
        results = await replay(trace, server, bounds)
        total = max(sum(server.dispatched.values()), 1)
        others = sorted(server.others) or [float("inf")]  # empty if strict priority starves them
        return {
            "ranks": results.as_json(VIRTUAL_S)["ranks"],
            "goodput": results.done / VIRTUAL_S,
            "dispatch_shares": {
                str(rank): round(count / total, 4) for rank, count in server.dispatched.items()
            },
            "other_callers_p99_ms": round(others[int(len(others) * 0.99)] * 1000, 1),
            "flood_done": server.flood_done,
        }

    loop = virtual_loop()
    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def ratios(runs: dict[str, Any]) -> dict[str, float]:
    """Returns the ratios that have targets."""

    def p99(scenario: str, rank: str = "urgent") -> float:
        value: float = runs[scenario]["ranks"][rank]["p99_ms"]
        return value

    storm = runs["urgent 4x"]["dispatch_shares"]
    return {
        "urgent p99 bulk 8x / calm": round(p99("bulk 8x") / p99("calm"), 2),
        "standard share urgent 4x": storm["standard"],
        "bulk share urgent 4x": storm["bulk"],
        "goodput 2x / 1x": round(runs["bulk 2x"]["goodput"] / runs["bulk 1x"]["goodput"], 3),
        "goodput 4x / 1x": round(runs["bulk 4x"]["goodput"] / runs["bulk 1x"]["goodput"], 3),
        "goodput 8x / 1x": round(runs["bulk 8x"]["goodput"] / runs["bulk 1x"]["goodput"], 3),
        "others p99 caller flood / calm": round(
            runs["one caller 4x"]["other_callers_p99_ms"] / runs["calm"]["other_callers_p99_ms"], 2
        ),
    }
