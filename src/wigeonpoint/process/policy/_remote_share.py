"""Decides which share of reads leaves the data centre because others answer sooner."""

from __future__ import annotations

UPDATE_INTERVAL_S = 0.2
# Advantages are shares of the route's objective. Between the start and zero, the share stays as it
# is, so that data centres do not send load back and forth.
START_ADVANTAGE = 0.1
IMMEDIATE_ADVANTAGE = 0.25  # a read with this advantage does not wait for the share to grow
GROWTH = 0.25  # of the share, per interval, for an advantage of the whole objective
MIN_SHRINK = 0.02  # of the share, per interval, once leaving does not pay
MAX_SHARE = 0.8  # the rest shows when waiting here has become short again
REFUSED_FACTOR = 0.5
MAX_INTERVALS = 5  # that one update makes up for, where reads are rare
STALE_S = 10.0  # without reads, after which the share is forgotten


class RemoteShare:
    """Share of the reads of one kind that leave the data centre."""

    def __init__(self) -> None:
        self._share = 0.0
        self._due = 0.0  # reads to send away, with fractions
        self._advantages = 0.0
        self._reads = 0
        self._updated_at = float("-inf")

    @property
    def share(self) -> float:
        """Share of the reads that leave, from 0 to `MAX_SHARE`."""
        return self._share

    def leaves(self, advantage: float, immediate_advantage: float, now: float) -> bool:
        """Whether a read should leave.

        Args:
            advantage: Time that reads have saved lately by leaving, less the cost of the traffic,
                as a share of the route's objective.
            immediate_advantage: The same as expected of this read, by the queues at this moment.
            now: Time in seconds.
        """
        self._advantages += advantage
        self._reads += 1
        if now - self._updated_at >= UPDATE_INTERVAL_S:
            self._update(now)
        if immediate_advantage >= IMMEDIATE_ADVANTAGE and advantage >= -START_ADVANTAGE:
            return True
        if advantage <= 0 or immediate_advantage <= 0:
            return False
        self._due += self._share
        if self._due < 1:
            return False
        self._due -= 1
        return True

    def note_refused(self) -> None:
        """Records that a read was refused where it was sent."""
        self._share *= REFUSED_FACTOR

    def _update(self, now: float) -> None:
        if now - self._updated_at > STALE_S:
            self._share = 0.0
        intervals = min((now - self._updated_at) / UPDATE_INTERVAL_S, MAX_INTERVALS)
        advantage = self._advantages / self._reads
        if advantage > START_ADVANTAGE:
            self._share = min(self._share + intervals * GROWTH * advantage, MAX_SHARE)
        elif advantage < 0:
            shrinkage = max(GROWTH * -advantage, MIN_SHRINK)
            self._share = max(self._share - intervals * shrinkage, 0.0)
        self._advantages, self._reads, self._updated_at = 0.0, 0, now
