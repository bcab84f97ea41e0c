"""WebSocket handler for channels from other instances."""

from __future__ import annotations

from typing import Any

from wigeonpoint.channel import ChannelHandler
from wigeonpoint.connection import PeerDispatcher


class PeerHandler(ChannelHandler):
    """Channel from another instance."""

    def initialize(self, dispatcher: PeerDispatcher) -> None:  # type: ignore[override]
        """Sets the dispatcher of received messages."""
        super().initialize()
        self._dispatcher = dispatcher

    async def respond(self, kind: str, body: Any) -> Any:
        """Handles a message and returns the reply."""
        return await self._dispatcher.respond(kind, body)
