"""How long requests for a connection to a member are expected to wait, and when to return."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonpoint.connection.session import LatencyEstimate
from wigeonpoint.process.policy import ReturnSchedule

HOLD_WEIGHT = 0.1  # of the newest value in the smoothed time for which a connection is held
INITIAL_HOLD_S = 0.02
MIN_HOLDS = 10


class WaitEstimate:
    """Estimates the time between two grants.

    Connections may be held by transactions that rest, while few statements run; and many
    connections may be free while the member runs as many statements as it may.

    Args:
        latency: Response times of the member.
        connections: Returns the connections that are open or being opened.
        statements: Returns the statements that may run at the same time.
    """

    def __init__(
        self,
        latency: LatencyEstimate,
        *,
        connections: Callable[[], int],
        statements: Callable[[], int],
    ) -> None:
        self._latency = latency
        self._connections = connections
        self._statements = statements
        self._mean_hold_s = INITIAL_HOLD_S
        self._holds = 0
        self._returns = ReturnSchedule()

    def note_held(self, seconds: float) -> None:
        """Records for how long a connection was held."""
        weight = max(HOLD_WEIGHT, 1 / (self._holds + 1))
        self._mean_hold_s += weight * (seconds - self._mean_hold_s)
        self._holds += 1

    @property
    def known(self) -> bool:
        """Whether enough connections have been held for an estimate to refuse requests by."""
        return self._holds >= MIN_HOLDS

    @property
    def interval_s(self) -> float:
        """Seconds between two grants while requests wait."""
        held_s = self._mean_hold_s / max(self._connections(), 1)
        return max(held_s, self._latency.mean_s / max(self._statements(), 1))

    def next_return_s(self, wait_s: float | None = None) -> float:
        """Seconds after which a caller that is refused now should return.

        Args:
            wait_s: Seconds until there is room; if None, those that an answer takes.
        """
        if wait_s is None:
            wait_s = self._latency.mean_s
        now = asyncio.get_running_loop().time()
        return self._returns.next_return_s(wait_s, self.interval_s, now)
