"""How long ago this instance certainly had the newest configuration."""

from __future__ import annotations

from collections.abc import Callable

from wigeonpoint.process.gateway._suspension import Clock


class CatalogueAge:
    """Time since the newest evidence that no later version of the configuration existed.

    Evidence is an answer of the store, or a peer's evidence if this instance has all changes that
    the peer has.

    Args:
        clock: Gives seconds; it must also count the time for which the machine is suspended.
        read_at: Returns the time in seconds of the store's last answer to this instance.
    """

    def __init__(self, clock: Clock, read_at: Callable[[], float]) -> None:
        self._clock = clock
        self._read_at = read_at
        self._told_at = float("-inf")

    @property
    def seconds(self) -> float:
        """Seconds since the newest evidence."""
        return self._clock() - max(self._read_at(), self._told_at)

    def note_peer(self, age_s: float, asked_at: float) -> None:
        """Records the evidence of a peer whose changes this instance has.

        Args:
            age_s: Seconds since the peer's own evidence when it answered.
            asked_at: Time in seconds at which it was asked.
        """
        self._told_at = max(self._told_at, asked_at - age_s)
