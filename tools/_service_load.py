"""One load process of the service bench: replays a part of a trace and prints raw records as JSON.

One Python process sends about a thousand requests a second before its own queue shows in the
latencies, so a flood is split among several and the measured ranks have one of their own.
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
    """Keeps a record of every request.

    Args:
        sender: Sends the requests.
        start: Event-loop time, in seconds, of the start of the trace.
    """

    def __init__(self, sender: KeepAliveConnections, start: float) -> None:
        self._sender = sender
        self._start = start
        self.records: list[tuple[Any, ...]] = []

    async def send(self, arrival: Arrival) -> Reply:
        """Sends a request."""
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


def part_of_trace(job: dict[str, Any]) -> list[Arrival]:
    """The arrivals that this process sends."""
    trace = generate(
        TraceKind(job["kind"]),
        route="r",
        capacity=job["capacity"],
        seconds=job["seconds"],
        times=job["times"],
        seed=job["seed"],
    )
    flood = [a for a in trace if _floods(a, job["flood"])]
    if job["part"] == 0:
        chosen = set(map(id, flood))
        return [a for a in trace if id(a) not in chosen]
    return flood[job["part"] - 1 :: job["parts"] - 1]


def _floods(arrival: Arrival, flood: str) -> bool:
    return flood == arrival.caller or flood == arrival.rank


async def run(job: dict[str, Any]) -> dict[str, Any]:
    """Waits for the common start and replays."""
    trace = part_of_trace(job)
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
