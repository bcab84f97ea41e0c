"""Kept statement connections to one backend server, within its limit."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from contextlib import suppress

from wigeonpoint.backend import Backend, BackendConnection
from wigeonpoint.errors import NotRun, ResultCode

REFUSED_PAUSE_S = 0.05
REFUSED_PAUSE_MAX_S = 0.4


class BackendPool:
    """Hands out statement connections; a connection serves one user at a time.

    Args:
        backend: Access to the backend server.
        address: `host:port` of the backend server.
        limit: Connections that may be open at the same time.
    """

    def __init__(self, backend: Backend, address: str, *, limit: int) -> None:
        self._backend = backend
        self._address = address
        self._limit = limit
        self._idle: list[BackendConnection] = []
        self._open = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._keeps_idle = True

    @property
    def open(self) -> int:
        """Connections that are open or being opened."""
        return self._open

    async def acquire(self, *, deadline: float) -> BackendConnection:
        """Takes an idle connection or opens one.

        Args:
            deadline: Event-loop time, in seconds, until which to wait for a connection.

        A connection that the server refuses because of its limit is tried again until the
        deadline: after a change of ownership the former owner still holds connections.

        Raises:
            NotRun: CONNECTION_LIMIT or BACKEND_UNREACHABLE.
        """
        loop = asyncio.get_running_loop()
        pause = REFUSED_PAUSE_S
        while True:
            connection = self._take_idle()
            if connection is not None:
                return connection
            if self._open < self._limit:
                try:
                    return await self._connect(deadline - loop.time())
                except NotRun as error:
                    await self._wait_after_refusal(error, pause, deadline)
                pause = min(2 * pause, REFUSED_PAUSE_MAX_S)
                continue
            await self._wait(deadline - loop.time())

    def release(self, connection: BackendConnection) -> None:
        """Gives a connection back; a closed one is dropped."""
        if not self._keeps_idle:
            connection.close()
        if connection.closed:
            self._open -= 1
        else:
            self._idle.append(connection)
        self._wake()

    def discard(self, connection: BackendConnection) -> None:
        """Closes a connection instead of giving it back."""
        connection.close()
        self.release(connection)

    def close_idle(self) -> None:
        """Closes the connections that nobody uses."""
        for connection in self._idle:
            connection.close()
            self._open -= 1
        self._idle.clear()

    def keep_idle(self, keep: bool) -> None:
        """Sets whether connections stay open between uses; False closes the idle ones."""
        self._keeps_idle = keep
        if not keep:
            self.close_idle()

    def _take_idle(self) -> BackendConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                return connection
            self._open -= 1
        return None

    async def _connect(self, timeout: float) -> BackendConnection:
        self._open += 1
        try:
            return await self._backend.connect(self._address, timeout=max(timeout, 0.001))
        except BaseException:
            self._open -= 1
            self._wake()
            raise

    async def _wait_after_refusal(self, error: NotRun, pause: float, deadline: float) -> None:
        """Waits for a free connection or the pause; raises the error when the deadline is near."""
        jittered = random.uniform(pause / 2, pause)
        loop = asyncio.get_running_loop()
        if error.code is not ResultCode.CONNECTION_LIMIT or loop.time() + jittered >= deadline:
            raise error
        with suppress(NotRun):
            await self._wait(jittered)

    async def _wait(self, timeout: float) -> None:
        freed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(freed)
        try:
            await asyncio.wait_for(freed, max(timeout, 0.001))
        except TimeoutError as error:
            raise NotRun(
                ResultCode.CONNECTION_LIMIT,
                f"all {self._limit} connections to {self._address} are in use",
                retry_after_ms=int(REFUSED_PAUSE_S * 1000),
            ) from error
        except asyncio.CancelledError:
            if freed.done() and not freed.cancelled():
                self._wake()  # passes a wake-up on that this waiter can no longer use
            raise
        finally:
            if freed in self._waiting:
                self._waiting.remove(freed)

    def _wake(self) -> None:
        while self._waiting:
            freed = self._waiting.popleft()
            if not freed.done():
                freed.set_result(None)
                return
