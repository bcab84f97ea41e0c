"""Listener for callers over the line protocol."""

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
from wigeonpoint.platform._line_protocol import (
    END_OF_LINE,
    MAX_LINE_BYTES,
    decode_line,
    encode_ready,
    encode_reply,
    parse_caller_message,
)
from wigeonpoint.platform._sockets import tune_socket
from wigeonpoint.request.session import Reply, TransactionState

# A message over MAX_LINE_BYTES is answered with an error; one over this limit ends the connection.
MAX_READ_BYTES = 4 * MAX_LINE_BYTES


class LineCallerConnection:
    """A caller's connection over the line protocol."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._reading: asyncio.Future[bytes] | None = None

    @property
    def message_arrived(self) -> bool:
        """Whether a message has arrived that `receive` has not returned yet."""
        return self._reading is not None and self._reading.done()

    async def receive(self) -> CallerMessage:
        """Waits for the caller's next message.

        Raises:
            CallerDisconnected: The connection ended, or a message was too long to be read.
        """
        try:
            self._reading = asyncio.ensure_future(
                self._stream.read_until(END_OF_LINE, max_bytes=MAX_READ_BYTES)
            )
            line = await self._reading
        except (StreamClosedError, UnsatisfiableReadError) as error:
            raise CallerDisconnected from error
        finally:
            self._reading = None
        if len(line) > MAX_LINE_BYTES:
            return MalformedMessage(f"message over {MAX_LINE_BYTES} bytes", too_large=True)
        return parse_caller_message(decode_line(line))

    async def accept(self) -> None:
        """Tells the caller that its session is open."""
        await self._write(encode_ready(TransactionState.IDLE))

    async def reply(self, reply: Reply, state: TransactionState) -> None:
        """Sends the reply to a statement, followed by the READY line."""
        await self._write(encode_reply(reply) + encode_ready(state))

    async def reject(self, reply: Reply) -> None:
        """Sends a refusal without a READY line; the session ends with it."""
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
    """TCP server that accepts callers.

    Args:
        serve: Serves a caller's connection until it ends.
    """

    def __init__(self, serve: Callable[[CallerConnection], Coroutine[Any, Any, None]]) -> None:
        super().__init__()
        self._serve = serve

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serves one caller in a task of its own."""
        tune_socket(stream.socket)
        await asyncio.create_task(self._serve(LineCallerConnection(stream)))
