"""The newest era of the store that an instance knows, shared by its feeds."""

from __future__ import annotations

from collections.abc import Callable

EraListener = Callable[[int], None]


class StoreEra:
    """Tells all feeds of an instance when one of them finds the store restored.

    A call that waits for changes outlasts a restore, and then goes on waiting for a version that
    the store may not give out again for long.
    """

    def __init__(self) -> None:
        self._era = 0
        self._listeners: list[EraListener] = []

    def subscribe(self, listener: EraListener) -> None:
        """Has a listener called with each later era."""
        self._listeners.append(listener)

    def note(self, era: int) -> None:
        """Records an era of the store."""
        if era <= self._era:
            return
        self._era = era
        for listener in self._listeners:
            listener(era)
