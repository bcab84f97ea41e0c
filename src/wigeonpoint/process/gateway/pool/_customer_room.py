"""Divides the connections to one member among the customers that they name."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonpoint.connection.session import PooledConnection
from wigeonpoint.process._schedule import QueueEntry
from wigeonpoint.process.gateway.pool._attempts import ConnectionAttempts
from wigeonpoint.process.gateway.pool._connection_quota import ConnectionQuota
from wigeonpoint.process.gateway.pool._connection_set import ConnectionSet
from wigeonpoint.process.gateway.pool._demand import CustomerDemand
from wigeonpoint.process.gateway.pool._room import choose_victim, displaces, use_limit
from wigeonpoint.process.gateway.pool._waiting import WaitingRequests


class CustomerRoom:
    """Decides which customers get connections, and which ones give theirs up.

    Args:
        connections: The open connections.
        attempts: The running attempts to connect.
        waiting: The waiting requests.
        quota: How many connections may be held.
        names_customers: Tells whether connections name customers to the member.
    """

    def __init__(
        self,
        connections: ConnectionSet,
        attempts: ConnectionAttempts,
        waiting: WaitingRequests,
        quota: ConnectionQuota,
        names_customers: Callable[[], bool],
    ) -> None:
        self._connections = connections
        self._attempts = attempts
        self._waiting = waiting
        self._quota = quota
        self._names_customers = names_customers
        self._demand = CustomerDemand()
        self.displaced = 0  # connections closed to make room for another customer

    @property
    def names_customers(self) -> bool:
        """Whether connections name customers to the member, or that they serve none."""
        return self._names_customers()

    def note_request(self, customer: str) -> None:
        """Records that a customer needs a connection, or a caller without one."""
        if self.names_customers:
            self._demand.note(customer, asyncio.get_running_loop().time())

    def may_use(self, customer: str) -> bool:
        """Whether a customer may use another connection beside those that it uses."""
        return self._connections.used_by(customer) < self._use_limit

    def has_connection(self, entry: QueueEntry) -> bool:
        """Whether an idle connection may be granted to a waiting request."""
        return bool(self._connections.idle_for(entry.customer)) and self.may_use(entry.customer)

    def lacks_connection(self, entry: QueueEntry) -> bool:
        """Whether another connection must be opened for the customer of a waiting request."""
        customer = entry.customer
        coming = self._connections.idle_for(customer) + self._attempts.running_for(customer)
        if self._waiting.waiting_for(customer) <= coming:
            return False
        return self._connections.used_by(customer) + coming < self._use_limit

    def expected_customers(self, connections: int) -> list[str]:
        """Customers for which to open connections ahead of demand.

        Args:
            connections: Number of connections to open at most.
        """
        if not self.names_customers:
            return [""] * connections
        open_for = self._connections.customers()
        missing = [
            customer
            for customer in self._demand.busiest(asyncio.get_running_loop().time())
            if customer not in open_for and not self._attempts.running_for(customer)
        ]
        return missing[:connections]

    def close_victim(self) -> bool:
        """Closes the idle connection that is least likely to be needed soon, if there is one."""
        now = asyncio.get_running_loop().time()
        victim = choose_victim(
            self._connections.idle_customers(),
            [customer for customer in self._waiting.customers if self.may_use(customer)],
            lambda customer: self._demand.recent(customer, now),
        )
        if victim is None:
            return False
        self._connections.close_longest_idle(victim)
        self.displaced += 1
        return True

    def displace(self, connection: PooledConnection) -> None:
        """Closes a connection that became idle if a request of another customer precedes its own.

        To be called while no further connection may be opened.
        """
        customer = connection.customer
        if customer is None or not self._waiting.waiting_for(customer):
            return  # it serves any customer, or may be closed when room is needed
        entry = self._waiting.first(self.lacks_connection)
        rival = self._waiting.first(lambda one: one.customer == customer)
        if entry is None or rival is None or entry.customer == customer:
            return
        active = self._connections.customers() | set(self._waiting.customers)
        held = self._connections.used_by(customer) + self._connections.idle_for(customer)
        if displaces(entry, rival, over_share=held * len(active) > len(self._connections)):
            self._connections.close_longest_idle(customer)
            self.displaced += 1

    @property
    def _use_limit(self) -> float:
        """Connections that one customer may use at a time, unbounded if they name none."""
        if not self.names_customers:
            return float("inf")
        return use_limit(self._quota.current_limit(waiting=True))
