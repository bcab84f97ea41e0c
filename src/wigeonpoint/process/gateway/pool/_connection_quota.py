"""How many connections to a member this instance may hold, and when it may open one.

All instances share a member's connection limit. Each keeps to a part of it, leaves room for
instances that restart after a loss of power, and pauses after the member refused a connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

INITIAL_PAUSE_S = 0.05  # after a refusal, before the next attempt to connect
MAX_PAUSE_S = 0.4
# Of an instance's share. A member keeps the connections of an instance that lost power for seconds;
# the unused rest lets the instance reconnect before they are dropped.
USED_FRACTION = 0.6
# Of the limit, while statements wait. Connections beyond the member's execution slots only queue
# there, and after a loss of power they keep restarted instances from connecting.
BORROWED_FRACTION = 1 / 16
# For this long after the start only half of the regular limit is used, because the member may still
# count the connections of the previous process.
STARTUP_S = 1.2


def largest_use(share: int, limit: int) -> int:
    """Most connections to a member that an instance holds at a time.

    Args:
        share: The instance's share of the limit.
        limit: The member's connection limit.
    """
    return min(_regular_limit(share) + _borrowed(limit), limit)


def _regular_limit(share: int) -> int:
    return max(int(share * USED_FRACTION), 1)


def _borrowed(limit: int) -> int:
    return max(int(limit * BORROWED_FRACTION), 1)


class ConnectionQuota:
    """This instance's part of a member's connection limit.

    Args:
        share: Returns this instance's equal share of the limit.
        limit: Returns the member's connection limit.
    """

    def __init__(self, *, share: Callable[[], int], limit: Callable[[], int]) -> None:
        self._share = share
        self._limit = limit
        self._pause_s = INITIAL_PAUSE_S
        self._paused_until = 0.0
        self._started_at = asyncio.get_running_loop().time()

    @property
    def regular_limit(self) -> int:
        """Number of connections that the instance may hold without borrowing."""
        return _regular_limit(self._share())

    @property
    def pause_remaining_s(self) -> float:
        """Seconds until the next attempt to connect is allowed, 0 if it is allowed now."""
        return max(self._paused_until - asyncio.get_running_loop().time(), 0.0)

    @property
    def recently_refused(self) -> bool:
        """Whether the member has refused a connection since it last accepted one."""
        return self._pause_s > INITIAL_PAUSE_S

    def current_limit(self, *, waiting: bool) -> int:
        """Returns the number of connections that the instance may hold now.

        Args:
            waiting: Whether statements wait for a connection.
        """
        if asyncio.get_running_loop().time() - self._started_at < STARTUP_S:
            return max(self.regular_limit // 2, 1)
        if waiting:
            return max(largest_use(self._share(), self._limit()), 1)
        return max(min(self.regular_limit, self._limit()), 1)

    def note_accepted(self) -> None:
        """Records that the member accepted a connection."""
        self._pause_s = INITIAL_PAUSE_S

    def note_refused(self) -> None:
        """Records that the member refused a connection because of its limit."""
        self._paused_until = asyncio.get_running_loop().time() + self._pause_s
        self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S)
