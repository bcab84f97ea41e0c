"""Measures the cost of a statement through an instance, and of idle caller connections.

Prints JSON. Results of one run can be compared with each other; absolute times vary by machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from tools.cluster import CALLER_TOKEN, Cluster, Process
from tools.keep_alive_http import KeepAliveConnection
from wigeonpoint.backend import Exchange, WebSocketBackend
from wigeonpoint.request import Statement
from wigeonpoint.version import BackendServer, InstanceRecord, owner_of

CONCURRENCY = 16
STATEMENTS = 4_000
GROUP = "signplan-0"
INSTANCES = ("chur-1", "chur-2", "chur-3")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
OPTIONS = ["--statement-ms", "0", "--slots", "64", "--connections", "64"]


@dataclass(frozen=True, slots=True)
class PathCost:
    """Cost of a statement on one path.

    Attributes:
        path: Path of the statement.
        per_second: Statements per second with 16 in flight.
        instance_ms: Processor time in milliseconds of all instances per statement.
        database_ms: Processor time in milliseconds of all members per statement.
        mean_ms: Mean time in milliseconds of a statement with 16 in flight.
    """

    path: str
    per_second: float
    instance_ms: float
    database_ms: float
    mean_ms: float


def processor_seconds(process: Process) -> float:
    """Returns the user and system time in seconds of a process."""
    fields = Path(f"/proc/{process.handle.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_kib(process: Process) -> int:
    """Returns the resident memory of a process in KiB."""
    status = Path(f"/proc/{process.handle.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1])


async def measure_path(
    cluster: Cluster, path: str, workers: list[Callable[[], Awaitable[None]]]
) -> PathCost:
    """Runs statements on all workers concurrently and returns the cost per statement."""
    instances = [cluster.processes[name] for name in INSTANCES]
    members = [
        process for name, process in cluster.processes.items() if name.startswith(f"{GROUP}-")
    ]
    statements_per_worker = STATEMENTS // len(workers)

    async def repeat(worker: Callable[[], Awaitable[None]]) -> None:
        for _ in range(statements_per_worker):
            await worker()

    for worker in workers:
        await worker()
    before = [sum(map(processor_seconds, group)) for group in (instances, members)]
    started = time.perf_counter()
    await asyncio.gather(*(repeat(worker) for worker in workers))
    elapsed = time.perf_counter() - started
    after = [sum(map(processor_seconds, group)) for group in (instances, members)]
    count = statements_per_worker * len(workers)
    used = [(end - begin) * 1000 / count for begin, end in zip(before, after, strict=True)]
    return PathCost(
        path=path,
        per_second=round(count / elapsed, 1),
        instance_ms=round(used[0], 4),
        database_ms=round(used[1], 4),
        mean_ms=round(elapsed * len(workers) * 1000 / count, 3),
    )


async def direct_workers(cluster: Cluster, server: str) -> list[Callable[[], Awaitable[None]]]:
    """Returns workers that read from a member directly, without an instance."""
    backend = WebSocketBackend()
    exchange = Exchange(Statement("GET a"), read_only=True)
    workers = []
    for _ in range(CONCURRENCY):
        connection = await backend.connect(cluster.processes[server].address, timeout=5)

        async def work(connection: Any = connection) -> None:
            await connection.execute(exchange, timeout=5)

        workers.append(work)
    return workers


async def caller_workers(
    cluster: Cluster, instance: str, body: dict[str, Any]
) -> list[Callable[[], Awaitable[None]]]:
    """Returns workers that send a statement to an instance over keep-alive connections."""
    workers = []
    for _ in range(CONCURRENCY):
        connection = await KeepAliveConnection.open(cluster.processes[instance].address)

        async def work(connection: KeepAliveConnection = connection) -> None:
            status, answer = await connection.request(
                "POST", "/v1/statements", body, token=CALLER_TOKEN
            )
            if status != 200:
                raise RuntimeError(f"unexpected answer: {answer}")

        workers.append(work)
    return workers


def owner_and_other(cluster: Cluster, server_id: str) -> tuple[str, str]:
    """Returns the names of the owner of a server and of another instance."""
    records = [InstanceRecord(name, cluster.processes[name].address, "chur") for name in INSTANCES]
    owner = owner_of(BackendServer(server_id, "", "chur", GROUP), records)
    assert owner is not None
    return owner.id, next(name for name in INSTANCES if name != owner.id)


async def measure_statements(cluster: Cluster) -> list[PathCost]:
    """Compares direct reads with reads and writes through an owner and another instance."""
    written = cluster.statement(INSTANCES[0], route="r", text="PUT a 1", access="write")
    session = written.body["session"]
    await asyncio.sleep(0.5)
    read = {"route": "r", "text": "GET a", "access": "read", "session": session}
    write = {"route": "r", "text": "PUT a 1", "access": "write"}
    current = {"route": "r", "text": "GET a", "access": "read", "max_age_ms": 0}
    replica = cluster.statement(INSTANCES[0], **read).body["served_by"]
    read_owner, read_other = owner_and_other(cluster, replica)
    write_owner, write_other = owner_and_other(cluster, f"{GROUP}-0")
    costs = [await measure_path(cluster, "direct read", await direct_workers(cluster, replica))]
    plans = [
        ("replica read at the owner", read_owner, read),
        ("replica read forwarded", read_other, read),
        ("current read at the owner", write_owner, current),
        ("write at the owner", write_owner, write),
        ("write forwarded", write_other, write),
    ]
    for path, instance, body in plans:
        costs.append(
            await measure_path(cluster, path, await caller_workers(cluster, instance, body))
        )
    return costs


async def measure_idle_connections(cluster: Cluster) -> list[dict[str, float]]:
    """Measures the resident memory of an instance by the number of idle caller connections.

    Each connection has carried one request.
    """
    instance = cluster.processes[INSTANCES[2]]
    open_connections: list[KeepAliveConnection] = []
    rows = []
    for count in (0, 100, 1_000, 4_000):
        while len(open_connections) < count:
            connection = await KeepAliveConnection.open(instance.address)
            await connection.request("GET", "/live", None, token=CALLER_TOKEN)
            open_connections.append(connection)
        rows.append({"connections": count, "resident_kib": resident_kib(instance)})
    slope = (rows[-1]["resident_kib"] - rows[0]["resident_kib"]) / rows[-1]["connections"]
    for connection in open_connections:
        connection.close()
    return [*rows, {"kib_for_each_connection": round(slope, 2)}]


async def measure(cluster: Cluster) -> dict[str, Any]:
    """Runs all measurements."""
    costs = await measure_statements(cluster)
    direct = costs[0]
    return {
        "statements": [
            {**asdict(cost), "time_ratio_to_direct": round(cost.mean_ms / direct.mean_ms, 2)}
            for cost in costs
        ],
        "idle_connections": await measure_idle_connections(cluster),
    }


def main() -> None:
    """Starts the processes, runs the measurements and prints JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path, help="also write the result to this file")
    arguments = parser.parse_args()
    with Cluster() as cluster:
        cluster.add_group(GROUP, ["chur", "chur", "chur"], OPTIONS)
        cluster.put_rows("pools", {"p": {"group": GROUP}})
        cluster.put_rows("routes", {"r": {"pool": "p"}})
        for name in INSTANCES:
            cluster.add_instance(name, "chur")
        cluster.wait_ready(*INSTANCES)
        result = asyncio.run(measure(cluster))
    text = json.dumps(result, indent=2)
    print(text)
    if arguments.json is not None:
        arguments.json.write_text(text + "\n")


if __name__ == "__main__":
    main()
