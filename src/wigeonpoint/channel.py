"""Multiplexed JSON requests over one persistent WebSocket."""

from __future__ import annotations

from wigeonpoint._channel import ChannelHandler, JsonChannel, Responder

__all__ = ["ChannelHandler", "JsonChannel", "Responder"]
