"""Attempts to connect to one member."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any


class ConnectionAttempts:
    """The running attempts to open connections, by the customer that needs them.

    Args:
        connect: Opens a connection for a customer; tells whether to verify the member.
        on_done: Called after each attempt.
    """

    def __init__(
        self, connect: Callable[[str, bool], Coroutine[Any, Any, None]], on_done: Callable[[], None]
    ) -> None:
        self._connect = connect
        self._on_done = on_done
        self._running: dict[asyncio.Task[None], str] = {}
        self._count: Counter[str] = Counter()

    def __len__(self) -> int:
        """Number of running attempts."""
        return len(self._running)

    def running_for(self, customer: str) -> int:
        """Number of running attempts for a customer."""
        return self._count[customer]

    def start(self, customer: str, *, verify: bool) -> None:
        """Starts an attempt.

        Args:
            customer: Customer that the connection serves, empty for none.
            verify: Whether the member must be contacted now.
        """
        task = asyncio.create_task(self._connect(customer, verify))
        self._running[task] = customer
        self._count[customer] += 1
        task.add_done_callback(self._finish)

    async def wait_for_first(self) -> None:
        """Waits until one of the running attempts is over, if there is any."""
        if self._running:
            await asyncio.wait(set(self._running), return_when=asyncio.FIRST_COMPLETED)

    def _finish(self, task: asyncio.Task[None]) -> None:
        customer = self._running.pop(task)
        self._count[customer] -= 1
        if not self._count[customer]:
            del self._count[customer]
        if not task.cancelled():
            task.result()
            self._on_done()
