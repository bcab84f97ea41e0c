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
        self._recorded_at = float("-inf")

    @property
    def mean_s(self) -> float:
        """Smoothed response time in seconds."""
        return self._mean_s

    @property
    def late_after_s(self) -> float:
        """Seconds after which an answer is unusually late."""
        return self._mean_s + LATE_DEVIATIONS * self._deviation_s

    def restart(self, seconds: float) -> None:
        """Replaces the estimate, in seconds, because the member has changed since."""
        self._mean_s = seconds
        self._deviation_s = max(seconds / 2, INITIAL_DEVIATION_S)

    def age_s(self, now: float) -> float:
        """Seconds since the last answer, infinite before the first one."""
        return now - self._recorded_at

    def record(self, seconds: float, now: float) -> None:
        """Adds the response time of an answer.

        Args:
            seconds: The response time.
            now: Event-loop time of the answer, in seconds.
        """
        self._recorded_at = now
        error = seconds - self._mean_s
        self._mean_s += SAMPLE_WEIGHT * error
        self._deviation_s += SAMPLE_WEIGHT * (abs(error) - self._deviation_s)
