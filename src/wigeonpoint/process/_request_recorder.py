"""Counts of callers' requests: outcomes, latency by rank and error budget burn."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from wigeonpoint.errors import Outcome, ResultCode
from wigeonpoint.report import BurnRecorder, BurnSnapshot, Objective
from wigeonpoint.request import Rank
from wigeonpoint.version import DEFAULT_OBJECTIVE, DEFAULT_TARGETS, Configuration

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 2


@dataclass(frozen=True, slots=True)
class RequestKey:
    """Label values by which requests are counted."""

    rank: Rank
    outcome: Outcome
    code: ResultCode


class RequestRecorder:
    """Counts the requests of callers on this instance."""

    def __init__(self) -> None:
        self.requests: Counter[RequestKey] = Counter()
        self._burn = BurnRecorder()
        self._latency = {
            rank: HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
            for rank in Rank
        }

    def record(
        self,
        route: str,
        rank: Rank,
        *,
        code: ResultCode,
        outcome: Outcome,
        seconds: float,
        objective: Objective,
    ) -> None:
        """Counts one answered request.

        Invalid requests (codes 1xx) do not count towards the error budget burn.

        Args:
            route: Name of the route.
            rank: Rank of the request.
            code: Result code of the answer.
            outcome: Outcome of the answer.
            seconds: Time from arrival to answer.
            objective: Service-level objective of the route and rank.
        """
        self.requests[RequestKey(rank, outcome, code)] += 1
        self._latency[rank].record_value(
            min(max(int(seconds * 1e6), LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        )
        if code // 100 != 1:
            good = outcome is Outcome.DONE and seconds * 1000 <= objective.target_ms
            now = asyncio.get_running_loop().time()
            self._burn.record(route, rank, good=good, now=now)

    def latency_ms(self, rank: Rank, percentile: float) -> float:
        """Latency at a percentile (0 to 100), in milliseconds."""
        value: int = self._latency[rank].get_value_at_percentile(percentile)
        return value / 1000

    def burn(self, instance_id: str) -> BurnSnapshot:
        """Returns the counts for the burn report."""
        return self._burn.snapshot(instance_id, asyncio.get_running_loop().time())


def objective_of(configuration: Configuration, route_name: str, rank: Rank) -> Objective:
    """Returns the objective of a route and rank; default values for a removed route."""
    route = configuration.routes.get(route_name)
    targets = route.targets if route is not None else DEFAULT_TARGETS
    share = route.objective if route is not None else DEFAULT_OBJECTIVE
    return Objective(targets[rank].target_ms, share)
