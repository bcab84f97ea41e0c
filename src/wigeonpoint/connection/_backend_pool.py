"""Pool of statement connections to one backend server, within its connection limit."""

from __future__ import annotations

import asyncio
import random
from collections import deque

from wigeonpoint.backend import Backend, BackendConnection
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.events import Event, log_event

INITIAL_BACKOFF_S = 0.05  # first upper bound of the delay after a refused connection
MAX_BACKOFF_S = 0.5
IDLE_LIFETIME_S = 30.0
TRIM_INTERVAL_S = 10.0
PREWARM_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.001
PINNED_SHARE = 0.75  # transactions leave the other connections to single statements


class BackendPool:
    """Connection pool of one backend server; a connection serves one user at a time.

    Args:
        backend: Access to the backend server.
        address: `host:port` of the backend server.
        limit: Maximum number of open connections.
        keep: Number of idle connections that stay open however long they are unused.
    """

    def __init__(self, backend: Backend, address: str, *, limit: int, keep: int = 1) -> None:
        self._backend = backend
        self._address = address
        self._limit = limit
        self._min_idle = keep
        self._idle: deque[tuple[BackendConnection, float]] = deque()  # least recently used first
        self._open = 0
        self._pinned: set[BackendConnection] = set()
        self._pinning = 0
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._keeps_idle = True
        self._prewarming: set[asyncio.Task[None]] = set()
        self._trim_timer: asyncio.TimerHandle | None = None
        self._opened = 0
        self._refused = 0
        self._opening_s = 0.0

    @property
    def open(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open

    @property
    def held(self) -> int:
        """Number of connections that are in use or being opened."""
        return self._open - len(self._idle)

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    @property
    def refused(self) -> int:
        """Number of connections that the server refused so far."""
        return self._refused

    @property
    def opening_s(self) -> float:
        """Seconds spent opening connections so far."""
        return self._opening_s

    @property
    def pinned(self) -> int:
        """Number of connections that transactions hold or wait for."""
        return len(self._pinned) + self._pinning

    async def acquire(self, *, deadline: float) -> BackendConnection:
        """Takes an idle connection or opens one; a refused connection is retried with backoff.

        Args:
            deadline: Event-loop time, in seconds, until which to wait for a connection.

        Raises:
            NotRun: CONNECTION_LIMIT or BACKEND_UNREACHABLE.
        """
        loop = asyncio.get_running_loop()
        backoff = INITIAL_BACKOFF_S
        while True:
            connection = self._take_idle()
            if connection is not None:
                return connection
            if self._open >= self._limit:
                await self._wait(deadline - loop.time())
                continue
            try:
                return await self._connect(deadline - loop.time())
            except NotRun as error:
                # After a change of owner, other instances may still hold connections for a while.
                if error.code != ResultCode.CONNECTION_LIMIT or loop.time() >= deadline:
                    raise
            await self._wait_after_refusal(random.uniform(backoff / 2, backoff), deadline)
            backoff = min(backoff * 2, MAX_BACKOFF_S)

    async def acquire_pinned(self, *, deadline: float) -> BackendConnection:
        """Takes a connection for a transaction, which holds it until `release`.

        Raises:
            NotRun: CONNECTION_LIMIT at once when transactions hold their share of the connections;
                otherwise as `acquire`.
        """
        if self.pinned >= max(int(self._limit * PINNED_SHARE), 1):
            raise self._limit_error("transactions hold their share of the connections")
        self._pinning += 1
        try:
            connection = await self.acquire(deadline=deadline)
        finally:
            self._pinning -= 1
        self._pinned.add(connection)
        return connection

    def prewarm(self, wanted: int) -> None:
        """Opens connections in the background until `wanted` are open outside transactions."""
        if not self._keeps_idle:
            return
        missing = min(wanted - (self._open - self.pinned), self._limit - self._open)
        for _ in range(missing - len(self._prewarming)):
            task = asyncio.create_task(self._prewarm_one())
            self._prewarming.add(task)
            task.add_done_callback(self._prewarming.discard)

    def release(self, connection: BackendConnection) -> None:
        """Returns a connection to the pool; a closed one is dropped."""
        self._pinned.discard(connection)
        if not self._keeps_idle:
            connection.close()
        if connection.closed:
            self._open -= 1
        else:
            self._idle.append((connection, asyncio.get_running_loop().time()))
            self._schedule_trim()
        self._wake()

    def discard(self, connection: BackendConnection) -> None:
        """Closes a connection and removes it from the pool."""
        connection.close()
        self.release(connection)

    def close_idle(self) -> None:
        """Closes the idle connections and stops prewarming."""
        while self._idle:
            self._drop_oldest()
        for task in self._prewarming:
            task.cancel()
        if self._trim_timer is not None:
            self._trim_timer.cancel()
            self._trim_timer = None

    def keep_idle(self, keep: bool) -> None:
        """Sets whether connections stay open between uses; False also closes the idle ones."""
        self._keeps_idle = keep
        if not keep:
            self.close_idle()

    def _take_idle(self) -> BackendConnection | None:
        while self._idle:
            connection, _ = self._idle.pop()
            if not connection.closed:
                return connection
            self._open -= 1
        return None

    async def _connect(self, timeout: float) -> BackendConnection:
        loop = asyncio.get_running_loop()
        self._open += 1
        started = loop.time()
        try:
            connection = await self._backend.connect(
                self._address, timeout=max(timeout, MIN_TIMEOUT_S)
            )
        except BaseException as error:
            self._open -= 1
            if isinstance(error, NotRun) and error.code == ResultCode.CONNECTION_LIMIT:
                self._refused += 1
                log_event(Event.CONNECTION_REFUSED, address=self._address, open=self._open)
            self._wake()
            raise
        finally:
            self._opening_s += loop.time() - started
        self._opened += 1
        return connection

    async def _prewarm_one(self) -> None:
        if self._open >= self._limit:
            return
        try:
            self.release(await self._connect(PREWARM_TIMEOUT_S))
        except NotRun:
            return  # a request that needs a connection opens one itself and reports the failure

    async def _wait_after_refusal(self, backoff: float, deadline: float) -> None:
        remaining = deadline - asyncio.get_running_loop().time()
        try:
            await self._wait(min(backoff, remaining))
        except NotRun:
            if backoff >= remaining:
                raise

    async def _wait(self, timeout: float) -> None:
        freed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(freed)
        try:
            await asyncio.wait_for(freed, max(timeout, MIN_TIMEOUT_S))
        except TimeoutError as error:
            raise self._limit_error("all connections are in use") from error
        except asyncio.CancelledError:
            if freed.done() and not freed.cancelled():
                self._wake()  # passes the wake-up on to the next waiter
            raise
        finally:
            if freed in self._waiters:
                self._waiters.remove(freed)

    def _wake(self) -> None:
        while self._waiters:
            freed = self._waiters.popleft()
            if not freed.done():
                freed.set_result(None)
                return

    def _limit_error(self, reason: str) -> NotRun:
        return NotRun(
            ResultCode.CONNECTION_LIMIT,
            f"{reason}: {self._address} has a limit of {self._limit}",
            retry_after_ms=int(INITIAL_BACKOFF_S * 1000),
        )

    def _schedule_trim(self) -> None:
        if self._trim_timer is None and len(self._idle) > self._min_idle:
            loop = asyncio.get_running_loop()
            self._trim_timer = loop.call_later(TRIM_INTERVAL_S, self._trim)

    def _trim(self) -> None:
        self._trim_timer = None
        cutoff = asyncio.get_running_loop().time() - IDLE_LIFETIME_S
        while len(self._idle) > self._min_idle and self._idle[0][1] <= cutoff:
            self._drop_oldest()
        self._schedule_trim()

    def _drop_oldest(self) -> None:
        connection, _ = self._idle.popleft()
        connection.close()
        self._open -= 1
