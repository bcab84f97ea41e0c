"""A caller's connection over the line protocol."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream, StreamClosedError

from wigeonpoint.connection.session import CallerDisconnected, CallerMessage, MalformedMessage
from wigeonpoint.events import Event, log_event
from wigeonpoint.platform._line_protocol import (
    END_OF_LINE,
    MAX_LINE_BYTES,
    TEXT_ENCODING,
    encode_ready,
    encode_reply,
    parse_caller_message,
)
from wigeonpoint.process.gateway import CallerUsage
from wigeonpoint.process.policy import ConnectionUse
from wigeonpoint.request.session import Reply, TransactionState

# A message over MAX_LINE_BYTES is answered with an error; one over this limit ends the connection.
MAX_READ_BYTES = 4 * MAX_LINE_BYTES
READ_CHUNK_BYTES = 16 * 1024
READS_IN_TURN = 8  # of bytes that have arrived already, before other connections get their turn
# Copies of a message while a statement runs: the line, its parts, and what is sent to a member.
MESSAGE_COPIES = 5
REPLY_COPIES = 2  # the rows and the encoded reply


class LineCallerConnection:
    """A caller's connection over the line protocol.

    It reads a message in chunks and reads no further than the chunk that has the message's end. A
    message that does not fit into one chunk waits until the process has room for it.

    Args:
        stream: The connection.
        usage: What all callers use of the process.
    """

    def __init__(self, stream: IOStream, usage: CallerUsage) -> None:
        self._stream = stream
        self._usage = usage
        self._reading: asyncio.Future[bytes] | None = None
        self._writing: asyncio.Future[None] | None = None
        self._buffer = bytearray()  # bytes that have been read and not been returned
        self._receiving = True  # its first message is awaited from the start
        self._reads_without_wait = 0
        self._admitted = False
        self._state: TransactionState | None = None  # None until the session is open
        self.waiting_since = asyncio.get_running_loop().time()

    @property
    def message_arrived(self) -> bool:
        """Whether a message has arrived that `receive` has not returned yet."""
        if self._reading is not None and self._reading.done():
            return True
        return END_OF_LINE in self._buffer

    @property
    def use(self) -> ConnectionUse:
        """What the connection is used for."""
        if not self._receiving or self.message_arrived:
            return ConnectionUse.WORKING
        if self._state is None:
            return ConnectionUse.UNOPENED
        if self._buffer:
            return ConnectionUse.RECEIVING
        if self._state is not TransactionState.IDLE:
            return ConnectionUse.IN_TRANSACTION
        return ConnectionUse.IDLE

    async def receive(self) -> CallerMessage:
        """Waits for the caller's next message.

        Raises:
            CallerDisconnected: The connection ended, or a message was too long to be read.
        """
        self._leave_gate()
        self.waiting_since = asyncio.get_running_loop().time()
        self._receiving = True
        try:
            line = await self._read_line() if self._buffer else await self._read_small_line()
        except StreamClosedError as error:
            raise CallerDisconnected from error
        finally:
            self._receiving = False
            self._reading = None
        if line is None:
            return MalformedMessage(f"message over {MAX_LINE_BYTES} bytes", too_large=True)
        return parse_caller_message(line)

    async def accept(self) -> None:
        """Tells the caller that its session is open."""
        self._state = TransactionState.IDLE
        await self._write(encode_ready(TransactionState.IDLE))

    async def reply(self, reply: Reply, state: TransactionState) -> None:
        """Sends the reply to a statement, followed by the READY line."""
        self._state = state
        await self._write(encode_reply(reply) + encode_ready(state))

    async def reject(self, reply: Reply) -> None:
        """Sends a refusal without a READY line; the session ends with it."""
        await self._write(encode_reply(reply))

    def close(self) -> None:
        """Closes the connection."""
        self._leave_gate()
        self._stream.close()
        self._buffer = bytearray()  # errors with tracebacks may keep this object for a while

    async def _read_small_line(self) -> str | None:
        """Reads a message that most often arrives in one piece, alone; None if it is too long."""
        chunk = await self._read_chunk()
        end = chunk.find(END_OF_LINE)
        if end >= 0 and end + len(END_OF_LINE) == len(chunk):
            return str(chunk[:end], TEXT_ENCODING)
        self._buffer += chunk
        return await self._read_line()

    async def _read_line(self) -> str | None:
        """Reads a message and returns it without its line ending; None if it is too long."""
        end = self._buffer.find(END_OF_LINE)
        if end >= 0:
            await self._let_others_run()
            return self._take_line(end)
        timer: asyncio.TimerHandle | None = None
        try:
            while True:
                if self._buffer and timer is None:
                    timer = self._start_message_timer()
                if len(self._buffer) >= READ_CHUNK_BYTES and not self._admitted:
                    await self._enter_gate()
                searched = max(len(self._buffer) - 1, 0)
                self._buffer += await self._read_chunk()
                end = self._buffer.find(END_OF_LINE, searched)
                if end >= 0:
                    return self._take_line(end)
                if len(self._buffer) > MAX_LINE_BYTES:
                    await self._discard_line()
                    return None
        finally:
            if timer is not None:
                timer.cancel()

    def _take_line(self, end: int) -> str | None:
        """Removes the first line, whose text ends at `end`, from the buffer."""
        length = end + len(END_OF_LINE)
        if self._admitted:
            self._usage.gate.note_whole(self, MESSAGE_COPIES * length)
        with memoryview(self._buffer) as view:
            line = str(view[:end], TEXT_ENCODING) if length <= MAX_LINE_BYTES else None
        del self._buffer[:length]
        return line

    async def _discard_line(self) -> None:
        """Reads the rest of a message that is too long, without keeping it.

        Raises:
            StreamClosedError: The connection ended, or the message is too long to be read.
        """
        discarded = 0
        while (end := self._buffer.find(END_OF_LINE)) < 0:
            discarded += len(self._buffer) - 1
            if discarded > MAX_READ_BYTES:
                self.close()
                raise StreamClosedError
            # The last byte may be the first one of the line ending.
            self._buffer = self._buffer[-1:]
            self._leave_gate()
            self._buffer += await self._read_chunk()
        del self._buffer[: end + len(END_OF_LINE)]

    async def _read_chunk(self) -> bytes:
        self._reading = self._start_reading()
        if self._reading.done():
            await self._let_others_run()
        chunk = await self._reading
        self._reading = None
        return chunk

    async def _let_others_run(self) -> None:
        """Passes the event loop on now and then, as reading what has arrived does not wait."""
        self._reads_without_wait += 1
        if self._reads_without_wait % READS_IN_TURN == 0:
            await asyncio.sleep(0)

    def _start_reading(self) -> asyncio.Future[bytes]:
        return asyncio.ensure_future(self._stream.read_bytes(READ_CHUNK_BYTES, partial=True))

    async def _enter_gate(self) -> None:
        self._admitted = True
        await self._usage.gate.enter(self, MESSAGE_COPIES * MAX_LINE_BYTES)

    def _leave_gate(self) -> None:
        if self._admitted:
            self._admitted = False
            self._usage.gate.leave(self)

    def _start_message_timer(self) -> asyncio.TimerHandle:
        delay_s = self._usage.limits.message_s
        return asyncio.get_running_loop().call_later(delay_s, self._end_late_message)

    def _end_late_message(self) -> None:
        self._usage.late_messages += 1
        log_event(Event.MESSAGE_LATE, limit_s=self._usage.limits.message_s)
        self.close()

    async def _write(self, data: bytes) -> None:
        count = REPLY_COPIES * len(data)
        try:
            self._writing = self._stream.write(data)
            del data
            if self._writing.done():  # all bytes are with the kernel
                await self._writing
            else:
                await self._wait_until_taken(count)
        except StreamClosedError as error:
            raise CallerDisconnected from error
        finally:
            # Its error refers to the frames that waited; a variable there would close a cycle that
            # keeps the reply until the next garbage collection.
            self._writing = None

    async def _wait_until_taken(self, count: int) -> None:
        """Waits until the caller has taken a reply, for a limited time."""
        if self._writing is None:
            return
        delay_s = self._usage.limits.reply_s
        timer = asyncio.get_running_loop().call_later(delay_s, self._end_late_reply)
        self._usage.outbox.hold(self, count)
        try:
            await self._writing
        finally:
            timer.cancel()
            self._usage.outbox.release(self)

    def _end_late_reply(self) -> None:
        self._usage.late_replies += 1
        log_event(Event.UNREAD_REPLY_DROPPED, reason="time", held=self._usage.outbox.held)
        self.close()
