"""Notices that the machine was suspended, which the event loop's clock does not count."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

Clock = Callable[[], float]

MIN_SUSPENSION_S = 0.05  # shorter differences come from reading two clocks one after the other


class SuspensionWatch:
    """Compares the event loop's clock with one that counts suspensions.

    Args:
        clock: Gives seconds; it must also count the time for which the machine is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._difference_s = self._measure()
        self._noticed_at = float("-inf")

    @property
    def noticed_at(self) -> float:
        """Event-loop time, in seconds, at which the last suspension was noticed."""
        return self._noticed_at

    def check(self) -> bool:
        """Whether the machine has been suspended since the last check."""
        difference_s = self._measure()
        if difference_s - self._difference_s < MIN_SUSPENSION_S:
            return False
        self._difference_s = difference_s
        self._noticed_at = asyncio.get_running_loop().time()
        return True

    def _measure(self) -> float:
        return self._clock() - asyncio.get_running_loop().time()
