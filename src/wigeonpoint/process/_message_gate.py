"""Makes large messages wait until the process has room for them."""

from __future__ import annotations

import asyncio
from typing import Protocol

from wigeonpoint.events import Event, log_event
from wigeonpoint.process.policy import MessageAdmission

PATIENCE_S = 1.0  # for which an admitted message may arrive while others wait


class Closable(Protocol):
    """A connection that can be closed."""

    def close(self) -> None:
        """Closes the connection."""
        ...


class MessageGate:
    """Admits large messages of connections, within a budget of bytes.

    While a message waits, its connection is not read, so that its sender has to wait too. Once one
    has waited for `PATIENCE_S`, the connection whose message has been arriving for longest is
    closed, if that has also taken so long.

    Args:
        limit: Bytes that admitted messages may hold.

    Attributes:
        waits: Number of messages that had to wait so far.
        closed: Number of connections closed so far because their message took too long to arrive
            while others waited.
    """

    def __init__(self, limit: int) -> None:
        self._admission: MessageAdmission[Closable] = MessageAdmission(limit, patience_s=PATIENCE_S)
        self._waiters: dict[Closable, asyncio.Future[None]] = {}
        self.waits = 0
        self.closed = 0

    @property
    def held(self) -> int:
        """Bytes that the admitted messages hold."""
        return self._admission.held

    async def enter(self, connection: Closable, count: int) -> None:
        """Waits until a message of at most `count` bytes may arrive, or its connection has left.

        Args:
            connection: Its connection; `leave` must be called for it.
            count: Bytes that the message may hold while it arrives.
        """
        loop = asyncio.get_running_loop()
        if self._admission.ask(connection, count, loop.time()):
            return
        self.waits += 1
        admitted = self._waiters[connection] = loop.create_future()
        try:
            while not admitted.done():
                await asyncio.wait({admitted}, timeout=PATIENCE_S)
                if not admitted.done():
                    self._close_overdue()
        finally:
            self._waiters.pop(connection, None)

    def extend(self, connection: Closable, count: int) -> bool:
        """Lets a message that turns out larger hold `count` bytes; returns False without room."""
        return self._admission.extend(connection, count)

    def note_whole(self, connection: Closable, count: int) -> None:
        """Records that a message has arrived, and that it needs `count` bytes from now on."""
        self._admission.note_whole(connection, count)
        self._admit_waiting()

    def leave(self, connection: Closable) -> None:
        """Ends what a connection's message holds, or its wait."""
        self._admission.leave(connection)
        self._end_wait(connection)
        self._admit_waiting()

    def _close_overdue(self) -> None:
        overdue = self._admission.overdue(asyncio.get_running_loop().time())
        if overdue is None:
            return
        self.closed += 1
        log_event(Event.SLOW_MESSAGE_ENDED, waiting=self._admission.waiting)
        self.leave(overdue)
        overdue.close()

    def _admit_waiting(self) -> None:
        if not self._admission.waiting:
            return
        for connection in self._admission.admit_waiting(asyncio.get_running_loop().time()):
            self._end_wait(connection)

    def _end_wait(self, connection: Closable) -> None:
        waiter = self._waiters.get(connection)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
