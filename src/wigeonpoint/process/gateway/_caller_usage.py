"""What callers use of the process, and the limits of that."""

from __future__ import annotations

from wigeonpoint.process._message_gate import MessageGate
from wigeonpoint.process._reply_outbox import ReplyOutbox
from wigeonpoint.process.policy import CallerLimits


class CallerUsage:
    """Memory and connections that callers use, shared by all their connections.

    Args:
        limits: The limits.

    Attributes:
        limits: The limits.
        gate: Admits large messages.
        outbox: Counts replies that callers have not taken.
        connections: Number of open connections.
        closed_for_room: Connections closed so far to make room for new ones.
        refused: New connections refused so far, as all others were at work.
        late_messages: Connections closed so far because a message did not arrive in time.
        late_replies: Connections closed so far because a reply was not taken in time.
    """

    def __init__(self, limits: CallerLimits) -> None:
        self.limits = limits
        self.gate = MessageGate(limits.message_bytes)
        self.outbox = ReplyOutbox(limits.reply_bytes)
        self.connections = 0
        self.closed_for_room = 0
        self.refused = 0
        self.late_messages = 0
        self.late_replies = 0
