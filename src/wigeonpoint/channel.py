"""Multiplexed JSON request channels over one kept WebSocket."""

from __future__ import annotations

from wigeonpoint._channel import ChannelHandler, JsonChannel, Responder

__all__ = ["ChannelHandler", "JsonChannel", "Responder"]
