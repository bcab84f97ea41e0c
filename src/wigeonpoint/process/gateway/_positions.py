"""Log positions that prove a read recent enough, and the lag of replicas."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from wigeonpoint.backend import LogPosition

MIN_SAMPLE_INTERVAL_S = 0.02
SAMPLE_LIFETIME_S = 10.0
LAG_DECAY = 0.9
INITIAL_LAG_S = 0.05
LAG_GROWTH = 1.5
MAX_LAG_S = 3.0  # after this long, a read tries the replica again


@dataclass(frozen=True, slots=True)
class PositionSample:
    """A log position that the primary reported.

    Attributes:
        sent_at: Time in seconds at which the statement that reported it was sent. Every commit
            that was acknowledged before that time is at or before the position.
        position: The position.
    """

    sent_at: float
    position: LogPosition


class PositionSamples:
    """Positions that the primary of a group reported in its newest term."""

    def __init__(self) -> None:
        self._samples: deque[PositionSample] = deque()

    @property
    def newest(self) -> PositionSample | None:
        """The newest sample."""
        return self._samples[-1] if self._samples else None

    @property
    def term(self) -> int:
        """Term of the samples, 0 if there are none."""
        return self._samples[-1].position.term if self._samples else 0

    def add(self, position: LogPosition, sent_at: float) -> None:
        """Records a position that the primary reported.

        Args:
            position: The position.
            sent_at: Time in seconds at which its statement was sent.
        """
        last = self.newest
        if last is not None:
            if position.term < last.position.term:
                return
            if position.term > last.position.term:
                self._samples.clear()  # commits of an older term may have been discarded
            elif sent_at - last.sent_at < MIN_SAMPLE_INTERVAL_S:
                return
        self._samples.append(PositionSample(sent_at, position))
        while self._samples[0].sent_at < sent_at - SAMPLE_LIFETIME_S:
            self._samples.popleft()

    def clear(self) -> None:
        """Drops all samples, because the primary that reported them has been replaced."""
        self._samples.clear()

    def oldest_since(self, time: float) -> PositionSample | None:
        """Returns the oldest sample sent at or after a time, the one that most replicas have."""
        return next((sample for sample in self._samples if sample.sent_at >= time), None)

    def first_seen_at(self, position: LogPosition) -> float | None:
        """Returns when the first sample at or past a position was sent, None if there is none."""
        return next(
            (sample.sent_at for sample in self._samples if sample.position >= position), None
        )


class ReplicaProgress:
    """Known position and estimated lag of a replica's applied log."""

    def __init__(self) -> None:
        self._applied: LogPosition | None = None
        self._lag_s = INITIAL_LAG_S
        self._behind_until = 0.0

    @property
    def lag_s(self) -> float:
        """Estimated seconds from a commit until the replica has applied it."""
        return self._lag_s

    def note_applied(self, position: LogPosition, *, position_age_s: float | None) -> None:
        """Records an answer of the replica.

        Args:
            position: Position that it has applied.
            position_age_s: Seconds since the primary was first seen at the position.
        """
        if self._applied is None or position > self._applied:
            self._applied = position
        if position_age_s is not None and position_age_s < self._lag_s:
            self._lag_s = max(self._lag_s * LAG_DECAY, position_age_s, INITIAL_LAG_S / 2)
        self._behind_until = 0.0

    def note_behind(self, now: float, *, position_age_s: float) -> None:
        """Records that the replica lacked a position.

        Args:
            now: Time in seconds.
            position_age_s: Seconds since the primary was first seen at the position.
        """
        self._lag_s = min(max(self._lag_s * LAG_GROWTH, position_age_s * LAG_GROWTH), MAX_LAG_S)
        self._behind_until = now + self._lag_s

    def has_probably_applied(
        self, position: LogPosition, now: float, *, first_seen_at: float | None
    ) -> bool:
        """Whether the replica has probably applied a position.

        Args:
            position: The position.
            now: Time in seconds.
            first_seen_at: Time at which the primary was first seen at it, None if unknown.
        """
        if self._applied is not None and self._applied >= position:
            return True
        if now < self._behind_until or first_seen_at is None:
            return False
        return now - first_seen_at >= self._lag_s
