"""Counts of answers within their target, by route and rank, over several windows."""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from dataclasses import dataclass, field

from wigeonpoint.request import Rank

BUCKETS_PER_WINDOW = 12


@dataclass(frozen=True, slots=True)
class BurnWindow:
    """A window of the report; its buckets are a twelfth of its length.

    Attributes:
        name: Short name in reports.
        seconds: Length.
    """

    name: str
    seconds: int

    @property
    def bucket_seconds(self) -> float:
        """Length of a bucket."""
        return self.seconds / BUCKETS_PER_WINDOW


WINDOWS = (BurnWindow("5m", 300), BurnWindow("1h", 3600), BurnWindow("6h", 21600))


@dataclass(frozen=True, slots=True)
class BurnKey:
    """What is counted together."""

    route: str
    rank: Rank


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Answers in the buckets of a window, from the oldest to the newest.

    Attributes:
        window: Name of the window.
        good: Answers within their target, by bucket.
        total: All answers, by bucket.
    """

    window: str
    good: list[int]
    total: list[int]


@dataclass(frozen=True, slots=True)
class BurnEntry:
    """Counts of one route and rank."""

    route: str
    rank: Rank
    windows: list[WindowCounts] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class BurnSnapshot:
    """Counts of one instance, or of several merged."""

    instances: list[str] = field(default_factory=list)
    entries: list[BurnEntry] = field(default_factory=list)


class _Ring:
    """Buckets of one window; a bucket is reused after the window has passed.

    One array of 32-bit numbers holds all of them, the good answers of a bucket before its total,
    because a large fleet has thousands of rings on each instance.
    """

    __slots__ = ("_counts", "_newest", "_width")

    def __init__(self, window: BurnWindow) -> None:
        self._width = window.bucket_seconds
        self._counts = array("I", bytes(8 * BUCKETS_PER_WINDOW))
        self._newest = 0

    def record(self, now: float, good: bool) -> None:
        self._advance(now)
        slot = 2 * (self._newest % BUCKETS_PER_WINDOW)
        self._counts[slot] += good
        self._counts[slot + 1] += 1

    def counts(self, now: float, window: str) -> WindowCounts:
        self._advance(now)
        order = [
            2 * ((self._newest + 1 + offset) % BUCKETS_PER_WINDOW)
            for offset in range(BUCKETS_PER_WINDOW)
        ]
        return WindowCounts(
            window,
            [self._counts[slot] for slot in order],
            [self._counts[slot + 1] for slot in order],
        )

    def _advance(self, now: float) -> None:
        number = int(now / self._width)
        for passed in range(self._newest + 1, min(number, self._newest + BUCKETS_PER_WINDOW) + 1):
            slot = 2 * (passed % BUCKETS_PER_WINDOW)
            self._counts[slot] = self._counts[slot + 1] = 0
        self._newest = max(self._newest, number)


class BurnRecorder:
    """Counts answers of this instance; memory is constant for each route and rank in use."""

    def __init__(self) -> None:
        self._rings: dict[BurnKey, list[_Ring]] = {}

    def record(self, route: str, rank: Rank, *, good: bool, now: float) -> None:
        """Counts an answer.

        Args:
            route: Name of the route.
            rank: Rank of the request.
            good: Whether it was done within the target.
            now: Event-loop time in seconds.
        """
        key = BurnKey(route, rank)
        rings = self._rings.get(key)
        if rings is None:
            rings = self._rings[key] = [_Ring(window) for window in WINDOWS]
        for ring in rings:
            ring.record(now, good)

    def snapshot(self, instance_id: str, now: float) -> BurnSnapshot:
        """Gives the counts of all windows."""
        entries = [
            BurnEntry(
                key.route,
                key.rank,
                [
                    ring.counts(now, window.name)
                    for ring, window in zip(rings, WINDOWS, strict=True)
                ],
            )
            for key, rings in self._rings.items()
        ]
        return BurnSnapshot([instance_id], entries)


def merge_snapshots(snapshots: Iterable[BurnSnapshot]) -> BurnSnapshot:
    """Adds the counts of several instances.

    Buckets are aligned by their distance from the newest one, so instances whose buckets turn at
    different moments are off by at most one bucket.
    """
    instances: list[str] = []
    merged: dict[BurnKey, BurnEntry] = {}
    for snapshot in snapshots:
        instances.extend(snapshot.instances)
        for entry in snapshot.entries:
            key = BurnKey(entry.route, entry.rank)
            known = merged.get(key)
            merged[key] = entry if known is None else _add(known, entry)
    ordered = sorted(merged.values(), key=lambda entry: (entry.route, list(Rank).index(entry.rank)))
    return BurnSnapshot(sorted(instances), ordered)


def _add(one: BurnEntry, other: BurnEntry) -> BurnEntry:
    windows = [
        WindowCounts(
            mine.window,
            [a + b for a, b in zip(mine.good, theirs.good, strict=True)],
            [a + b for a, b in zip(mine.total, theirs.total, strict=True)],
        )
        for mine, theirs in zip(one.windows, other.windows, strict=True)
    ]
    return BurnEntry(one.route, one.rank, windows)
