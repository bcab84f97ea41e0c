"""How many connections to a member this instance may open, and when.

Answers members whose connection limit is shared by all instances: each keeps to a share, leaves
room for instances that return after a loss of power, and stays away for a while after a refusal.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

FIRST_PAUSE_S = 0.05  # before the member's connection limit is tried again
LONGEST_PAUSE_S = 0.4
# A member keeps the connections of an instance that lost power for seconds. What this share leaves
# free lets the instance return before they are dropped.
SHARE_OF_LIMIT = 0.6
# Of the limit, for work that waits. Open connections beyond what the slots need only wait at the
# member, and after a loss of power they keep the instances from returning.
BORROWED_SHARE = 1 / 16
# For this long after the start, half of the share must do: connections of the former process count.
STARTING_S = 1.2


class ConnectionQuota:
    """Connections to one member that this instance may hold.

    Args:
        share: Gives the part of the limit that falls to this instance.
        limit: Gives the member's connection limit.
    """

    def __init__(self, *, share: Callable[[], int], limit: Callable[[], int]) -> None:
        self._share = share
        self._limit = limit
        self._pause_s = FIRST_PAUSE_S
        self._paused_until = 0.0
        self._started_at = asyncio.get_running_loop().time()

    @property
    def own(self) -> int:
        """Connections that it may hold without borrowing."""
        return max(int(self._share() * SHARE_OF_LIMIT), 1)

    @property
    def paused_s(self) -> float:
        """Seconds until the member's limit may be tried again, 0 if it may be now."""
        return max(self._paused_until - asyncio.get_running_loop().time(), 0.0)

    @property
    def refused_lately(self) -> bool:
        """Whether the member has refused a connection since it last accepted one."""
        return self._pause_s > FIRST_PAUSE_S

    def most(self, *, waiting: bool) -> int:
        """Connections that it may hold now.

        Args:
            waiting: Whether work waits for a connection.
        """
        if asyncio.get_running_loop().time() - self._started_at < STARTING_S:
            return max(self.own // 2, 1)
        borrowed = max(int(self._limit() * BORROWED_SHARE), 1) if waiting else 0
        return max(min(self.own + borrowed, self._limit()), 1)

    def note_accepted(self) -> None:
        """Records that the member accepted a connection."""
        self._pause_s = FIRST_PAUSE_S

    def note_refused(self) -> None:
        """Records that the member refused a connection because of its limit."""
        self._paused_until = asyncio.get_running_loop().time() + self._pause_s
        self._pause_s = min(2 * self._pause_s, LONGEST_PAUSE_S)
