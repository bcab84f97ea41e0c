"""Graceful shutdown: counts requests in progress and waits until they have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any
from weakref import WeakSet

from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.events import Event, log_event

QUIET_PERIOD_S = 2.0  # without a caller's request, after which new ones are refused
CHECK_INTERVAL_S = 0.05


class Drain:
    """Requests in progress at this instance, and the steps of its graceful shutdown."""

    def __init__(self) -> None:
        self._draining = False
        self._refusing = False
        self._running = 0
        self._peer_running = 0
        self._last_arrival = 0.0
        # Requests whose headers have arrived; weak, so that one is removed with its connection.
        self._arriving: WeakSet[Any] = WeakSet()

    @property
    def draining(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._draining

    @property
    def running(self) -> int:
        """Requests of callers and peers in progress."""
        return self._running + self._peer_running + len(self._arriving)

    def note_arrival(self, request: Any) -> None:
        """Counts a caller's request from its headers until `request_scope` counts it."""
        self._last_arrival = asyncio.get_running_loop().time()
        self._arriving.add(request)

    def forget_arrival(self, request: Any) -> None:
        """Stops counting a request that was answered without reaching `request_scope`."""
        self._arriving.discard(request)

    @contextmanager
    def request_scope(self, request: Any) -> Iterator[None]:
        """Counts a caller's request until its answer has been sent."""
        self._arriving.discard(request)
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1

    @contextmanager
    def peer_scope(self) -> Iterator[None]:
        """Counts a request of another instance until its answer has been sent."""
        self._peer_running += 1
        try:
            yield
        finally:
            self._peer_running -= 1

    def require_accepting(self) -> None:
        """Refuses new requests of callers once the load balancer had time to stop sending them.

        Raises:
            NotRun: INSTANCE_STOPPING.
        """
        if self._refusing:
            raise NotRun(
                ResultCode.INSTANCE_STOPPING,
                "this instance is stopping; send the request to another one",
                retry_after_ms=0,
            )

    async def run(
        self,
        *,
        announce: Callable[[], Awaitable[None]],
        open_transactions: Callable[[], int],
        drain_seconds: float,
        finish_seconds: float,
    ) -> None:
        """Runs the shutdown until closing would interrupt no request or transaction.

        Args:
            announce: Informs the peers that this instance is leaving.
            open_transactions: Returns the number of transactions that are open here.
            drain_seconds: Longest wait for callers' requests to stop arriving.
            finish_seconds: Longest wait for requests and transactions; must exceed the deadlines
                and the idle timeout that end them.
        """
        loop = asyncio.get_running_loop()
        self._draining = True
        started = loop.time()
        announcement = asyncio.ensure_future(announce())
        await self._wait_until_quiet(started, drain_seconds)
        await announcement
        self._refusing = True
        end = loop.time() + finish_seconds
        while loop.time() < end:
            if not self.running and not open_transactions():
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        log_event(
            Event.DRAIN_FINISHED,
            seconds=round(loop.time() - started, 1),
            running=self.running,
            open_transactions=open_transactions(),
        )

    async def _wait_until_quiet(self, started: float, limit: float) -> None:
        """Waits until no caller's request arrived for a quiet period, at most `limit` seconds."""
        loop = asyncio.get_running_loop()
        while True:
            quiet_at = max(started, self._last_arrival) + QUIET_PERIOD_S
            remaining = min(started + limit, quiet_at) - loop.time()
            if remaining <= 0:
                return
            await asyncio.sleep(remaining)
