"""Estimates how long a member takes, and how long to wait before asking another one."""

from __future__ import annotations

MEAN_WEIGHT = 0.1
DEVIATIONS = 5.0
FIRST_MEAN_S = 0.005  # low, so that a member that has not been tried is tried
FIRST_DEVIATION_S = 0.01


class LatencyEstimate:
    """Mean and mean deviation of a member's answers, smoothed exponentially."""

    def __init__(self) -> None:
        self._mean_s = FIRST_MEAN_S
        self._deviation_s = FIRST_DEVIATION_S

    @property
    def mean_s(self) -> float:
        """Smoothed seconds of an answer."""
        return self._mean_s

    @property
    def late_after_s(self) -> float:
        """Seconds after which an answer is unusually late."""
        return self._mean_s + DEVIATIONS * self._deviation_s

    def record(self, seconds: float) -> None:
        """Adds an answer."""
        error = seconds - self._mean_s
        self._mean_s += MEAN_WEIGHT * error
        self._deviation_s += MEAN_WEIGHT * (abs(error) - self._deviation_s)
