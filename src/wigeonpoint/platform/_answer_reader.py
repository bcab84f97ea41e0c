"""Reads the lines of members' answers."""

from __future__ import annotations

from tornado.iostream import IOStream

from wigeonpoint.events import Event, log_event
from wigeonpoint.platform._line_protocol import END_OF_LINE, MAX_LINE_BYTES, TEXT_ENCODING
from wigeonpoint.process.gateway import MessageGate

READ_CHUNK_BYTES = 64 * 1024
ANSWER_COPIES = 3  # the bytes that arrive, a line, and the rows


class AnswerReader:
    """Reads answers from a connection to a member, and large ones as the process has room for them.

    Args:
        stream: The connection.
        gate: Admits large answers of all members.
    """

    def __init__(self, stream: IOStream, gate: MessageGate) -> None:
        self._stream = stream
        self._gate = gate
        self._buffer = bytearray()
        self._received = 0  # bytes of the present answer
        self._admitted = False

    def close(self) -> None:
        """Closes the connection."""
        self.finish()
        self._stream.close()

    def finish(self) -> None:
        """Ends the present answer."""
        self._received = len(self._buffer)
        if self._admitted:
            self._admitted = False
            self._gate.leave(self)

    async def read_line(self) -> str:
        """Reads a line and returns it without its line ending.

        Raises:
            StreamClosedError: The connection ended.
            ValueError: The line or the whole answer is too large.
        """
        searched = 0
        while (end := self._buffer.find(END_OF_LINE, searched)) < 0:
            if len(self._buffer) > MAX_LINE_BYTES:
                raise ValueError(f"a line is over {MAX_LINE_BYTES} bytes")
            searched = max(len(self._buffer) - 1, 0)
            await self._read_chunk()
        with memoryview(self._buffer) as view:
            line = str(view[:end], TEXT_ENCODING)
        del self._buffer[: end + len(END_OF_LINE)]
        return line

    async def _read_chunk(self) -> None:
        if self._received >= READ_CHUNK_BYTES:
            await self._make_room()
        chunk = await self._stream.read_bytes(READ_CHUNK_BYTES, partial=True)
        self._received += len(chunk)
        self._buffer += chunk

    async def _make_room(self) -> None:
        """Waits until a large answer may go on arriving."""
        if not self._admitted:
            self._admitted = True
            await self._gate.enter(self, ANSWER_COPIES * MAX_LINE_BYTES)
        elif self._received > MAX_LINE_BYTES and not self._gate.extend(
            self, ANSWER_COPIES * self._received
        ):
            log_event(Event.ANSWER_TOO_LARGE, received=self._received)
            raise ValueError(f"no room for an answer over {self._received} bytes")
