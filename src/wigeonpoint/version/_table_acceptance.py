"""Acceptance of rows that were edited directly in the tables."""

from __future__ import annotations

from collections.abc import Callable, Collection

from wigeonpoint.errors import ConditionFailed
from wigeonpoint.services import Check, Row
from wigeonpoint.version._configuration_store import ConfigurationStore
from wigeonpoint.version._rows import POOLS, ROUTES, RowProblem, RowValues
from wigeonpoint.version._state import ConfigurationState, build_state, state_problems


class TableAcceptance:
    """Compares the tables with the accepted state and accepts or refuses the difference.

    Args:
        store: Accepted states.
        state: Returns this instance's active state.
        groups: Returns the listed database groups.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        state: Callable[[], ConfigurationState],
        groups: Callable[[], Collection[str]] = tuple,
    ) -> None:
        self._store = store
        self._state = state
        self._groups = groups
        self._problems: list[RowProblem] = []

    @property
    def problems(self) -> list[RowProblem]:
        """Problems of the rows read last; empty when they are accepted."""
        return list(self._problems)

    async def examine(self) -> ConfigurationState | None:
        """Reads the tables once and accepts valid changes.

        Returns:
            The newly accepted state, or None when nothing changed or the rows are refused.

        Raises:
            StoreUnavailable: The table service does not answer.
            ConfigurationRefused: The head or its document is damaged.
        """
        head = await self._store.head()
        accepted = await self._store.state(head, self._state())
        routes, pools = await self._store.rows()
        if accepted is None or not (head.number or routes or pools):
            return None
        route_rows, pool_rows = _values(routes), _values(pools)
        if (route_rows, pool_rows) == (accepted.routes, accepted.pools):
            self._problems = []
            return None
        self._problems = state_problems(
            route_rows, pool_rows, known=accepted, groups=self._groups()
        )
        if self._problems:
            return None
        state = build_state(accepted.number + 1, route_rows, pool_rows, known=accepted)
        # The tables are scanned one after the other. The checks on every row that was read refuse a
        # state that mixes rows from before and after an edit of both tables.
        try:
            await self._store.commit(
                head, state, checks=[*_checks(ROUTES, routes), *_checks(POOLS, pools)]
            )
        except ConditionFailed:
            return None  # the next call reads the newer rows
        return state


def _values(rows: list[Row]) -> RowValues:
    return {row.key: row.value for row in rows}


def _checks(table: str, rows: list[Row]) -> list[Check]:
    return [Check(table, row.key, row.version) for row in rows]
