"""Listener for callers over the line protocol."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from wigeonpoint.connection.session import CallerConnection
from wigeonpoint.events import Event, log_event
from wigeonpoint.platform._caller_connection import READ_CHUNK_BYTES, LineCallerConnection
from wigeonpoint.platform._sockets import split_address, tune_socket
from wigeonpoint.process.gateway import CALLER_BUFFER_BYTES, CallerUsage, bound_kernel_buffers
from wigeonpoint.process.policy import connection_to_close


class LineListener(TCPServer):
    """TCP server that accepts callers.

    Args:
        serve: Serves a caller's connection until it ends.
        usage: What callers use of the process.
    """

    def __init__(
        self,
        serve: Callable[[CallerConnection], Coroutine[Any, Any, None]],
        usage: CallerUsage,
    ) -> None:
        super().__init__(max_buffer_size=4 * READ_CHUNK_BYTES, read_chunk_size=READ_CHUNK_BYTES)
        self._serve = serve
        self._usage = usage
        self._connections: set[LineCallerConnection] = set()

    def listen_at(self, address: str) -> None:
        """Accepts callers at an address.

        Args:
            address: `host:port`.
        """
        host, port = split_address(address)
        sockets = bind_sockets(port, host)
        for listening in sockets:
            bound_kernel_buffers(listening, CALLER_BUFFER_BYTES)
        self.add_sockets(sockets)

    def handle_stream(self, stream: IOStream, address: Any) -> Coroutine[Any, Any, None] | None:
        """Makes room for a caller and serves it in a task of its own."""
        if not self._make_room():
            stream.close()
            return None
        tune_socket(stream.socket)
        connection = LineCallerConnection(stream, self._usage)
        self._connections.add(connection)
        self._usage.connections += 1
        return self._serve_until_end(connection)

    async def _serve_until_end(self, connection: LineCallerConnection) -> None:
        try:
            await self._serve(connection)
        finally:
            connection.close()
            self._forget(connection)

    def _make_room(self) -> bool:
        """Closes a connection if no more may be open; returns whether there is room."""
        if self._usage.connections < self._usage.limits.connections:
            return True
        connection = connection_to_close(self._connections)
        log_event(Event.CONNECTIONS_FULL, limit=self._usage.limits.connections)
        if connection is None:
            self._usage.refused += 1
            return False
        self._usage.closed_for_room += 1
        connection.close()
        self._forget(connection)
        return True

    def _forget(self, connection: LineCallerConnection) -> None:
        if connection in self._connections:
            self._connections.discard(connection)
            self._usage.connections -= 1
