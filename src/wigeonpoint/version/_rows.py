"""Validation of the rows that operators maintain in the tables `routes` and `pools`."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from wigeonpoint.errors import ResultCode
from wigeonpoint.request import Rank
from wigeonpoint.version._configuration import (
    DEFAULT_OBJECTIVE,
    DEFAULT_SHARES,
    DEFAULT_TARGETS,
    Durability,
    Pool,
    RankTarget,
    Route,
)

ROUTES = "routes"
POOLS = "pools"
MAX_NAME_LENGTH = 200

RowValue = dict[str, Any]
RowValues = dict[str, RowValue]


@dataclass(frozen=True, slots=True)
class RowProblem:
    """Why a row of a proposed state is refused.

    Attributes:
        code: Result code of the refusal.
        table: `routes` or `pools`.
        key: Name of the row.
        message: A sentence that names the row and the invalid field or name.
    """

    code: ResultCode
    table: str
    key: str
    message: str


class _Row(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class TargetFields(_Row):
    """Latency target of a rank, as a route row states it."""

    target_ms: int = Field(gt=0)
    worth: float = Field(ge=0, allow_inf_nan=False)


class RouteRow(_Row):
    """Fields of a row of the routes table; the key is the route's name."""

    pool: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    rank: Rank = Rank.STANDARD
    targets: dict[Rank, TargetFields] = Field(default_factory=dict)
    objective: float = Field(default=DEFAULT_OBJECTIVE, gt=0, lt=1)

    def route(self, name: str) -> Route:
        """The route; ranks without a target get the default one."""
        stated = {
            rank: RankTarget(target.target_ms, target.worth)
            for rank, target in self.targets.items()
        }
        targets = MappingProxyType({**DEFAULT_TARGETS, **stated}) if stated else DEFAULT_TARGETS
        return Route(name, self.pool, self.rank, targets, self.objective)


class PoolRow(_Row):
    """Fields of a row of the pools table; the key is the pool's name."""

    group: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    durability: Durability = Durability.MAJORITY
    slots: int | None = Field(default=None, gt=0)
    connections: int | None = Field(default=None, gt=0)
    shares: dict[Rank, float] = Field(default_factory=dict)

    @field_validator("shares")
    @classmethod
    def _check_shares(cls, shares: dict[Rank, float]) -> dict[Rank, float]:
        if Rank.URGENT in shares:
            raise ValueError("urgent is served first and has no share")
        if any(not 0 <= share < 1 for share in shares.values()):
            raise ValueError("a share must be at least 0 and below 1")
        if sum({**DEFAULT_SHARES, **shares}.values()) >= 1:
            raise ValueError("the shares must sum to less than 1")
        return shares

    def pool(self, name: str) -> Pool:
        """The pool; ranks without a share get the default one."""
        stated = self.shares
        shares = MappingProxyType({**DEFAULT_SHARES, **stated}) if stated else DEFAULT_SHARES
        return Pool(name, self.group, self.durability, self.slots, self.connections, shares)


def parse_route(name: str, value: RowValue) -> Route | RowProblem:
    """Validates a row of the routes table."""
    try:
        _check_name(name)
        return RouteRow.model_validate(value).route(name)
    except ValueError as error:
        return _problem(ROUTES, name, error)


def parse_pool(name: str, value: RowValue) -> Pool | RowProblem:
    """Validates a row of the pools table."""
    try:
        _check_name(name)
        return PoolRow.model_validate(value).pool(name)
    except ValueError as error:
        return _problem(POOLS, name, error)


def _check_name(name: str) -> None:
    if not 0 < len(name) <= MAX_NAME_LENGTH or "/" in name or not name.isprintable():
        raise ValueError(
            f"the name must be 1 to {MAX_NAME_LENGTH} printable characters without a slash"
        )


def _problem(table: str, name: str, error: ValueError) -> RowProblem:
    text = str(error)
    if isinstance(error, ValidationError):
        text = "; ".join(
            f"{'.'.join(map(str, detail['loc'])) or 'row'}: {detail['msg']}"
            for detail in error.errors()
        )
    return RowProblem(ResultCode.INVALID_ROW, table, name, f"{table}/{name}: {text}")
