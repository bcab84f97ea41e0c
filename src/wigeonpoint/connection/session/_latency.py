"""Estimates a member's latency, and when an answer is late enough to ask another member."""

from __future__ import annotations

SAMPLE_WEIGHT = 0.1
LATE_DEVIATIONS = 5.0
INITIAL_MEAN_S = 0.005  # low, so that a member without answers yet is tried
INITIAL_DEVIATION_S = 0.01


class LatencyEstimate:
    """Exponentially smoothed mean and mean deviation of a member's response times."""

    def __init__(self) -> None:
        self._mean_s = INITIAL_MEAN_S
        self._deviation_s = INITIAL_DEVIATION_S

    @property
    def mean_s(self) -> float:
        """Smoothed response time in seconds."""
        return self._mean_s

    @property
    def late_after_s(self) -> float:
        """Seconds after which an answer is unusually late."""
        return self._mean_s + LATE_DEVIATIONS * self._deviation_s

    def record(self, seconds: float) -> None:
        """Adds the response time of an answer, in seconds."""
        error = seconds - self._mean_s
        self._mean_s += SAMPLE_WEIGHT * error
        self._deviation_s += SAMPLE_WEIGHT * (abs(error) - self._deviation_s)
