"""Bounds the replies that callers have not taken yet."""

from __future__ import annotations

from wigeonpoint.events import Event, log_event
from wigeonpoint.process._message_gate import Closable
from wigeonpoint.process.policy import ByteBudget


class ReplyOutbox:
    """Counts the bytes of replies that wait for their callers, and closes the heaviest connections.

    Args:
        limit: Bytes that all such replies may hold.

    Attributes:
        closed: Number of connections closed so far.
    """

    def __init__(self, limit: int) -> None:
        self._budget: ByteBudget[Closable] = ByteBudget(limit)
        self.closed = 0

    @property
    def held(self) -> int:
        """Bytes of all replies that wait."""
        return self._budget.total

    def hold(self, connection: Closable, count: int) -> None:
        """Records a reply that waits; closes connections, also this one, if all hold too much."""
        self._budget.hold(connection, count)
        while self._budget.exceeded:
            heaviest = self._budget.heaviest()
            if heaviest is None:
                return
            self.closed += 1
            log_event(Event.UNREAD_REPLY_DROPPED, reason="memory", held=self._budget.total)
            self._budget.release(heaviest)
            heaviest.close()

    def release(self, connection: Closable) -> None:
        """Records that a connection's reply waits no longer."""
        self._budget.release(connection)
