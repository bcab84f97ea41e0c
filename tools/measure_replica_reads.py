"""Measures the share of reads that replicas serve and the best possible share; prints JSON.

Runs on a virtual clock with a seeded workload: `PYTHONPATH=src:. python -m
tools.measure_replica_reads`. The best share counts every read for which some replica had reached
the session's position and met the maximum age, when the read started or at the end of the wait that
reads may take. Positions of the primary are recorded every millisecond, which limits the error of
the best share.
"""

from __future__ import annotations

import argparse
import asyncio
import bisect
import json
import random
from dataclasses import dataclass, field
from typing import Any

import looptime
from tests.fleet import KEYS, SEED, Fleet, FleetInstance

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection import SessionTokens, TokenSigner
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.process._read_executor import CATCH_UP_WAIT_S
from wigeonpoint.version import Durability

SESSIONS = 30
THINK_S = 0.05
WRITE_SHARE = 0.1
AGES_MS = (200, 1000, 10_000)
LAGS = ("small", "changing", "large")
SMALL_LAG_MS = 1.0
LARGE_LAG_MS = 5000.0
CHANGING_LAGS_MS = (1.0, 20.0, 300.0, 2000.0)
CHANGE_EVERY_S = 2.0
TICK_S = 0.001
WARM_UP_S = 1.0


@dataclass(slots=True)
class Tally:
    """Counts of one run.

    Attributes:
        reads: Answered reads.
        from_replica: Reads that a replica served.
        possible: Reads that a replica could have served.
        missed: Reads that a replica could have served but the primary did.
        failed: Reads and writes that failed.
        read_s: Total time of reads in seconds.
        statements: Statements by address of the member.
    """

    reads: int = 0
    from_replica: int = 0
    possible: int = 0
    missed: int = 0
    failed: int = 0
    read_s: float = 0.0
    statements: dict[str, int] = field(default_factory=dict)


