"""The requests that wait for a connection to one member."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from wigeonpoint.connection.session import PooledConnection
from wigeonpoint.errors import NotRun
from wigeonpoint.process._schedule import QueueEntry, RankedSchedule
from wigeonpoint.request import Rank

Admits = Callable[[QueueEntry], bool]


class WaitingRequests:
    """Requests in the order of their rank, fair between callers."""

    def __init__(self) -> None:
        self._schedule = RankedSchedule()
        self._count: Counter[str] = Counter()  # by customer
        self._size = 0
        self._granted: dict[asyncio.Future[None], PooledConnection] = {}

    def __len__(self) -> int:
        """Number of waiting requests."""
        return self._size

    @property
    def customers(self) -> list[str]:
        """Customers with waiting requests."""
        return list(self._count)

    def waiting_for(self, customer: str) -> int:
        """Number of a customer's waiting requests."""
        return self._count[customer]

    def waiting_of(self, rank: Rank) -> int:
        """Number of waiting requests of a rank."""
        return self._schedule.waiting(rank)

    def push(self, entry: QueueEntry) -> None:
        """Adds a request."""
        self._schedule.push(entry)
        self._count[entry.customer] += 1
        self._size += 1

    def remove(self, entry: QueueEntry) -> bool:
        """Removes a request; False if it is not waiting."""
        removed = self._schedule.remove(entry)
        if removed:
            self._discount(entry)
        return removed

    def first(self, admits: Admits) -> QueueEntry | None:
        """The next request that a function admits, None if it admits none."""
        return self._schedule.first(admits) if self._size else None

    def grant(self, entry: QueueEntry, connection: PooledConnection) -> None:
        """Grants a connection to the request that `first` has returned."""
        self._schedule.dispatch(entry)
        self._discount(entry)
        self._granted[entry.granted] = connection
        entry.granted.set_result(None)

    def claim(self, entry: QueueEntry) -> PooledConnection | None:
        """The connection that was granted to a request, which takes it over."""
        return self._granted.pop(entry.granted, None)

    def refuse(self, entry: QueueEntry, error: NotRun) -> None:
        """Refuses a request if it is still waiting."""
        if self.remove(entry) and not entry.granted.done():
            entry.granted.set_exception(error)

    def refuse_all(self, error: NotRun) -> None:
        """Refuses all requests."""
        while (entry := self._schedule.pop()) is not None:
            self._discount(entry)
            if not entry.granted.done():
                entry.granted.set_exception(error)

    def work_ahead(self, entry: QueueEntry) -> float:
        """Expected number of grants ahead of a new request."""
        return self._schedule.wait_work(entry.rank, entry.caller, entry.session)

    def _discount(self, entry: QueueEntry) -> None:
        self._size -= 1
        self._count[entry.customer] -= 1
        if not self._count[entry.customer]:
            del self._count[entry.customer]
