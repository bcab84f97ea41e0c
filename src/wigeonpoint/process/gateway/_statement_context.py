"""A statement with its session, route, group and deadline."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection.session import CallerSession, SessionSnapshot
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.request import Rank
from wigeonpoint.request.session import SessionStatement
from wigeonpoint.version.catalogue import Customer, DatabaseRoute, less_urgent

INITIAL_RETRY_PAUSE_S = 0.005  # before the first retry; doubled before each further one


@dataclass(frozen=True, slots=True)
class StatementContext:
    """A statement with its session, route, group and deadline.

    Attributes:
        session: The caller's session, for what the statement changes.
        snapshot: What the statement needs of the session.
        route: The route that it runs under.
        group: The route's database group.
        statement: The statement.
        deadline: Event-loop time, in seconds, until which the caller waits for its answer.
        customer: The customer on whose behalf it runs, None if the caller has none.
    """

    session: CallerSession
    snapshot: SessionSnapshot
    route: DatabaseRoute
    group: Group
    statement: SessionStatement
    deadline: float
    customer: Customer | None = None

    @property
    def customer_name(self) -> str:
        """Name of the customer, empty if the caller has none."""
        return self.customer.name if self.customer is not None else ""

    @property
    def rank(self) -> Rank:
        """Urgency: that of the route, unless the customer's own one is less urgent."""
        if self.customer is None or self.customer.rank is None:
            return self.route.rank
        return less_urgent(self.route.rank, self.customer.rank)

    @property
    def queue_key(self) -> str:
        """Key for fair queueing within the rank: the customer, or the route without one."""
        return self.customer_name or self.route.name

    @property
    def patience_s(self) -> float:
        """Seconds beyond which it is not worth waiting for a connection."""
        return self.route.target_s or self.route.timeout_s

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    @property
    def committed(self) -> LogPosition | None:
        """Position of the session's last commit in the group, or None."""
        return self.snapshot.committed

    def note_commit(self, position: LogPosition | None) -> None:
        """Records the position of a commit of the session."""
        if position is not None:
            self.session.committed[self.group.name] = position
