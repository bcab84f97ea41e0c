"""Which log positions prove that a read is recent enough, and how far replicas are behind."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from wigeonpoint.backend import LogPosition

SAMPLE_SPACING_S = 0.02
KEPT_S = 10.0
LAG_DECAY = 0.9
FIRST_LAG_S = 0.05
LAG_GROWTH = 1.5
LONGEST_LAG_S = 3.0  # afterwards one read tries the replica again


@dataclass(frozen=True, slots=True)
class PositionSample:
    """A position of the primary.

    Attributes:
        begun_at: Time in seconds at which the statement that reported it was sent. Every commit
            that was acknowledged before that time is at or before the position.
        position: The position.
    """

    begun_at: float
    position: LogPosition


class PositionSamples:
    """Positions that the primary of a group reported, of its newest term."""

    def __init__(self) -> None:
        self._samples: deque[PositionSample] = deque()

    @property
    def newest(self) -> PositionSample | None:
        """The newest sample."""
        return self._samples[-1] if self._samples else None

    @property
    def term(self) -> int:
        """Term of the samples, 0 without any."""
        return self._samples[-1].position.term if self._samples else 0

    def note(self, position: LogPosition, begun_at: float) -> None:
        """Records a position that the primary reported.

        Args:
            position: The position.
            begun_at: Time in seconds at which its statement was sent.
        """
        last = self.newest
        if last is not None:
            if position.term < last.position.term:
                return
            if position.term > last.position.term:
                self._samples.clear()  # positions of a replaced term may have been cut back
            elif begun_at - last.begun_at < SAMPLE_SPACING_S:
                return
        self._samples.append(PositionSample(begun_at, position))
        while self._samples[0].begun_at < begun_at - KEPT_S:
            self._samples.popleft()

    def forget(self) -> None:
        """Drops all samples, because the primary that reported them has been replaced."""
        self._samples.clear()

    def oldest_since(self, time: float) -> PositionSample | None:
        """The oldest sample begun at or after a time: the weakest proof that still suffices."""
        return next((sample for sample in self._samples if sample.begun_at >= time), None)

    def known_since(self, position: LogPosition) -> float | None:
        """Time of the first sample at or past a position, None if there is none."""
        return next(
            (sample.begun_at for sample in self._samples if sample.position >= position), None
        )


class ReplicaProgress:
    """What is known of the log that a replica has applied."""

    def __init__(self) -> None:
        self._applied: LogPosition | None = None
        self._lag_s = FIRST_LAG_S
        self._behind_until = 0.0

    @property
    def lag_s(self) -> float:
        """Estimated seconds from a commit to its application."""
        return self._lag_s

    def note_applied(self, position: LogPosition, *, committed_before_s: float | None) -> None:
        """Records an answer of the replica.

        Args:
            position: Position that it has applied.
            committed_before_s: Seconds since the primary was first seen at the position.
        """
        if self._applied is None or position > self._applied:
            self._applied = position
        if committed_before_s is not None and committed_before_s < self._lag_s:
            self._lag_s = max(self._lag_s * LAG_DECAY, committed_before_s, FIRST_LAG_S / 2)
        self._behind_until = 0.0

    def note_behind(self, now: float, *, committed_before_s: float) -> None:
        """Records that the replica lacked a position.

        Args:
            now: Time in seconds.
            committed_before_s: Seconds since the primary was first seen at the position.
        """
        self._lag_s = min(
            max(self._lag_s * LAG_GROWTH, committed_before_s * LAG_GROWTH), LONGEST_LAG_S
        )
        self._behind_until = now + self._lag_s

    def has(self, position: LogPosition, now: float, *, known_since: float | None) -> bool:
        """Whether the replica has probably applied a position.

        Args:
            position: The position.
            now: Time in seconds.
            known_since: Time at which the primary was first seen at it, None if unknown.
        """
        if self._applied is not None and self._applied >= position:
            return True
        if now < self._behind_until or known_since is None:
            return False
        return now - known_since >= self._lag_s
