"""Access to database groups: interfaces, data classes and an adapter over WebSocket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpoint._lazy import lazy_exports
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

if TYPE_CHECKING:
    from wigeonpoint.backend._websocket import WebSocketBackend

_MODULES = {
    "wigeonpoint.backend._websocket": ("WebSocketBackend",),
}
__getattr__ = lazy_exports(__name__, _MODULES)

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
