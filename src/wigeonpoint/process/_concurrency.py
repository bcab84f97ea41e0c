"""Limits on the number of statements that run on a backend server at once."""

from __future__ import annotations

from typing import Protocol

INITIAL_LIMIT = 2
MAX_LIMIT = 256
LATENCY_TOLERANCE = 1.5  # latency / baseline above which statements queue inside the server
DECREASE_FACTOR = 0.9
WINDOWS_BETWEEN_BASELINES = 30  # windows until the baseline is measured again
MOVING_AVERAGE_WEIGHT = 0.1  # of a new sample


class ConcurrencyLimit(Protocol):
    """Decides how many statements may run at once."""

    @property
    def limit(self) -> int:
        """Statements that may run at once, at least 1."""
        ...

    def record(self, seconds: float) -> None:
        """Records how long a statement ran."""
        ...


class FixedLimit:
    """A constant limit: the slots from the pool configuration or the server's status."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    @property
    def limit(self) -> int:
        """Statements that may run at once."""
        return self._slots

    def record(self, seconds: float) -> None:
        """Does nothing: the limit is constant."""


class AdaptiveLimit:
    """Adapts the limit to the latency by additive increase, multiplicative decrease (AIMD).

    A window holds as many statements as the limit. A window whose mean latency exceeds the baseline
    by the tolerance lowers the limit; any other raises it by one. The baseline is measured again
    from time to time with half the limit: a limit above the server's slots never sees the latency
    without queueing, so the baseline would only drift upward and the limit would grow without end.

    Args:
        max_limit: Upper bound of the limit.
    """

    def __init__(self, max_limit: int = MAX_LIMIT) -> None:
        self._max_limit = max_limit
        self._limit = float(min(INITIAL_LIMIT, max_limit))
        self._baseline = float("inf")
        self._windows_since_baseline = 0
        self._window_sum_s = 0.0
        self._window_count = 0

    @property
    def limit(self) -> int:
        """Statements that may run at once."""
        return max(int(self._limit / 2), 1) if self._measuring_baseline else int(self._limit)

    def record(self, seconds: float) -> None:
        """Adds a statement to the window and adjusts the limit at its end."""
        self._window_sum_s += seconds
        self._window_count += 1
        # Compares with the full limit: statements sent before the limit was halved must end first.
        # Only the second window of a measurement sets the baseline.
        if self._window_count < int(self._limit):
            return
        mean = self._window_sum_s / self._window_count
        was_measuring, baseline_complete = (
            self._measuring_baseline,
            self._windows_since_baseline == WINDOWS_BETWEEN_BASELINES + 1,
        )
        self._window_sum_s, self._window_count = 0.0, 0
        self._windows_since_baseline = 0 if baseline_complete else self._windows_since_baseline + 1
        if baseline_complete:
            self._baseline = mean
        elif not was_measuring:
            self._adjust(mean)

    @property
    def _measuring_baseline(self) -> bool:
        return self._windows_since_baseline >= WINDOWS_BETWEEN_BASELINES

    def _adjust(self, mean: float) -> None:
        self._baseline = min(self._baseline, mean)
        if mean > self._baseline * LATENCY_TOLERANCE:
            self._limit = max(self._limit * DECREASE_FACTOR, 1.0)
        else:
            self._limit = min(self._limit + 1.0, self._max_limit)
