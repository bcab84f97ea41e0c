"""When refused callers should return, so that they find room and do not come back together."""

from __future__ import annotations

import random

RETURN_SHARE = 0.5  # of the rate of service, for those that return; the rest is for first tries
JITTER = 0.25
MIN_RETURN_S = 0.02
MAX_RETURN_S = 2.0  # callers give up after a few seconds


class ReturnSchedule:
    """Gives refused callers different times to return.

    Args:
        random_source: Source of the jitter.
    """

    def __init__(self, random_source: random.Random | None = None) -> None:
        self._random = random_source or random.Random()
        self._last_return_at = float("-inf")

    def next_return_s(self, wait_s: float, interval_s: float, now: float) -> float:
        """Returns the seconds after which a caller that is refused now should return.

        Args:
            wait_s: Seconds until there is room.
            interval_s: Seconds between two statements that are served.
            now: Time in seconds.
        """
        room_at = now + wait_s
        latest = now + MAX_RETURN_S
        return_at = max(room_at, self._last_return_at + interval_s / RETURN_SHARE)
        # Beyond the longest time, callers return in any order rather than all at its end.
        if return_at > latest:
            return self._random.uniform(min(wait_s, MAX_RETURN_S / 2), MAX_RETURN_S)
        self._last_return_at = return_at
        jitter = self._random.uniform(1 - JITTER, 1 + JITTER)
        return max((return_at - now) * jitter, MIN_RETURN_S)
