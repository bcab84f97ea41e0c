"""HTTP server that bounds its connections and the bodies that it holds."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from wigeonpoint.events import Event, log_event
from wigeonpoint.process._message_gate import MessageGate
from wigeonpoint.process.policy import ConnectionUse, connection_to_close

CHUNK_BYTES = 16 * 1024
BODY_COPIES = 4  # its chunks, the whole body, and what is decoded from it
LOG_INTERVAL_S = 1.0
MIN_FORGET_AT = 64  # connections from which on ended channels are looked for
MAX_SMALL_BODY_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of an HTTP server.

    Attributes:
        connections: Connections that may be open.
        body_bytes: Largest body of a request.
        all_bodies_bytes: Bytes that the bodies of all requests may hold.
        body_s: Seconds within which a body must arrive.
    """

    connections: int
    body_bytes: int = MAX_SMALL_BODY_BYTES
    all_bodies_bytes: int = 64 * MAX_SMALL_BODY_BYTES
    body_s: float = 30.0


class BoundedHttpServer(HTTPServer):
    """HTTP server that keeps its clients within limits.

    A body that does not fit into one chunk waits until there is room for it. If no further
    connection may be open, the one that has waited for a request for longest is closed. Channels
    (WebSockets) count as connections until they end; they are not closed for others.

    Args:
        application: Handles the requests.
        limits: The limits.
    """

    def initialize(self, application: Any, *, limits: HttpLimits) -> None:  # type: ignore[override]
        """Prepares the server; tornado calls this with the arguments of the constructor."""
        super().initialize(
            application,
            max_body_size=limits.body_bytes,
            chunk_size=CHUNK_BYTES,
            body_timeout=limits.body_s,
        )
        self._limits = limits
        self._gate = MessageGate(limits.all_bodies_bytes)
        self._forget_at = MIN_FORGET_AT
        self._logged_at = float("-inf")
        self._clients: dict[IOStream, _ClientConnection] = {}  # those that count as open
        # Those whose end has not been noted; some may have been closed to make room.
        self._serving: dict[IOStream, _ClientConnection] = {}

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Makes room for a connection and serves it."""
        if not self._make_room():
            stream.close()
            return
        client = _ClientConnection(stream, self._gate)
        self._clients[stream] = self._serving[stream] = client
        super().handle_stream(stream, address)

    def start_request(self, server_conn: Any, request_conn: HTTPConnection) -> HTTPMessageDelegate:
        """Waits for a request on a connection."""
        delegate = super().start_request(server_conn, request_conn)
        client = self._serving.get(server_conn.stream)
        if client is None:  # it has ended meanwhile
            return delegate
        client.wait_for_request()
        return _BoundedRequest(delegate, client, self._limits.body_bytes)

    def on_close(self, server_conn: Any) -> None:
        """Forgets a connection that has ended; one that became a channel goes on."""
        super().on_close(server_conn)
        stream = server_conn.stream
        client = self._serving.pop(stream, None)
        if client is not None:
            self._gate.leave(client)
        if stream.closed():
            self._clients.pop(stream, None)

    def _make_room(self) -> bool:
        if len(self._clients) >= min(self._forget_at, self._limits.connections):
            self._forget_ended()
        if len(self._clients) < self._limits.connections:
            return True
        self._log_full()
        client = connection_to_close(self._clients.values())
        if client is None:
            return False
        client.close()
        return True

    def _forget_ended(self) -> None:
        """Forgets channels that have ended, whose end nothing reports, now and then."""
        for stream in [stream for stream in self._clients if stream.closed()]:
            self._gate.leave(self._clients.pop(stream))
        self._forget_at = max(2 * len(self._clients), MIN_FORGET_AT)

    def _log_full(self) -> None:
        """Logs that there is no room, at most once in `LOG_INTERVAL_S`."""
        now = asyncio.get_running_loop().time()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log_event(Event.CONNECTIONS_FULL, limit=self._limits.connections)


class _ClientConnection:
    """A connection of a client.

    Args:
        stream: The connection.
        gate: Admits large bodies.
    """

    def __init__(self, stream: IOStream, gate: MessageGate) -> None:
        self._stream = stream
        self._gate = gate
        self._use = ConnectionUse.UNOPENED
        self.waiting_since = asyncio.get_running_loop().time()

    @property
    def use(self) -> ConnectionUse:
        """What the connection is used for."""
        if self._use is ConnectionUse.WORKING and self._stream.writing():
            return ConnectionUse.RECEIVING  # it waits for its client as well, which does not read
        return self._use

    def close(self) -> None:
        """Closes the connection."""
        self._gate.leave(self)
        self._stream.close()

    def wait_for_request(self) -> None:
        """Records that the last request, if there was one, has been answered."""
        self._gate.leave(self)
        if self._use is not ConnectionUse.UNOPENED:
            self._use = ConnectionUse.IDLE
        self.waiting_since = asyncio.get_running_loop().time()

    async def admit_body(self, count: int) -> None:
        """Waits until there is room for a body."""
        await self._gate.enter(self, BODY_COPIES * count)

    def note_headers(self) -> None:
        """Records that the headers of a request have arrived."""
        self._use = ConnectionUse.RECEIVING

    def note_whole(self, count: int) -> None:
        """Records that a request has arrived whole."""
        self._use = ConnectionUse.WORKING
        self._gate.note_whole(self, BODY_COPIES * count)


class _BoundedRequest(HTTPMessageDelegate):
    """Passes a request on, with a large body only once there is room for it.

    Args:
        delegate: Handles the request.
        client: Its connection.
        max_body_bytes: Largest body of a request.
    """

    def __init__(
        self, delegate: HTTPMessageDelegate, client: _ClientConnection, max_body_bytes: int
    ) -> None:
        self._delegate = delegate
        self._client = client
        self._max_body_bytes = max_body_bytes
        self._received = 0

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self._client.note_headers()
        handled = self._delegate.headers_received(start_line, headers)
        count = _body_bytes(headers, self._max_body_bytes)
        if not CHUNK_BYTES < count <= self._max_body_bytes:
            return handled  # the server refuses a body that is too large by itself
        return self._admit(count, handled)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._received += len(chunk)
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._client.note_whole(self._received)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()

    async def _admit(self, count: int, handled: Awaitable[None] | None) -> None:
        if handled is not None:
            await handled
        await self._client.admit_body(count)


def _body_bytes(headers: HTTPHeaders, max_body_bytes: int) -> int:
    """Size of a request's body, the largest possible one if the headers do not tell it."""
    if "Transfer-Encoding" in headers:
        return max_body_bytes
    length = headers.get("Content-Length", "0")
    return int(length) if length.isascii() and length.isdigit() else 0
