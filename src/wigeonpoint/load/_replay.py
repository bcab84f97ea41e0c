"""Sends the requests of a trace at their arrival times."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from wigeonpoint.errors import Outcome
from wigeonpoint.load._results import LoadResults
from wigeonpoint.load._trace import Arrival
from wigeonpoint.request import Rank


@dataclass(frozen=True, slots=True)
class LoadBounds:
    """Limits of a replay.

    Attributes:
        requests: Maximum number of requests.
        seconds: Maximum length; requests that are open at its end have an unknown outcome.
        in_flight: Maximum number of open requests of each rank. Further ones are counted as not
            sent. The limit is by rank so that a flood of one rank cannot delay the requests of
            another inside the load generator.
    """

    requests: int = 100_000
    seconds: float = 60.0
    in_flight: int = 500


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer to one request: outcome, result code and the time to wait before a retry."""

    outcome: Outcome
    code: int
    retry_after_ms: int | None = None


class Sender(Protocol):
    """Sends one request of a trace."""

    async def send(self, arrival: Arrival) -> Reply:
        """Sends the request and waits for its outcome."""
        ...


async def replay(trace: list[Arrival], sender: Sender, bounds: LoadBounds) -> LoadResults:
    """Replays a trace in an open loop: a slow answer does not delay later arrivals."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    results = LoadResults()
    open_by_rank: Counter[Rank] = Counter()
    tasks: set[asyncio.Task[None]] = set()

    async def send(arrival: Arrival) -> None:
        reply = Reply(Outcome.UNKNOWN, -1)
        try:
            reply = await sender.send(arrival)
        finally:
            open_by_rank[arrival.rank] -= 1
            results.record(
                arrival.rank,
                arrival.kind,
                seconds=loop.time() - start - arrival.at_s,
                outcome=reply.outcome,
                code=reply.code,
                retry_after_ms=reply.retry_after_ms,
            )

    for arrival in trace[: bounds.requests]:
        if arrival.at_s > bounds.seconds:
            break
        delay = start + arrival.at_s - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        if open_by_rank[arrival.rank] >= bounds.in_flight:
            results.not_sent += 1
            continue
        open_by_rank[arrival.rank] += 1
        task = asyncio.create_task(send(arrival))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks, timeout=max(start + bounds.seconds - loop.time(), 0))
    unanswered = list(tasks)
    for task in unanswered:
        task.cancel()
    await asyncio.gather(*unanswered, return_exceptions=True)
    return results
