"""Listener for callers that speak the line protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError
from tornado.tcpserver import TCPServer

from wigeonpoint.connection.session import (
    CallerConnection,
    CallerDisconnected,
    CallerMessage,
    MalformedMessage,
)
from wigeonpoint.platform._lines import (
    END_OF_LINE,
    MAX_LINE_BYTES,
    decode_line,
    encode_ready,
    encode_reply,
    parse_caller_message,
)
from wigeonpoint.platform._sockets import tune_socket
from wigeonpoint.request.session import Reply, TransactionState

# A message up to this length gets a numbered error; a longer one ends the connection.
LONGEST_READ_BYTES = 4 * MAX_LINE_BYTES


class LineCallerConnection:
    """The connection of one caller."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream

    async def receive(self) -> CallerMessage:
        """Waits for the next message."""
        try:
            line = await self._stream.read_until(END_OF_LINE, max_bytes=LONGEST_READ_BYTES)
        except (StreamClosedError, UnsatisfiableReadError) as error:
            raise CallerDisconnected from error
        if len(line) > MAX_LINE_BYTES:
            return MalformedMessage(f"message over {MAX_LINE_BYTES} bytes", too_large=True)
        return parse_caller_message(decode_line(line))

    async def accept(self) -> None:
        """Tells the caller that its session is open."""
        await self._write(encode_ready(TransactionState.IDLE))

    async def reply(self, reply: Reply, state: TransactionState) -> None:
        """Answers a statement."""
        await self._write(encode_reply(reply) + encode_ready(state))

    async def reject(self, reply: Reply) -> None:
        """Answers with a refusal that ends the session."""
        await self._write(encode_reply(reply))

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.write(data)
        except StreamClosedError as error:
            raise CallerDisconnected from error


class LineListener(TCPServer):
    """Accepts callers.

    Args:
        serve: Serves a connection until it ends.
    """

    def __init__(self, serve: Callable[[CallerConnection], Coroutine[Any, Any, None]]) -> None:
        super().__init__()
        self._serve = serve

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serves a caller in a task of its own."""
        tune_socket(stream.socket)
        await asyncio.create_task(self._serve(LineCallerConnection(stream)))
