"""Summarises and prints the results of the service benchmark."""

from __future__ import annotations

from collections import Counter, defaultdict
from statistics import median
from typing import Any

from tools._service_processes import SCENARIOS, WARM_UP_S
from wigeonpoint.errors import Outcome
from wigeonpoint.load import LoadResults
from wigeonpoint.request import Rank

GOODPUT_BASE = "bulk 1x"
CALM = "calm"


def summarise(runs: dict[str, Any], connection_limit: int) -> dict[str, Any]:
    """Summarises runs: service by rank and kind, ratios to calm, goodput and connections.

    Args:
        runs: Results of `ServiceFleet.run` by name of the scenario.
        connection_limit: Connection limit of a member.
    """
    found: dict[str, Any] = {name: _scenario(name, run) for name, run in runs.items()}
    calm = found[CALM]
    for scenario in found.values():
        scenario["kept"] = {
            key: _ratios_to_calm(row, calm["others"].get(key))
            for key, row in scenario["others"].items()
        }
        scenario["goodput_ratio"] = round(scenario["goodput"] / found[GOODPUT_BASE]["goodput"], 3)
        scenario["urgent_p99_ratio"] = _ratio(
            scenario["ranks"]["urgent"]["p99_ms"], calm["ranks"]["urgent"]["p99_ms"]
        )
    found["connections"] = {
        "limit": connection_limit,
        "peak by server": [
            row["peak_connections"] for row in runs["instance replaced"]["server_connections"]
        ],
    }
    return found


def _scenario(name: str, run: dict[str, Any]) -> dict[str, Any]:
    scenario = SCENARIOS[name]
    measured, others = LoadResults(), LoadResults()
    refusals: Counter[str] = Counter()
    goodput = 0
    late = 0.0
    for rank, kind, caller, at_s, taken, late_s, outcome, code, retry_ms in run["records"]:
        finished = at_s + taken
        goodput += outcome == "done" and WARM_UP_S <= finished <= scenario.seconds
        late = max(late, late_s)
        if outcome == "not_run":
            refusals["with retry time" if retry_ms else "without retry time"] += 1
        elif outcome == "unknown":
            refusals["unknown outcome"] += 1
        if at_s < WARM_UP_S:
            continue
        for results in (measured, *([] if scenario.flood in (rank, caller) else [others])):
            results.record(
                Rank(rank),
                kind,
                seconds=taken,
                outcome=Outcome(outcome),
                code=code,
                retry_after_ms=retry_ms,
            )
    seconds = scenario.seconds - WARM_UP_S
    counters = run["counters"]
    return {
        "ranks": measured.as_json(seconds)["ranks"],
        "others": others.as_json(seconds)["kinds"],
        "goodput": round(goodput / seconds, 1),
        "refusals": dict(refusals),
        "not_sent": run["not_sent"],
        "latest_send_ms": round(late * 1000, 1),
        "dispatch_shares": _shares(counters),
        "counters": counters,
        "cpu_share": run["cpu_share"],
        "load_cpu_share": run["load_cpu_share"],
        "idle_lag_ms": run["idle_lag_ms"],
        "server_connections": run["server_connections"],
    }


def _shares(counters: dict[str, float]) -> dict[str, float]:
    names = {str(rank): f"wigeonpoint_queue_dispatched_total {rank}" for rank in Rank}
    total = sum(counters.get(name, 0) for name in names.values())
    return {rank: _ratio(counters.get(name, 0), total) or 0.0 for rank, name in names.items()}


def _ratios_to_calm(row: dict[str, Any], calm: dict[str, Any] | None) -> dict[str, Any]:
    if calm is None:
        return {}
    keys = {"done_rate": "done rate", "within_target": "within target", "p99_ms": "p99"}
    return {label: _ratio(row[key], calm[key]) for key, label in keys.items()}


def _ratio(value: float | None, base: float | None) -> float | None:
    return round(value / base, 4) if value is not None and base else None


def print_processes(size: str, found: dict[str, Any]) -> None:
    """Prints the results of runs through real processes."""
    print(f"\n{size}, real processes")
    for name, run in found.items():
        if name == "connections":
            print(f"  connections of a server: {run}")
            continue
        print(
            f"  {name}: goodput {run['goodput']}/s (ratio {run['goodput_ratio']}), urgent p99 / "
            f"calm {run['urgent_p99_ratio']}, dispatch shares {run['dispatch_shares']}"
        )
        for rank, row in run["ranks"].items():
            print(
                f"    {rank:9} sent {row['rate']}/s, done {row['done_rate']}/s, "
                f"p50 {row['p50_ms']:.1f} ms, p99 {row['p99_ms']:.1f} ms, "
                f"within target {row['within_target']}, {row['outcomes']} {row['codes']}"
            )
        print(f"    ratios to calm: {run['kept']}")
        counters = {k.removeprefix("wigeonpoint_"): round(v, 2) for k, v in run["counters"].items()}
        print(f"    refusals {run['refusals']}, not sent {run['not_sent']}, counters {counters}")
        print(f"    processor shares {run['cpu_share']}, load {run['load_cpu_share']}")
        print(f"    wake-up lag of an idle process, ms: {run['idle_lag_ms']}")


def print_virtual(queues: dict[str, Any]) -> None:
    """Prints the ratios of all queue policies on the virtual clock."""
    for name, table in queues.items():
        print(f"\n{name} service of 10 ms, queue level on the virtual clock")
        for key in table["ranked"]["ratios"]:
            values = "  ".join(f"{row['ratios'][key]:>8}" for row in table.values())
            print(f"  {key:32}{values}")
        print(f"  columns: {'; '.join(table)}")


def print_replicas(reads: dict[str, Any]) -> None:
    """Prints the shares of reads that replicas served, by lag."""
    print("\nreads on replicas, virtual clock: lowest and median over the seeds")
    for lag, rows in reads.items():
        cells: dict[str, list[float]] = defaultdict(list)
        for row in rows:
            for name, figures in row.items():
                cells[name].append(figures["share_of_best"] or 0.0)
                cells[f"{name} share"].append(figures["replica_share"])
        best = [row["replica_reads"]["best_share"] for row in rows]
        print(f"  {lag:9} best possible {best}")
        for name, values in cells.items():
            kind = "" if name.endswith("share") else " of the best"
            print(f"    {name}{kind}: lowest {min(values)}, median {median(values)}")
