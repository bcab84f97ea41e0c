"""Accepts the channels of other gateways."""

from __future__ import annotations

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application

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


def listen_for_peers(address: str, dispatcher: PeerDispatcher) -> HTTPServer:
    """Accepts channels of peers.

    Args:
        address: `host:port`; only instances reach it.
        dispatcher: Handlers of messages.
    """
    server = HTTPServer(Application([(r"/peer", PeerHandler, {"dispatcher": dispatcher})]))
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)
    return server
