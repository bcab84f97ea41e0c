"""Routes, pools and the numbered configuration that holds them by name."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType

from wigeonpoint.errors import InvalidRequest, NotRun, ResultCode
from wigeonpoint.request import Rank


class Durability(StrEnum):
    """Which members must hold a write before it is acknowledged."""

    MAJORITY = "majority"
    PRIMARY = "primary"


@dataclass(frozen=True, slots=True)
class RankTarget:
    """Latency target of a rank on a route, and what meeting it is worth.

    Attributes:
        target_ms: Milliseconds within which an answer counts as good.
        worth: Relative value of one answer within its target.
    """

    target_ms: int
    worth: float


DEFAULT_TARGETS: Mapping[Rank, RankTarget] = MappingProxyType(
    {
        Rank.URGENT: RankTarget(target_ms=100, worth=100.0),
        Rank.STANDARD: RankTarget(target_ms=500, worth=10.0),
        Rank.BULK: RankTarget(target_ms=5000, worth=1.0),
    }
)
DEFAULT_SHARES: Mapping[Rank, float] = MappingProxyType({Rank.STANDARD: 0.10, Rank.BULK: 0.05})
DEFAULT_OBJECTIVE = 0.99


@dataclass(frozen=True, slots=True)
class Route:
    """A row of the routes table.

    Attributes:
        name: Name that callers send.
        pool: Name of the pool that its statements use.
        rank: Rank of requests that name none.
        targets: Latency target of each rank.
        objective: Share of answers that should be within their target.
    """

    name: str
    pool: str
    rank: Rank = Rank.STANDARD
    targets: Mapping[Rank, RankTarget] = field(default_factory=lambda: DEFAULT_TARGETS)
    objective: float = DEFAULT_OBJECTIVE


@dataclass(frozen=True, slots=True)
class Pool:
    """A row of the pools table.

    Attributes:
        name: Name that routes use.
        group: Name of the database group.
        durability: Which members must hold a write before it is acknowledged.
        slots: Statements that a backend server runs at once; None uses the server's own limit.
        connections: Connections to a backend server; None uses the server's own limit.
        shares: Guaranteed share of dispatches for each lower rank that has statements waiting.
    """

    name: str
    group: str
    durability: Durability = Durability.MAJORITY
    slots: int | None = None
    connections: int | None = None
    shares: Mapping[Rank, float] = field(default_factory=lambda: DEFAULT_SHARES)


@dataclass(frozen=True, slots=True)
class Configuration:
    """An accepted state of both tables; a later state has a higher number.

    Attributes:
        number: Number of the state; 0 is the empty state before the first.
        routes: Routes by name.
        pools: Pools by name.
    """

    number: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)

    def resolve(self, route_name: str) -> tuple[Route, Pool]:
        """Finds a route and its pool.

        Raises:
            NotRun: NO_CONFIGURATION before any state has been received.
            InvalidRequest: UNKNOWN_ROUTE.
        """
        if self.number == 0:
            raise NotRun(
                ResultCode.NO_CONFIGURATION, "no accepted configuration is known yet; try again"
            )
        route = self.routes.get(route_name)
        if route is None:
            raise InvalidRequest(ResultCode.UNKNOWN_ROUTE, f"there is no route {route_name!r}")
        return route, self.pools[route.pool]
