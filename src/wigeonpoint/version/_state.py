"""Numbered states of the tables `routes` and `pools`: validation, digests and differences."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

import orjson

from wigeonpoint.errors import ConfigurationRefused, ResultCode
from wigeonpoint.version._configuration import Configuration, Pool, Route
from wigeonpoint.version._rows import (
    POOLS,
    ROUTES,
    RowProblem,
    RowValue,
    RowValues,
    parse_pool,
    parse_route,
)

MAX_MESSAGE_PROBLEMS = 5  # an error message lists at most this many problems

ParsedT = TypeVar("ParsedT", Route, Pool)


@dataclass(frozen=True, slots=True)
class StateChange:
    """The rows that differ between a state and a later one, or a whole state.

    Attributes:
        base: Number of the state that the change applies to; 0 for a whole state.
        number: Number of the later state.
        digest: Digest of the later state.
        routes: New values of route rows; None removes the row.
        pools: New values of pool rows; None removes the row.
    """

    base: int
    number: int
    digest: str
    routes: dict[str, RowValue | None] = field(default_factory=dict)
    pools: dict[str, RowValue | None] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """An accepted state: the rows as written and the routes and pools built from them.

    Attributes:
        number: Number of the state; 0 before the first.
        digest: SHA-256 of the rows, which reveals damaged or mixed copies.
        routes: Values of the route rows by name.
        pools: Values of the pool rows by name.
        configuration: Routes and pools with their defaults.
    """

    number: int = 0
    digest: str = ""
    routes: RowValues = field(default_factory=dict)
    pools: RowValues = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)

    @property
    def document(self) -> dict[str, Any]:
        """The whole state as a JSON object."""
        return {
            "number": self.number,
            "digest": self.digest,
            "routes": self.routes,
            "pools": self.pools,
        }

    def rows(self, table: str) -> RowValues:
        """Row values of a table."""
        return self.routes if table == ROUTES else self.pools

    def change_since(self, earlier: ConfigurationState) -> StateChange:
        """The rows that differ from an earlier state."""
        return StateChange(
            earlier.number,
            self.number,
            self.digest,
            _difference(earlier.routes, self.routes),
            _difference(earlier.pools, self.pools),
        )

    def apply(self, change: StateChange) -> ConfigurationState:
        """The state after a change.

        Raises:
            ConfigurationRefused: TABLES_INVALID when the digest does not match, as for a damaged
                copy or a change that applies to another state.
        """
        whole = change.base == 0
        routes = _merge({} if whole else self.routes, change.routes)
        pools = _merge({} if whole else self.pools, change.pools)
        state = build_state(change.number, routes, pools, known=self)
        if state.digest != change.digest:
            raise _damaged(f"the digest of state {change.number} does not match its rows")
        return state


def state_problems(
    routes: RowValues,
    pools: RowValues,
    *,
    known: ConfigurationState | None = None,
    groups: Collection[str] = (),
) -> list[RowProblem]:
    """Finds all problems of a proposed state.

    Args:
        routes: Row values of the routes table.
        pools: Row values of the pools table.
        known: The accepted state; its unchanged rows are not validated again.
        groups: Listed database groups. When given, a new or changed group name must be among
            them. The list lags, so accepted rows are not checked against it.
    """
    _, _, problems = _validate(routes, pools, known or ConfigurationState())
    if groups and known is not None and known.number > 0:
        problems += _unknown_groups(pools, known, groups)
    return problems


def build_state(
    number: int, routes: RowValues, pools: RowValues, *, known: ConfigurationState | None = None
) -> ConfigurationState:
    """Validates the rows of both tables together and builds the state.

    Raises:
        ConfigurationRefused: The code of the problem; the message names the row and the field.
    """
    parsed_routes, parsed_pools, problems = _validate(routes, pools, known or ConfigurationState())
    raise_for_problems(problems)
    configuration = Configuration(number, parsed_routes, parsed_pools)
    return ConfigurationState(number, rows_digest(routes, pools), routes, pools, configuration)


def state_from_document(document: Mapping[str, Any]) -> ConfigurationState:
    """Builds a state from its JSON document.

    Raises:
        ConfigurationRefused: The document is damaged or not valid.
    """
    try:
        change = StateChange(
            0, document["number"], document["digest"], document["routes"], document["pools"]
        )
    except (KeyError, TypeError) as error:
        raise _damaged(f"the document of a state is damaged: {error!r}") from error
    return ConfigurationState().apply(change)


def raise_for_problems(problems: list[RowProblem]) -> None:
    """Raises an error that lists the problems, if there are any.

    Raises:
        ConfigurationRefused: The code of the problem, or TABLES_INVALID for several of them.
    """
    if not problems:
        return
    code = problems[0].code if len(problems) == 1 else ResultCode.TABLES_INVALID
    text = "; ".join(problem.message for problem in problems[:MAX_MESSAGE_PROBLEMS])
    if len(problems) > MAX_MESSAGE_PROBLEMS:
        text += f"; and {len(problems) - MAX_MESSAGE_PROBLEMS} more"
    raise ConfigurationRefused(code, text)


def rows_digest(routes: RowValues, pools: RowValues) -> str:
    """SHA-256 of the rows of both tables, independent of the order of keys."""
    data = orjson.dumps([routes, pools], option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(data).hexdigest()


def _validate(
    routes: RowValues, pools: RowValues, known: ConfigurationState
) -> tuple[dict[str, Route], dict[str, Pool], list[RowProblem]]:
    problems: list[RowProblem] = []
    accepted = known.configuration
    parsed_pools = _parse(pools, known.pools, accepted.pools, parse_pool, problems)
    parsed_routes = _parse(routes, known.routes, accepted.routes, parse_route, problems)
    for route in parsed_routes.values():
        if route.pool not in pools:
            problems.append(_missing_pool(route, accepted))
    return parsed_routes, parsed_pools, problems


def _parse(
    rows: RowValues,
    known_rows: RowValues,
    known: Mapping[str, ParsedT],
    parse: Callable[[str, RowValue], ParsedT | RowProblem],
    problems: list[RowProblem],
) -> dict[str, ParsedT]:
    parsed: dict[str, ParsedT] = {}
    for name, value in rows.items():
        if known_rows.get(name) == value:
            parsed[name] = known[name]
            continue
        result = parse(name, value)
        if isinstance(result, RowProblem):
            problems.append(result)
        else:
            parsed[name] = result
    return parsed


def _missing_pool(route: Route, accepted: Configuration) -> RowProblem:
    before = accepted.routes.get(route.name)
    if before is not None and before.pool == route.pool:
        return RowProblem(
            ResultCode.POOL_IN_USE,
            POOLS,
            route.pool,
            f"pools/{route.pool} cannot be removed or renamed: routes/{route.name} names it",
        )
    return RowProblem(
        ResultCode.UNKNOWN_POOL,
        ROUTES,
        route.name,
        f"routes/{route.name}: there is no pool {route.pool!r}",
    )


def _unknown_groups(
    pools: RowValues, known: ConfigurationState, groups: Collection[str]
) -> list[RowProblem]:
    problems = []
    for name, value in pools.items():
        group = value.get("group")
        accepted = known.pools.get(name, {}).get("group")
        if isinstance(group, str) and group != accepted and group not in groups:
            message = f"pools/{name}: no backend server of group {group!r} is listed"
            problems.append(RowProblem(ResultCode.UNKNOWN_GROUP, POOLS, name, message))
    return problems


def _difference(before: RowValues, after: RowValues) -> dict[str, RowValue | None]:
    changed: dict[str, RowValue | None] = {
        name: value for name, value in after.items() if before.get(name) != value
    }
    changed.update({name: None for name in before if name not in after})
    return changed


def _merge(rows: RowValues, changes: Mapping[str, RowValue | None]) -> RowValues:
    merged = {name: value for name, value in rows.items() if name not in changes}
    merged.update({name: value for name, value in changes.items() if value is not None})
    return merged


def _damaged(message: str) -> ConfigurationRefused:
    return ConfigurationRefused(ResultCode.TABLES_INVALID, message)
