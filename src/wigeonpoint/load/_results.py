"""Latencies and outcomes of a replay, by rank and kind of request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from wigeonpoint.errors import Outcome
from wigeonpoint.request import Rank
from wigeonpoint.version import DEFAULT_TARGETS

MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3


def _histogram() -> Any:
    return HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class _Series:
    """Results of one rank and kind of request."""

    latency_us: Any = field(default_factory=_histogram)
    retry_ms: Any = field(default_factory=_histogram)
    outcomes: Counter[str] = field(default_factory=Counter)
    codes: Counter[int] = field(default_factory=Counter)
    within_target: int = 0


class LoadResults:
    """Latencies of done requests and outcomes of all requests, by rank and kind."""

    def __init__(self) -> None:
        self._series: dict[tuple[Rank, str], _Series] = {}
        self.not_sent = 0

    def record(
        self,
        rank: Rank,
        kind: str,
        *,
        seconds: float,
        outcome: Outcome,
        code: int,
        retry_after_ms: int | None = None,
    ) -> None:
        """Records a request.

        Args:
            rank: Rank of the request.
            kind: Kind of the request.
            seconds: Time from its arrival in the trace to the answer.
            outcome: Outcome.
            code: Result code, or -1 without an answer.
            retry_after_ms: Milliseconds after which the instance suggested a retry.
        """
        series = self._series.get((rank, kind))
        if series is None:  # histograms are large, so they are created only when needed
            series = self._series[rank, kind] = _Series()
        series.outcomes[outcome] += 1
        series.codes[code] += 1
        if retry_after_ms:
            series.retry_ms.record_value(retry_after_ms)
        if outcome is Outcome.DONE:
            series.latency_us.record_value(max(int(seconds * 1e6), 1))
            series.within_target += seconds * 1000 <= DEFAULT_TARGETS[rank].target_ms

    @property
    def done(self) -> int:
        """Number of requests that were done."""
        return sum(series.outcomes[Outcome.DONE] for series in self._series.values())

    def rank(self, rank: Rank) -> dict[str, Any]:
        """Returns the summary of a rank over all kinds; times are in milliseconds."""
        return _summary([series for key, series in self._series.items() if key[0] is rank])

    def as_json(self, seconds: float) -> dict[str, Any]:
        """Returns all summaries as JSON data.

        Args:
            seconds: Length of the replay, for rates per second.
        """
        ranks = {str(rank): self.rank(rank) for rank in Rank}
        kinds = {f"{rank} {kind}": _summary([s]) for (rank, kind), s in self._series.items()}
        for summary in (*ranks.values(), *kinds.values()):
            summary["rate"] = round(summary["sent"] / seconds, 1)
            summary["done_rate"] = round(summary["done"] / seconds, 1)
        return {"seconds": seconds, "not_sent": self.not_sent, "ranks": ranks, "kinds": kinds}


def _summary(all_series: list[_Series]) -> dict[str, Any]:
    latency, retry = _histogram(), _histogram()
    outcomes: Counter[str] = Counter()
    codes: Counter[int] = Counter()
    within = 0
    for series in all_series:
        latency.add(series.latency_us)
        retry.add(series.retry_ms)
        outcomes += series.outcomes
        codes += series.codes
        within += series.within_target
    sent = sum(outcomes.values())
    return {
        "sent": sent,
        "done": outcomes[Outcome.DONE],
        "p50_ms": latency.get_value_at_percentile(50) / 1000,
        "p99_ms": latency.get_value_at_percentile(99) / 1000,
        "within_target": round(within / sent, 4) if sent else None,
        "outcomes": {str(outcome): count for outcome, count in outcomes.items()},
        "codes": {str(code): count for code, count in sorted(codes.items())},
        "retry_p50_ms": retry.get_value_at_percentile(50),
    }
