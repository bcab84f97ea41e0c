"""Replays all virtual traces and prints their findings as JSON.

Run from the root of the repository: `PYTHONPATH=src:. python tools/replay_report.py`.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import sys
from typing import Any

import looptime
from tests.replay import Findings, Trace, VirtualDriver, read_trace, replay
from tests.replay._replayer import SEED, violations
from tests.test_proofs import VIRTUAL_TRACES

from wigeonpoint.events import Event

FAILOVER_STEPS = (
    Event.TERM_CLAIMED,
    Event.TERM_FENCED,
    Event.CANDIDATE_CHOSEN,
    Event.MEMBER_PROMOTED,
    Event.GROUP_STABLE,
)
TOTALS = (
    "missing",
    "run_twice",
    "not_run_that_ran",
    "stale_reads",
    "half_transactions",
    "wrong_answers",
    "never_resolved",
    "cut_off_requests",
    "work_after_leaving",
    "reverts",
)


class _StepTimes(logging.Handler):
    """Records the event-loop times of the steps of a change of primary."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.found: list[tuple[float, Event]] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Records the time of an event."""
        for event in FAILOVER_STEPS:
            if getattr(record, "event", None) == event.number:
                self.found.append((asyncio.get_running_loop().time(), event))


def main() -> int:
    """Replays and prints; returns 1 if a trace does not end with its expected outcome."""
    logger = logging.getLogger("wigeonpoint")
    logger.setLevel(logging.INFO)
    logger.propagate = False
    traces = {name: _report(name, logger) for name in VIRTUAL_TRACES}
    totals = {name: sum(trace[name] for trace in traces.values()) for name in TOTALS}
    print(json.dumps({"seed": SEED, "totals": totals, "traces": traces}, indent=1))
    return int(any(trace["violations"] for trace in traces.values()))


def _report(name: str, logger: logging.Logger) -> dict[str, Any]:
    trace, times = read_trace(name), _StepTimes()
    logger.addHandler(times)
    loop = looptime.new_event_loop(noop_cycles=0)
    try:
        findings = loop.run_until_complete(_replay(trace))
    finally:
        loop.close()
        logger.removeHandler(times)
    observed = findings.observations
    return {
        "violations": violations(trace, findings),
        "acknowledged": len(findings.acknowledged),
        "reads": findings.reads,
        "replica_reads": findings.replica_reads,
        "aged_reads": findings.aged_reads,
        "missing": len(findings.missing),
        "run_twice": len(findings.run_twice),
        "not_run": len(findings.refused),
        "not_run_that_ran": len(findings.not_run_that_ran),
        "stale_reads": findings.stale_reads,
        "half_transactions": len(findings.half_transactions),
        "wrong_answers": findings.wrong_answers,
        "never_resolved": len(findings.unresolved),
        "cut_off_requests": observed.cut_off_requests,
        "work_after_leaving": observed.work_after_leaving,
        "reverts": observed.reverts,
        "in_force_s": _rounded(observed.in_force_s),
        "longest_gap": _gap(findings, times),
        "during_platform_fault": _during_platform_fault(trace, findings),
        "in_cut_off_data_centres": _in_cut_off_data_centres(trace, findings),
    }


async def _replay(trace: Trace) -> Findings:
    driver = VirtualDriver(trace)
    await driver.start()
    try:
        return await replay(trace, driver)
    finally:
        await driver.close()
        await asyncio.sleep(0)


def _gap(findings: Findings, times: _StepTimes) -> dict[str, Any]:
    """Returns the longest gap between acknowledgements, with its steps of a change of primary."""
    stamps = sorted(findings.acknowledged.values())
    if len(stamps) < 2:
        return {}
    begin, end = max(itertools.pairwise(stamps), key=lambda pair: pair[1] - pair[0])
    steps = {
        event.name.lower(): _rounded(at - begin) for at, event in times.found if begin <= at <= end
    }
    return {
        "seconds": _rounded(end - begin),
        "at": _rounded(begin - findings.started_at),
        "shares_s": steps,
    }


def _windows(trace: Trace, begin: str, end: str) -> list[tuple[float, float, str]]:
    """Returns start, end and target of each fault that a step begins and another one ends."""
    windows: list[tuple[float, float, str]] = []
    steps = sorted(trace.steps, key=lambda step: step.at)
    for step in steps:
        if step.do == begin and (begin != end or step.body):
            ends = [other.at for other in steps if other.do == end and other.at > step.at]
            windows.append((step.at, min(ends, default=float("inf")), step.target))
    return windows


def _during_platform_fault(trace: Trace, findings: Findings) -> dict[str, int]:
    windows = _windows(trace, "platform", "platform")
    done = [
        one
        for one in findings.recorded_answers
        if one.outcome == "done" and any(begin <= one.at <= end for begin, end, _ in windows)
    ]
    return {
        "writes": sum(one.kind == "write" for one in done),
        "reads": sum(one.kind == "read" for one in done),
    }


def _in_cut_off_data_centres(trace: Trace, findings: Findings) -> dict[str, int]:
    counts = {"writes": 0, "primary_reads": 0, "replica_reads": 0, "not_done": 0}
    placed = trace.deployment.instances
    for begin, end, data_centre in _windows(trace, "cut", "heal"):
        for one in findings.recorded_answers:
            if not begin <= one.at <= end or one.instance not in placed.get(data_centre, []):
                continue
            if one.outcome != "done":
                counts["not_done"] += 1
            elif one.kind == "read":
                counts["replica_reads" if one.from_replica else "primary_reads"] += 1
            else:
                counts["writes"] += 1
    return counts


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)


if __name__ == "__main__":
    sys.exit(main())