class Trial:
    """One run of the workload at one kind of lag.

    Args:
        lag: `small`, `changing` or `large`.
        seconds: Virtual seconds to measure.
        always_primary: Whether reads ask for current data, which only the primary gives.
        seed: Seed of the sessions and of the changes of lag.
    """

    def __init__(self, lag: str, seconds: float, *, always_primary: bool, seed: int = SEED) -> None:
        self._lag = lag
        self._seed = seed
        self._seconds = seconds
        self._always_primary = always_primary
        self._tally = Tally()
        self._ticks: list[float] = []
        self._positions: list[int] = []
        self._tokens = SessionTokens(TokenSigner(KEYS, "k1", purpose="session"))

    async def run(self) -> dict[str, Any]:
        """Runs the workload and returns its results."""
        self._fleet = Fleet.idle(durability=Durability.PRIMARY)
        self._fleet.network.on_exchange = self._count_statement
        background = [asyncio.create_task(work()) for work in (self._record, self._change_lag)]
        await asyncio.sleep(0.01)
        end = asyncio.get_running_loop().time() + WARM_UP_S + self._seconds
        self._measure_from = end - self._seconds
        await asyncio.gather(*(self._session(number, end) for number in range(SESSIONS)))
        samples = sum(instance.router.samples_taken for instance in self._fleet.instances)
        for task in background:
            task.cancel()
        self._fleet.close()
        await asyncio.sleep(1.0)  # lets open requests and cancelled tasks end
        return self._figures(samples)

    async def _session(self, number: int, end: float) -> None:
        source = random.Random(self._seed * 1000 + number)
        loop = asyncio.get_running_loop()
        session: str | None = None
        while loop.time() < end:
            await asyncio.sleep(source.expovariate(1 / THINK_S))
            instance = source.choice(self._fleet.instances)
            age_ms = source.choice((None, *AGES_MS))
            try:
                if session is None or source.random() < WRITE_SHARE:
                    session = (await instance.write(f"ADD n{number} 1", session=session)).session
                else:
                    session = await self._read(instance, f"GET n{number}", session, age_ms)
            except WigeonpointError:
                self._tally.failed += 1

    async def _read(
        self, instance: FleetInstance, text: str, session: str, age_ms: int | None
    ) -> str | None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        required = self._required(session, age_ms, started)
        possible_task = asyncio.create_task(self._possible_within_wait(required))
        answer = await instance.run(
            text, session=session, max_age_ms=0 if self._always_primary else age_ms
        )
        read_s = loop.time() - started
        possible = await possible_task
        if started >= self._measure_from:
            tally = self._tally
            tally.reads += 1
            tally.from_replica += answer.from_replica
            tally.possible += possible
            tally.missed += possible and not answer.from_replica
            tally.read_s += read_s
        return answer.session

    def _required(self, session: str, age_ms: int | None, now: float) -> int:
        known = self._tokens.decode(session).positions.get("plans", LogPosition(0, 0)).position
        if age_ms is None:
            return known
        index = bisect.bisect_right(self._ticks, now - age_ms / 1000) - 1
        return max(known, self._positions[index] if index >= 0 else 0)

    async def _possible_within_wait(self, required: int) -> bool:
        if self._replica_has(required):
            return True
        await asyncio.sleep(CATCH_UP_WAIT_S)
        return self._replica_has(required)

    def _replica_has(self, required: int) -> bool:
        replicas = list(self._fleet.network.members.values())[1:]
        return any(member.status().position >= required for member in replicas)

    async def _record(self) -> None:
        loop = asyncio.get_running_loop()
        primary = next(iter(self._fleet.network.members.values()))
        while True:
            self._ticks.append(loop.time())
            self._positions.append(primary.status().position)
            await asyncio.sleep(TICK_S)

    async def _change_lag(self) -> None:
        source = random.Random(self._seed)
        primary = next(iter(self._fleet.network.members.values()))
        while True:
            if self._lag == "changing":
                primary.options.replication_ms = source.choice(CHANGING_LAGS_MS)
            else:
                large = self._lag == "large"
                primary.options.replication_ms = LARGE_LAG_MS if large else SMALL_LAG_MS
            await asyncio.sleep(CHANGE_EVERY_S)

    async def _count_statement(self, stage: str, address: str, call: str) -> None:
        if stage == "before":
            self._tally.statements[address] = self._tally.statements.get(address, 0) + 1

    def _figures(self, samples: int) -> dict[str, Any]:
        tally = self._tally
        best = tally.possible / tally.reads
        share = tally.from_replica / tally.reads
        return {
            "reads": tally.reads,
            "replica_share": round(share, 4),
            "best_share": round(best, 4),
            "share_of_best": round(share / best, 4) if best else None,
            "missed": tally.missed,
            "failed": tally.failed,
            "mean_read_ms": round(1000 * tally.read_s / tally.reads, 3),
            "statements_by_member": tally.statements,
            "samples": samples,
        }


def measure(seconds: float, lags: tuple[str, ...]) -> dict[str, Any]:
    """Runs each kind of lag, once with replica reads and once with reads only at the primary."""
    report: dict[str, Any] = {"seed": SEED, "virtual_seconds": seconds, "sessions": SESSIONS}
    for lag in lags:
        report[lag] = {
            name: run_trial(Trial(lag, seconds, always_primary=always_primary))
            for name, always_primary in (("replica_reads", False), ("always_primary", True))
        }
    return report


def run_trial(trial: Trial) -> dict[str, Any]:
    """Runs a trial on a virtual clock of its own."""
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(trial.run())
    finally:
        loop.close()


def main() -> None:
    """Prints the report as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0, help="virtual seconds of each run")
    parser.add_argument("--lag", action="append", choices=LAGS, help="kind of lag; default all")
    options = parser.parse_args()
    print(json.dumps(measure(options.seconds, tuple(options.lag or LAGS)), indent=2))


if __name__ == "__main__":
    main()
