"""Load process of the service benchmark: replays part of a trace and prints records as JSON.

Above about a thousand requests per second, a Python process delays its own requests, which would
show as latency. A flood is therefore split over several processes, and all other requests have a
process of their own.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any

from tools.cluster import CALLER_TOKEN
from wigeonpoint.errors import Outcome
from wigeonpoint.load import Arrival, KeepAliveConnections, LoadBounds, Reply, TraceKind, generate
from wigeonpoint.load import replay as replay_trace

IN_FLIGHT = 400


class RecordingSender:
    """Sends requests and records each of them.

    Args:
        sender: Sends the requests.
        start: Event-loop time in seconds at which the trace starts.
    """

    def __init__(self, sender: KeepAliveConnections, start: float) -> None:
        self._sender = sender
        self._start = start
        self.records: list[tuple[Any, ...]] = []

    async def send(self, arrival: Arrival) -> Reply:
        """Sends a request and records its times and outcome."""
        loop = asyncio.get_running_loop()
        late = loop.time() - self._start - arrival.at_s
        reply = Reply(Outcome.UNKNOWN, -1)
        try:
            reply = await self._sender.send(arrival)
        finally:
            taken = loop.time() - self._start - arrival.at_s
            self.records.append(
                (
                    str(arrival.rank),
                    arrival.kind,
                    arrival.caller,
                    arrival.at_s,
                    taken,
                    late,
                    str(reply.outcome),
                    reply.code,
                    reply.retry_after_ms,
                )
            )
        return reply


def partial_trace(job: dict[str, Any]) -> list[Arrival]:
    """Returns the arrivals that this process sends."""
    trace = generate(
        TraceKind(job["kind"]),
        route="r",
        capacity=job["capacity"],
        seconds=job["seconds"],
        times=job["times"],
        seed=job["seed"],
    )
    flood = [a for a in trace if _is_flood(a, job["flood"])]
    if job["part"] == 0:
        flood_ids = set(map(id, flood))
        return [a for a in trace if id(a) not in flood_ids]
    return flood[job["part"] - 1 :: job["parts"] - 1]


def _is_flood(arrival: Arrival, flood: str) -> bool:
    return flood == arrival.caller or flood == arrival.rank


async def run(job: dict[str, Any]) -> dict[str, Any]:
    """Waits for the common start time and replays this process's part of the trace."""
    trace = partial_trace(job)
    connections = KeepAliveConnections(job["addresses"], {"": CALLER_TOKEN, **job["tokens"]})
    await asyncio.sleep(max(job["start"] - time.time(), 0.0))
    sender = RecordingSender(connections, asyncio.get_running_loop().time())
    bounds = LoadBounds(seconds=job["seconds"] + 6, in_flight=IN_FLIGHT)
    cpu = time.process_time()
    results = await replay_trace(trace, sender, bounds)
    connections.close()
    return {
        "records": sender.records,
        "not_sent": results.not_sent,
        "cpu_s": time.process_time() - cpu,
    }


if __name__ == "__main__":
    json.dump(asyncio.run(run(json.loads(sys.argv[1]))), sys.stdout)
