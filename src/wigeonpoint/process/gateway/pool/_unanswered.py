"""Tells which unanswered statements at a member have probably lost their answers."""

from __future__ import annotations

from wigeonpoint.connection.session import LatencyEstimate
from wigeonpoint.process.gateway.pool._connection_set import ConnectionSet

MIN_LATE_S = 0.04  # an answer is late only after this, however fast the member usually is
MIN_OVERDUE_S = 0.1  # an answer is overdue only after this long, however fast the member usually is


class UnansweredStatements:
    """The statements that a member has not answered yet.

    Args:
        connections: The connections to the member.
        latency: How long the member usually takes.
    """

    def __init__(self, connections: ConnectionSet, latency: LatencyEstimate) -> None:
        self._connections = connections
        self._latency = latency
        self._newest_answered_sent_at = float("-inf")

    @property
    def overdue(self) -> int:
        """Number of statements whose answers are so late that others may take their place."""
        overdue_s = max(self._latency.late_after_s, MIN_OVERDUE_S)
        return len(self._connections.waiting_longer_than(overdue_s))

    @property
    def lost(self) -> int:
        """Number of statements whose answers are probably lost.

        Their answers are overdue, or late while statements that were sent later have been answered.
        """
        late_s = max(self._latency.late_after_s, MIN_LATE_S)
        overtaken = [
            connection
            for connection in self._connections.waiting_longer_than(late_s)
            if connection.waiting_since is not None and self.overtaken(connection.waiting_since)
        ]
        return max(len(overtaken), self.overdue)

    def note_answered(self, sent_at: float) -> None:
        """Records that a statement was answered.

        Args:
            sent_at: Event-loop time, in seconds, at which it was sent.
        """
        self._newest_answered_sent_at = max(self._newest_answered_sent_at, sent_at)

    def overtaken(self, sent_at: float) -> bool:
        """Whether a statement that was sent later than this has already been answered."""
        return self._newest_answered_sent_at > sent_at
