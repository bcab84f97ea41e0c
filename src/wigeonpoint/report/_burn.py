"""Counts of answers within their latency target, by route and rank, over several time windows."""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from dataclasses import dataclass, field

from wigeonpoint.request import Rank

BUCKETS_PER_WINDOW = 12


@dataclass(frozen=True, slots=True)
class BurnWindow:
    """A time window of the report, divided into `BUCKETS_PER_WINDOW` buckets.

    Attributes:
        name: Short name in reports.
        seconds: Length in seconds.
    """

    name: str
    seconds: int

    @property
    def bucket_seconds(self) -> float:
        """Length of a bucket in seconds."""
        return self.seconds / BUCKETS_PER_WINDOW


WINDOWS = (BurnWindow("5m", 300), BurnWindow("1h", 3600), BurnWindow("6h", 21600))


@dataclass(frozen=True, slots=True)
class BurnKey:
    """Route and rank whose answers are counted together."""

    route: str
    rank: Rank


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Answers in the buckets of a window, oldest bucket first.

    Attributes:
        window: Name of the window.
        good: Answers within the latency target, by bucket.
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
    """Counts of one instance, or the sum over several instances."""

    instances: list[str] = field(default_factory=list)
    entries: list[BurnEntry] = field(default_factory=list)


class _BucketRing:
    """Ring buffer with the buckets of one window.

    One array of 32-bit numbers holds all buckets to save memory, because each instance of a large
    fleet has thousands of rings. A bucket takes two slots: good answers, then all answers.
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
        """Clears the buckets that began since the newest one."""
        current = int(now / self._width)
        for bucket in range(self._newest + 1, min(current, self._newest + BUCKETS_PER_WINDOW) + 1):
            slot = 2 * (bucket % BUCKETS_PER_WINDOW)
            self._counts[slot] = self._counts[slot + 1] = 0
        self._newest = max(self._newest, current)


class BurnRecorder:
    """Counts answers of this instance, in constant memory for each route and rank in use."""

    def __init__(self) -> None:
        self._rings: dict[BurnKey, list[_BucketRing]] = {}

    def record(self, route: str, rank: Rank, *, good: bool, now: float) -> None:
        """Counts an answer.

        Args:
            route: Name of the route.
            rank: Rank of the request.
            good: Whether the request was done within the latency target.
            now: Event-loop time in seconds.
        """
        key = BurnKey(route, rank)
        rings = self._rings.get(key)
        if rings is None:
            rings = self._rings[key] = [_BucketRing(window) for window in WINDOWS]
        for ring in rings:
            ring.record(now, good)

    def snapshot(self, instance_id: str, now: float) -> BurnSnapshot:
        """Returns the counts of all windows.

        Args:
            instance_id: Id of this instance.
            now: Event-loop time in seconds.
        """
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

    Buckets are aligned by their distance from the newest one. Instances start a new bucket at
    different times, so their counts may be shifted by at most one bucket.
    """
    instances: list[str] = []
    merged: dict[BurnKey, BurnEntry] = {}
    for snapshot in snapshots:
        instances.extend(snapshot.instances)
        for entry in snapshot.entries:
            key = BurnKey(entry.route, entry.rank)
            total = merged.get(key)
            merged[key] = entry if total is None else _add(total, entry)
    ordered = sorted(merged.values(), key=lambda entry: (entry.route, list(Rank).index(entry.rank)))
    return BurnSnapshot(sorted(instances), ordered)


def _add(first: BurnEntry, second: BurnEntry) -> BurnEntry:
    windows = [
        WindowCounts(
            counts.window,
            [a + b for a, b in zip(counts.good, others.good, strict=True)],
            [a + b for a, b in zip(counts.total, others.total, strict=True)],
        )
        for counts, others in zip(first.windows, second.windows, strict=True)
    ]
    return BurnEntry(first.route, first.rank, windows)
