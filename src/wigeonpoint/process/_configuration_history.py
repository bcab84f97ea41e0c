"""Recent changes of the configuration, which are sent to peers instead of the whole state."""

from __future__ import annotations

from collections import deque

from wigeonpoint.version import ConfigurationState, RowValue, StateChange

MAX_CHANGES = 64


class ConfigurationHistory:
    """Changes that led to the active state, oldest first."""

    def __init__(self) -> None:
        self._changes: deque[StateChange] = deque(maxlen=MAX_CHANGES)

    def add(self, change: StateChange) -> None:
        """Adds the newest change."""
        self._changes.append(change)

    def change_to(self, state: ConfigurationState, since: int) -> StateChange:
        """One change that leads from a number to the active state.

        Args:
            state: The active state.
            since: Number from which the change starts.

        Returns:
            The merged rows of the changes since then, or the whole state when a change is missing.
        """
        routes: dict[str, RowValue | None] = {}
        pools: dict[str, RowValue | None] = {}
        last_number = since
        for change in self._changes:
            if change.base == last_number and change.base > 0:
                routes.update(change.routes)
                pools.update(change.pools)
                last_number = change.number
        if since > 0 and last_number == state.number:
            return StateChange(since, state.number, state.digest, routes, pools)
        return StateChange(0, state.number, state.digest, {**state.routes}, {**state.pools})
