"""How many statements a backend server runs at once."""

from __future__ import annotations

from typing import Protocol

FIRST_LIMIT = 2
MAX_LIMIT = 256
LATENCY_TOLERANCE = 1.5  # latency over the baseline above which statements wait in the server
DECREASE_FACTOR = 0.9
WINDOWS_TO_MEASURE = 30  # windows between measurements of the baseline
MEAN_WEIGHT = 0.1


class ConcurrencyLimit(Protocol):
    """Decides how many statements may run at once."""

    @property
    def limit(self) -> int:
        """Statements that may run at once, at least 1."""
        ...

    def record(self, seconds: float) -> None:
        """Takes note of how long a statement ran."""
        ...


class FixedLimit:
    """The slots that the pool row or the server states."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    @property
    def limit(self) -> int:
        """Statements that may run at once."""
        return self._slots

    def record(self, seconds: float) -> None:
        """Ignores the time."""


class AdaptiveLimit:
    """Additive increase and multiplicative decrease (AIMD) from latency.

    A window is as many statements as the limit. One whose mean exceeds the baseline by the
    tolerance lowers the limit, any other raises it by one. The baseline is measured again with half
    the limit from time to time: a lowest mean that only drifts upward makes the limit grow without
    end, because a limit above the server's slots never sees the latency without waiting.

    Args:
        most: Upper bound of the limit.
    """

    def __init__(self, most: int = MAX_LIMIT) -> None:
        self._most = most
        self._limit = float(min(FIRST_LIMIT, most))
        self._baseline = float("inf")
        self._windows = 0
        self._sum = 0.0
        self._count = 0

    @property
    def limit(self) -> int:
        """Statements that may run at once."""
        return max(int(self._limit / 2), 1) if self._measuring else int(self._limit)

    def record(self, seconds: float) -> None:
        """Adds a statement to the window and adjusts the limit at its end."""
        self._sum += seconds
        self._count += 1
        # The statements sent before the limit was halved must end before the baseline counts.
        if self._count < int(self._limit):
            return
        mean = self._sum / self._count
        measured, last = self._measuring, self._windows == WINDOWS_TO_MEASURE + 1
        self._sum, self._count = 0.0, 0
        self._windows = 0 if last else self._windows + 1
        if last:
            self._baseline = mean
        elif not measured:
            self._adjust(mean)

    @property
    def _measuring(self) -> bool:
        return self._windows >= WINDOWS_TO_MEASURE

    def _adjust(self, mean: float) -> None:
        self._baseline = min(self._baseline, mean)
        if mean > self._baseline * LATENCY_TOLERANCE:
            self._limit = max(self._limit * DECREASE_FACTOR, 1.0)
        else:
            self._limit = min(self._limit + 1.0, self._most)
