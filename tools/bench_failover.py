"""Measures failover times, lost writes and false promotions on processes on loopback."""

from __future__ import annotations

import argparse
import json
import signal
import time
from datetime import datetime
from pathlib import Path
from typing import Any

from tools.cluster import Cluster, call, wait_until

GROUP = "signplan-0"
DATA_CENTRES = ["chur", "sargans", "gallen"]
WRITE_TIMEOUT_S = 1.0
GAP_LIMIT_S = 15.0
PAUSES = 3
PAUSE_S = 1.0
SLOW_S = 4.0
SLOW_REPLICATION_MS = 200
LATENCY_WRITES = 400
WRITES_BEFORE_KILL_S = 2.0
ROUTES = {"majority": "closures", "primary": "fast"}
STEPS = {400: "detected", 402: "claimed", 403: "fenced", 405: "promoted", 407: "stable"}


def _start_cluster(detection: str) -> Cluster:
    cluster = Cluster().__enter__()
    cluster.add_group(GROUP, DATA_CENTRES)
    pools = {name: {"group": GROUP, "durability": name} for name in ROUTES}
    cluster.put_rows("pools", pools)
    cluster.put_rows("routes", {route: {"pool": name} for name, route in ROUTES.items()})
    names = [f"{data_centre}-1" for data_centre in DATA_CENTRES]
    for name, data_centre in zip(names, DATA_CENTRES, strict=True):
        cluster.add_instance(name, data_centre, detection=detection)
    cluster.wait_ready(*names)
    wait_until(lambda: _write(cluster, "first"), "first write")
    time.sleep(1.5)  # lets every instance probe the primary
    return cluster


def _write(cluster: Cluster, key: str, route: str = "closures") -> bool:
    reply = cluster.statement(
        "sargans-1",
        route=route,
        text="PUT ? 1",
        parameters=[key],
        access="write",
        deadline_ms=int(WRITE_TIMEOUT_S * 1000),
    )
    return bool(reply.body["outcome"] == "done")


def _measure_failover(detection: str, number: signal.Signals) -> dict[str, Any]:
    """Fails the primary with a signal and times the steps to the first acknowledged write."""
    cluster = _start_cluster(detection)
    try:
        failed_at = time.time()
        cluster.processes[f"{GROUP}-0"].send_signal(number)
        count = 0
        while time.time() - failed_at < GAP_LIMIT_S:
            count += 1
            if _write(cluster, f"after-{count}"):
                break
        acknowledged_at = time.time()
        time.sleep(1.0)
        steps = _step_times(cluster)
        result = {"acknowledged": acknowledged_at - failed_at, "terms": _current_term(cluster) - 1}
        result.update({name: at - failed_at for name, at in steps.items()})
        return {name: round(value, 3) for name, value in result.items()}
    finally:
        cluster.__exit__(None, None, None)


def _step_times(cluster: Cluster) -> dict[str, float]:
    """Returns the time at which any instance first logged each step."""
    first: dict[str, float] = {}
    for data_centre in DATA_CENTRES:
        for line in (cluster.directory / f"{data_centre}-1.log").read_text().splitlines():
            event = json.loads(line)
            name = STEPS.get(event.get("event", 0))
            if name is not None:
                at = datetime.strptime(event["time"], "%Y-%m-%d %H:%M:%S,%f").timestamp()
                first[name] = min(at, first.get(name, at))
    return first


