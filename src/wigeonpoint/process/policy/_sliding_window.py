"""Counts events within a sliding window."""

from __future__ import annotations

from collections import deque


class SlidingWindow:
    """Counts the events of the last seconds exactly.

    Args:
        window_s: Length of the window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Counts an event at a time in seconds."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Number of events within the window that ends at a time in seconds."""
        oldest = now - self._window_s
        while self._times and self._times[0] <= oldest:
            self._times.popleft()
        return len(self._times)

    def seconds_until_below(self, limit: int, now: float) -> float:
        """Seconds until fewer than `limit` of the present events are in the window.

        Args:
            limit: A number of events, 1 at least.
            now: Time in seconds.
        """
        excess = self.count(now) - limit
        if excess < 0:
            return 0.0
        return self._times[excess] + self._window_s - now
