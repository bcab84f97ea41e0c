"""Access to database groups: protocols, data classes and the adapter over WebSocket."""

from __future__ import annotations

from wigeonpoint.backend._protocol import (
    Backend,
    BackendAnswer,
    BackendConnection,
    DatabaseMember,
    Exchange,
    LogPosition,
    MemberRole,
    MemberStatus,
)
from wigeonpoint.backend._websocket import WebSocketBackend

__all__ = [
    "Backend",
    "BackendAnswer",
    "BackendConnection",
    "DatabaseMember",
    "Exchange",
    "LogPosition",
    "MemberRole",
    "MemberStatus",
    "WebSocketBackend",
]
