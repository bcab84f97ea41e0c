"""Rows of the store that cannot be read: noted by their decoder, and logged."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from wigeonpoint.events import Event, log_event

# Another writer may write unreadable rows at any rate.
MAX_LINES = 20
INTERVAL_S = 10.0
MAX_PROBLEM_CHARACTERS = 300
MAX_KEY_CHARACTERS = 200


class RowProblems(Protocol):
    """Takes note of rows, and of entries in rows, that cannot be read."""

    def note(self, row: str, error: Exception) -> None:
        """Notes that a row, or an entry in one, cannot be read.

        Args:
            row: Key of the row, or kind of the entry.
            error: Why it cannot be read.
        """
        ...


class RowLog:
    """Implements `RowProblems` by logging, at most `MAX_LINES` in `INTERVAL_S`.

    Args:
        clock: Gives seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._interval_began_at = float("-inf")
        self._lines = 0
        self._left_out = 0

    def note(self, row: str, error: Exception) -> None:
        """Logs that a row, or an entry in one, cannot be read.

        Args:
            row: Key of the row, or kind of the entry.
            error: Why it cannot be read.
        """
        now = self._clock()
        if now - self._interval_began_at >= INTERVAL_S:
            self._interval_began_at, self._lines = now, 0
        if self._lines >= MAX_LINES:
            self._left_out += 1
            return
        self._lines += 1
        log_event(
            Event.ROW_UNREADABLE,
            row=row[:MAX_KEY_CHARACTERS],
            problem=" ".join(str(error).split())[:MAX_PROBLEM_CHARACTERS],
            left_out=self._left_out,
        )
        self._left_out = 0