def _measure_latency() -> dict[str, Any]:
    """Measures write latency by durability; writes alternate, so that both see the same load."""
    cluster = _start_cluster("second_opinion")
    samples: dict[str, list[float]] = {name: [] for name in ROUTES}
    try:
        for count in range(LATENCY_WRITES):
            for name, route in ROUTES.items():
                started = time.perf_counter()
                if _write(cluster, f"{name}-{count}", route):
                    samples[name].append(time.perf_counter() - started)
    finally:
        cluster.__exit__(None, None, None)
    result: dict[str, Any] = {}
    for share in (50, 99):
        found = {name: sorted(values) for name, values in samples.items()}
        at = {name: values[len(values) * share // 100] for name, values in found.items()}
        result[f"p{share}_ms"] = {name: round(value * 1000, 2) for name, value in at.items()}
        result[f"p{share}_majority_to_primary"] = round(at["majority"] / at["primary"], 2)
    return result


def _measure_lost_writes(durability: str) -> dict[str, Any]:
    """Kills the primary while replication lags, and counts acknowledged writes that are lost."""
    cluster = _start_cluster("second_opinion")
    route = ROUTES[durability]
    try:
        primary = cluster.processes[f"{GROUP}-0"]
        options = {"replication_ms": SLOW_REPLICATION_MS}
        call("POST", f"http://{primary.address}/options", options)
        acknowledged = []
        end = time.monotonic() + WRITES_BEFORE_KILL_S
        while time.monotonic() < end:
            key = f"kept-{len(acknowledged)}"
            if _write(cluster, key, route):
                acknowledged.append(key)
        failed_at = time.monotonic()
        primary.kill()
        while not _write(cluster, "after", route) and time.monotonic() - failed_at < GAP_LIMIT_S:
            pass
        gap = time.monotonic() - failed_at
        reply = cluster.statement(
            "sargans-1", route=route, text="SCAN kept-", access="read", max_age_ms=0
        )
        found = {row[0] for row in reply.body["rows"]}
        return {
            "gap": round(gap, 3),
            "acknowledged": len(acknowledged),
            "lost": len(set(acknowledged) - found),
        }
    finally:
        cluster.__exit__(None, None, None)


def _current_term(cluster: Cluster) -> int:
    reply = call("GET", f"http://{cluster.platform}/tables/groups")
    return int(reply.body[0]["value"]["term"]) if reply.body else 1


def _measure_false_promotions(detection: str) -> dict[str, int]:
    """Counts promotions under pauses of the primary and under slow replication."""
    cluster = _start_cluster(detection)
    try:
        primary = cluster.processes[f"{GROUP}-0"]
        for _ in range(PAUSES):
            primary.send_signal(signal.SIGSTOP)
            time.sleep(PAUSE_S)
            primary.send_signal(signal.SIGCONT)
            time.sleep(PAUSE_S)
        after_pauses = _current_term(cluster) - 1
        options = {"replication_ms": SLOW_REPLICATION_MS}
        call("POST", f"http://{primary.address}/options", options)
        end = time.monotonic() + SLOW_S
        writes = 0
        while time.monotonic() < end:
            writes += _write(cluster, f"slow-{writes}")
        return {
            "pauses": PAUSES,
            "promotions_under_pauses": after_pauses,
            "promotions_under_slow_replicas": _current_term(cluster) - 1 - after_pauses,
            "writes_under_slow_replicas": writes,
        }
    finally:
        cluster.__exit__(None, None, None)


def main() -> None:
    """Runs all measurements and prints their results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path, help="also write the result to this file")
    parser.add_argument("--repeats", type=int, default=2, choices=range(1, 11))
    arguments = parser.parse_args()
    result: dict[str, Any] = {
        "latency": _measure_latency(),
        "lost_writes": {name: _measure_lost_writes(name) for name in ROUTES},
    }
    for detection in ("single", "second_opinion"):
        result[detection] = {
            "killed": [
                _measure_failover(detection, signal.SIGKILL) for _ in range(arguments.repeats)
            ],
            "stopped": [
                _measure_failover(detection, signal.SIGSTOP) for _ in range(arguments.repeats)
            ],
            "false": _measure_false_promotions(detection),
        }
    text = json.dumps(result, indent=2)
    print(text)
    if arguments.json is not None:
        arguments.json.write_text(text + "\n")


if __name__ == "__main__":
    main()
