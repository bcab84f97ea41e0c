"""The open connections to one member: idle ones, and those in use."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from wigeonpoint.connection.session import MemberConnection, PooledConnection

SPARE_IDLE_S = 0.5  # idle connections above the regular limit are closed after this


class ConnectionSet:
    """Open connections to one member.

    A connection that names a customer to the member serves that customer only.

    Args:
        superseded: Tells whether an idle connection should be closed because it would be opened in
            another way now.
    """

    def __init__(self, superseded: Callable[[MemberConnection], bool]) -> None:
        self._superseded = superseded
        # By customer, under None those that serve any; the longest idle first, and no empty ones.
        self._idle: dict[str | None, deque[PooledConnection]] = {}
        self._idle_count = 0
        self._in_use: dict[PooledConnection, str] = {}  # with the customer that each one serves
        self._use_count: Counter[str] = Counter()

    def __len__(self) -> int:
        """Number of open connections."""
        return self._idle_count + len(self._in_use)

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return self._idle_count

    @property
    def in_use(self) -> int:
        """Number of connections granted to statements or transactions."""
        return len(self._in_use)

    def idle_for(self, customer: str) -> int:
        """Number of idle connections that may serve a customer."""
        return len(self._idle.get(customer, ())) + len(self._idle.get(None, ()))

    def used_by(self, customer: str) -> int:
        """Number of connections in use for a customer."""
        return self._use_count[customer]

    def add(self, connection: PooledConnection) -> None:
        """Adds a connection that is idle from now on."""
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(connection.customer, deque()).append(connection)
        self._idle_count += 1

    def take(self, session: int | None, customer: str) -> PooledConnection | None:
        """Marks an idle connection as in use.

        Args:
            session: Session number; a connection that last served this session is preferred.
            customer: Customer that it serves, empty for none.

        Returns:
            The connection, None if no idle one may serve the customer.
        """
        while (connection := self._pop_preferred(session, customer)) is not None:
            if connection.closed:
                connection.close()
                continue
            connection.resting = False
            # While the connection is in use, this is the time at which it was granted.
            connection.idle_since = asyncio.get_running_loop().time()
            self._in_use[connection] = customer
            self._use_count[customer] += 1
            return connection
        return None

    def put_back(self, connection: PooledConnection) -> bool:
        """Ends the use of a connection; closes it if it is lost or still in a transaction.

        Returns:
            Whether it is idle now.
        """
        customer = self._in_use.pop(connection)
        self._use_count[customer] -= 1
        if not self._use_count[customer]:
            del self._use_count[customer]
        if connection.closed or not connection.idle:
            connection.close()
            return False
        self.add(connection)
        return True

    @property
    def running(self) -> int:
        """Number of connections in use that do not wait for the next statement of a transaction."""
        return sum(not connection.resting for connection in self._in_use)

    def uses(self, connection: PooledConnection) -> bool:
        """Whether a connection is in use."""
        return connection in self._in_use

    def waiting_longer_than(self, seconds: float) -> list[PooledConnection]:
        """Connections whose statement has been unanswered for longer than this."""
        sent_before = asyncio.get_running_loop().time() - seconds
        return [
            connection
            for connection in self._in_use
            if connection.waiting_since is not None and connection.waiting_since <= sent_before
        ]

    def customers(self) -> set[str]:
        """Customers that have a connection of their own, idle or in use."""
        used = {connection.customer for connection in self._in_use}
        return {name for name in used | self._idle.keys() if name is not None}

    def idle_customers(self) -> dict[str, int]:
        """Numbers of idle connections by the customer that they serve alone."""
        return {name: len(held) for name, held in self._idle.items() if name is not None}

    def close_longest_idle(self, customer: str) -> None:
        """Closes the idle connection of a customer that has been idle for longest."""
        self._close(self._idle[customer][0])

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in self._all_idle():
            self._close(connection)

    def close_superseded(self) -> None:
        """Closes idle connections that would be opened in another way now."""
        for connection in self._all_idle():
            if self._superseded(connection.member_connection):
                self._close(connection)

    def close_spare(self, regular_limit: int) -> None:
        """Closes connections above a limit that have been idle for a while."""
        now = asyncio.get_running_loop().time()
        while len(self) > regular_limit and self._idle:
            longest = min((held[0] for held in self._idle.values()), key=lambda one: one.idle_since)
            if now - longest.idle_since < SPARE_IDLE_S:
                return
            self._close(longest)

    def _all_idle(self) -> list[PooledConnection]:
        return [connection for held in self._idle.values() for connection in held]

    def _close(self, connection: PooledConnection) -> None:
        self._remove_idle(connection)
        connection.close()

    def _remove_idle(self, connection: PooledConnection) -> None:
        held = self._idle[connection.customer]
        if held[-1] is connection:
            held.pop()
        else:
            held.remove(connection)
        if not held:
            del self._idle[connection.customer]
        self._idle_count -= 1

    def _pop_preferred(self, session: int | None, customer: str) -> PooledConnection | None:
        """Takes out the connection of a session if there is one, or that used most recently."""
        held = self._idle.get(customer) or self._idle.get(None)
        if not held:
            return None
        preferred = held[-1]
        if session is not None:
            found = (one for one in reversed(held) if one.last_session == session)
            preferred = next(found, preferred)
        self._remove_idle(preferred)
        return preferred
