"""Totals over all backend servers that an instance owns or used to own."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wigeonpoint.process._owner import OwnedServer
from wigeonpoint.request import Rank


@dataclass(frozen=True, slots=True)
class OwnerCounters:
    """Totals of queues and connections.

    Attributes:
        dispatched: Granted slots by rank.
        refused: Refused requests by rank.
        connections_opened: Opened connections.
        connections_held: Connections in use now.
        connections_refused: Connections that backend servers refused.
        opening_s: Seconds spent opening connections.
    """

    dispatched: Mapping[Rank, int] = field(default_factory=lambda: dict.fromkeys(Rank, 0))
    refused: Mapping[Rank, int] = field(default_factory=lambda: dict.fromkeys(Rank, 0))
    connections_opened: int = 0
    connections_held: int = 0
    connections_refused: int = 0
    opening_s: float = 0.0

    def plus(self, servers: Iterable[OwnedServer]) -> OwnerCounters:
        """Returns the totals with those of further servers added."""
        owned = list(servers)
        queues = [server.queue for server in owned]
        pools = [server.pool for server in owned]
        return OwnerCounters(
            {
                rank: n + sum(q.dispatched[rank] for q in queues)
                for rank, n in self.dispatched.items()
            },
            {rank: n + sum(q.refused[rank] for q in queues) for rank, n in self.refused.items()},
            self.connections_opened + sum(pool.opened for pool in pools),
            self.connections_held + sum(pool.held for pool in pools),
            self.connections_refused + sum(pool.refused for pool in pools),
            self.opening_s + sum(pool.opening_s for pool in pools),
        )
