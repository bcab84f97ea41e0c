"""Accepts the channels of other gateways."""

from __future__ import annotations

from typing import Any

from wigeonpoint.channel import ChannelHandler
from wigeonpoint.connection import PeerDispatcher


class PeerHandler(ChannelHandler):
    """Channel of another gateway."""

    def initialize(self, dispatcher: PeerDispatcher) -> None:  # type: ignore[override]
        """Takes the handlers of messages."""
        super().initialize()
        self._dispatcher = dispatcher

    async def respond(self, kind: str, body: Any) -> Any:
        """Answers a message."""
        return await self._dispatcher.respond(kind, body)
