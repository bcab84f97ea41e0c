"""Measures service by rank, overload, connections and replica reads; prints tables, writes JSON.

`PYTHONPATH=src python -m tools.bench_service [--json PATH] [--size SIZE] [--no-processes]
[--no-virtual]`. Queue policies and replica reads run on a virtual clock, where service times and
lag are exact; everything else runs through real processes on loopback. All runs have a time limit.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import time
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path
from typing import Any

from tools._service_processes import SCENARIOS as PROCESS_SCENARIOS
from tools._service_processes import ServiceFleet
from tools._service_summary import print_processes, print_replicas, print_virtual, summarise
from tools._service_virtual import POLICIES, SCENARIOS, ratios, run_virtual
from tools.cluster import Cluster
from tools.measure_replica_reads import LAGS, Trial, run_trial

SIZES = {"ostschweiz": (2, 16), "jm-north": (5, 50)}
# Exponential service times at five slots took longer than the time limit of the whole benchmark.
EXPONENTIAL = {"ostschweiz": ("ranked", "first-in-first-out")}
REPLICA_SEEDS = (1, 2, 3)
REPLICA_VIRTUAL_S = 6.0
READ_POLICIES = ("replica_reads", "always_primary")  # the second runs with the first seed only
WORKERS = 5  # virtual runs do not depend on the wall clock, but the machine is shared
SEED = 1


def replica_trial(lag: str, seed: int, always_primary: bool) -> dict[str, Any]:
    """Runs one trial of replica reads."""
    return run_trial(Trial(lag, REPLICA_VIRTUAL_S, always_primary=always_primary, seed=seed))


def policy_runs(policy: str, slots: int, exponential: bool) -> dict[str, Any]:
    """Runs all scenarios of a queue policy."""
    queue_policy = POLICIES[policy]
    runs = {s: run_virtual(queue_policy, slots, s, exponential=exponential) for s in SCENARIOS}
    return {"runs": runs, "ratios": ratios(runs)}


def virtual_figures(sizes: list[str]) -> dict[str, Any]:
    """Runs queue policies by size and service time, and replica reads by lag and seed."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(WORKERS, mp_context=context) as pool:
        queues: dict[str, dict[str, Future[Any]]] = {}
        for size in reversed(sizes):  # starts the longest runs first
            for service in ("fixed", "exponential"):
                names = POLICIES if service == "fixed" else EXPONENTIAL.get(size, ())
                if not names:
                    continue
                queues[f"{size} {service}"] = {
                    name: pool.submit(policy_runs, name, SIZES[size][0], service != "fixed")
                    for name in names
                }
        reads = {
            lag: [
                {
                    name: pool.submit(replica_trial, lag, seed, name == "always_primary")
                    for name in READ_POLICIES[: 2 if seed == REPLICA_SEEDS[0] else 1]
                }
                for seed in REPLICA_SEEDS
            ]
            for lag in LAGS
        }
        return {
            "queues": {k: {n: f.result() for n, f in row.items()} for k, row in queues.items()},
            "replica reads": {
                lag: [{n: f.result() for n, f in row.items()} for row in rows]
                for lag, rows in reads.items()
            },
        }


def process_figures(size: str) -> dict[str, Any]:
    """Runs all scenarios of a size through real processes."""
    slots, connections = SIZES[size]
    with Cluster() as cluster:
        fleet = ServiceFleet(cluster, slots, connections)
        runs = {name: fleet.run(s, SEED) for name, s in PROCESS_SCENARIOS.items()}
    return summarise(runs, connections)


def main() -> None:
    """Runs the benchmark, prints tables and writes the results as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", type=Path, default=Path("build/bench-service.json"))
    parser.add_argument("--no-processes", action="store_true")
    parser.add_argument("--no-virtual", action="store_true")
    parser.add_argument("--size", choices=SIZES, help="only this size")
    arguments = parser.parse_args()
    started = time.monotonic()
    sizes = [size for size in SIZES if arguments.size in (None, size)]
    found: dict[str, Any] = {}
    if not arguments.no_processes:
        for size in sizes:
            found[f"processes {size}"] = process_figures(size)
            print_processes(size, found[f"processes {size}"])
    if not arguments.no_virtual:
        found["virtual"] = virtual_figures(sizes)
        print_virtual(found["virtual"]["queues"])
        print_replicas(found["virtual"]["replica reads"])
    found["seconds"] = round(time.monotonic() - started, 1)
    print(f"\n{found['seconds']} s in total")
    arguments.json.parent.mkdir(exist_ok=True)
    arguments.json.write_text(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
