"""Recent changes of the configuration, from which peers are brought up to date."""

from __future__ import annotations

from collections import deque

from wigeonpoint.version import ConfigurationState, RowValue, StateChange

KEPT_CHANGES = 64


class ConfigurationHistory:
    """Changes that led to the state in force, the oldest first."""

    def __init__(self) -> None:
        self._changes: deque[StateChange] = deque(maxlen=KEPT_CHANGES)

    def add(self, change: StateChange) -> None:
        """Adds the newest change."""
        self._changes.append(change)

    def change_to(self, state: ConfigurationState, since: int) -> StateChange:
        """One change that leads from a number to the state in force.

        Returns:
            The merged rows of the changes since then, or the whole state when a change is missing.
        """
        routes: dict[str, RowValue | None] = {}
        pools: dict[str, RowValue | None] = {}
        reached = since
        for change in self._changes:
            if change.base == reached and change.base > 0:
                routes.update(change.routes)
                pools.update(change.pools)
                reached = change.number
        if since > 0 and reached == state.number:
            return StateChange(since, state.number, state.digest, routes, pools)
        return StateChange(0, state.number, state.digest, {**state.routes}, {**state.pools})
