"""Builds the error-budget burn report, with one row for each route, rank and window."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from wigeonpoint.report._burn import BurnSnapshot, WindowCounts
from wigeonpoint.request import Rank


@dataclass(frozen=True, slots=True)
class Objective:
    """Service-level objective of a route and rank.

    Attributes:
        target_ms: Milliseconds within which an answer is good.
        share: Share of answers that should be good, from 0 to 1.
    """

    target_ms: int
    share: float


@dataclass(frozen=True, slots=True)
class BurnRow:
    """Burn of one route, rank and window.

    Attributes:
        route: Name of the route.
        rank: Rank.
        window: Name of the window.
        target_ms: Milliseconds within which an answer is good.
        objective: Share of answers that should be good, from 0 to 1.
        total: Answers in the window.
        good: Answers within the target.
        share: Share of good answers; 1 when there are no answers.
        burn_rate: Share of bad answers divided by the share that the objective allows; above 1 the
            error budget is used faster than planned.
        good_by_bucket: Good answers by bucket, oldest first.
        total_by_bucket: All answers by bucket, oldest first.
    """

    route: str
    rank: Rank
    window: str
    target_ms: int
    objective: float
    total: int
    good: int
    share: float
    burn_rate: float
    good_by_bucket: list[int]
    total_by_bucket: list[int]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn report over several instances.

    Attributes:
        instances: Ids of the instances whose answers are counted.
        unreachable: Ids of the instances whose counts are missing.
        rows: One row for each route, rank and window.
    """

    instances: list[str] = field(default_factory=list)
    unreachable: list[str] = field(default_factory=list)
    rows: list[BurnRow] = field(default_factory=list)


def build_burn_report(
    snapshot: BurnSnapshot,
    objective: Callable[[str, Rank], Objective],
    *,
    unreachable: list[str],
) -> BurnReport:
    """Calculates burn rates from merged counts.

    Args:
        snapshot: Merged counts.
        objective: Returns the objective of a route and rank.
        unreachable: Ids of instances whose counts are missing.
    """
    rows = [
        _row(entry.route, entry.rank, counts, objective(entry.route, entry.rank))
        for entry in snapshot.entries
        for counts in entry.windows
    ]
    return BurnReport(snapshot.instances, sorted(unreachable), rows)


def _row(route: str, rank: Rank, counts: WindowCounts, objective: Objective) -> BurnRow:
    total, good = sum(counts.total), sum(counts.good)
    share = good / total if total else 1.0
    allowed = max(1.0 - objective.share, 1e-9)
    return BurnRow(
        route=route,
        rank=rank,
        window=counts.window,
        target_ms=objective.target_ms,
        objective=objective.share,
        total=total,
        good=good,
        share=round(share, 6),
        burn_rate=round((1.0 - share) / allowed, 3),
        good_by_bucket=counts.good,
        total_by_bucket=counts.total,
    )
