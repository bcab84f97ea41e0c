"""How many statements one instance runs at a member at the same time.

A member runs a few statements at once, queues some more in order of arrival, and refuses the rest.
This limit answers loads beyond that: statements wait here instead, where the most urgent go first,
and a member that refuses gets fewer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

DECREASE_FACTOR = 0.7
# Refusals within this time belong to one overload, and lower the limit once.
DECREASE_INTERVAL_S = 0.05


class StatementLimit:
    """Additive increase with answers, multiplicative decrease with refusals.

    Args:
        highest: Returns the highest limit; it also is the first.
    """

    def __init__(self, highest: Callable[[], int]) -> None:
        self._highest = highest
        self._fraction = 1.0
        self._lowered_at = float("-inf")

    @property
    def limit(self) -> int:
        """Statements that may run at the same time, at least 1."""
        return max(int(self._highest() * self._fraction), 1)

    def note_answered(self) -> None:
        """Raises the limit by one for each round of answers."""
        highest = max(self._highest(), 1)
        self._fraction = min(self._fraction + 1 / (highest * self.limit), 1.0)

    def note_refused(self) -> None:
        """Lowers the limit because the member was too busy to run a statement."""
        now = asyncio.get_running_loop().time()
        if now - self._lowered_at >= DECREASE_INTERVAL_S:
            self._lowered_at = now
            self._fraction = max(self._fraction * DECREASE_FACTOR, 1 / max(self._highest(), 1))
