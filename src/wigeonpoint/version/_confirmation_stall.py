"""How long answers have waited for a majority while none was confirmed."""

from __future__ import annotations

IDLE_S = 2.0  # a group without waiting answers for this long is idle, not stalled
SLOWEST_RETENTION_S = 60.0  # a slow confirmation shows for this long how far replicas lag behind


class ConfirmationStall:
    """Tracks how long answers wait until a majority holds their position."""

    def __init__(self) -> None:
        self._waiting = 0
        self._since: float | None = None
        self._last_end = 0.0
        self._slowest = (0.0, 0.0)  # seconds that a confirmation took, and when it ended

    def begin(self, now: float) -> None:
        """Records that an answer starts to wait."""
        if self._since is None or self._idle(now):
            self._since = now
        self._waiting += 1

    def end(self, now: float, *, timed_out: bool, waited: float) -> None:
        """Records that an answer stops waiting.

        Args:
            now: Event-loop time.
            timed_out: Whether the wait timed out or was cancelled; any other end shows that the
                members respond.
            waited: Seconds that it waited.
        """
        self._waiting -= 1
        self._last_end = now
        if timed_out:
            return
        self._since = now if self._waiting else None
        if waited >= self.slowest(now):
            self._slowest = (waited, now)

    def lasting(self, now: float) -> float:
        """Seconds for which answers have waited while none was confirmed; 0 without a stall."""
        if self._since is None or self._idle(now):
            return 0.0
        return now - self._since

    def slowest(self, now: float) -> float:
        """Seconds that the slowest recent confirmation took."""
        waited, ended = self._slowest
        return waited if now - ended <= SLOWEST_RETENTION_S else 0.0

    def _idle(self, now: float) -> bool:
        return self._waiting == 0 and now - self._last_end > IDLE_S
