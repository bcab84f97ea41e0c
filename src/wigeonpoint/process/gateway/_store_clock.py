"""Relates the store's steady clock to the clock of this instance."""

from __future__ import annotations

# An answer that was under way for longer tells the store's time too inexactly.
MAX_UNCERTAINTY_S = 1.0
# For which a more exact answer is kept; the two clocks may run at slightly different rates.
KEPT_S = 300.0


class StoreClock:
    """Bounds of the store's time, from answers that carry it.

    The store's clock runs on while instances come and go, so that one can tell from a stored time
    how long ago something happened that no running instance has seen.
    """

    def __init__(self) -> None:
        self._era = 0
        self._bounds: tuple[float, float] | None = None  # of the store's time minus the own time
        self._noted_at = float("-inf")

    def note(self, store_s: float, *, asked_at: float, answered_at: float, era: int) -> None:
        """Records the time that an answer of the store carries.

        Args:
            store_s: Time of the store in seconds.
            asked_at: Own time in seconds at which the store was asked.
            answered_at: Own time in seconds at which the answer had arrived.
            era: Era of the answer; a restored store may begin with another time.
        """
        if era < self._era or answered_at - asked_at > MAX_UNCERTAINTY_S:
            return
        kept = era == self._era and answered_at - self._noted_at < KEPT_S
        if kept and self._bounds is not None:
            earliest, latest = self._bounds
            if latest - earliest <= answered_at - asked_at:
                return
        self._era = era
        self._noted_at = answered_at
        self._bounds = store_s - answered_at, store_s - asked_at

    def earliest(self, own_s: float) -> float | None:
        """The store's time at an own time, at the earliest, in seconds; None if it is not known."""
        return None if self._bounds is None else own_s + self._bounds[0]

    def own_time(self, store_s: float) -> float | None:
        """The own time at a store's time, at the earliest, in seconds; None if it is not known."""
        return None if self._bounds is None else store_s - self._bounds[1]
