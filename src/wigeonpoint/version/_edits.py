"""Edits by operators, each one conditional transaction over the changed rows and the head."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Collection
from dataclasses import asdict, dataclass

import orjson

from wigeonpoint.errors import (
    ConditionFailed,
    ConfigurationRefused,
    ResultCode,
    StoreUnavailable,
)
from wigeonpoint.services import Check, Delete, Put, Row
from wigeonpoint.version._configuration_store import ConfigurationStore, EditRecord, Head
from wigeonpoint.version._rows import POOLS, ROUTES, RowValue, RowValues
from wigeonpoint.version._state import (
    ConfigurationState,
    build_state,
    raise_for_problems,
    state_problems,
)

MAX_ATTEMPTS = 20
MAX_PAUSE_S = 0.1  # longest pause between two attempts, chosen at random


@dataclass(frozen=True, slots=True)
class RowChange:
    """A change of one row.

    Attributes:
        table: `routes` or `pools`.
        key: Name of the row.
        expected_version: Version of the row that the operator saw; 0 for a new row.
        value: New fields; None removes the row.
    """

    table: str
    key: str
    expected_version: int
    value: RowValue | None


@dataclass(frozen=True, slots=True)
class Edit:
    """Changes that take effect together; the id identifies a retry of the same edit."""

    edit_id: str
    changes: list[RowChange]

    @property
    def fingerprint(self) -> str:
        """Digest of the changes."""
        data = orjson.dumps([asdict(change) for change in self.changes], option=_SORT_KEYS)
        return hashlib.sha256(data).hexdigest()[:16]


@dataclass(frozen=True, slots=True)
class EditResult:
    """Result of an edit.

    Attributes:
        number: Number of the state that the edit produced.
        repeated: Whether an earlier attempt had been accepted already.
        state: The accepted state, unless the edit was repeated.
    """

    number: int
    repeated: bool
    state: ConfigurationState | None = None


class EditConflict(ConfigurationRefused):
    """A row is not at the version that the operator saw.

    Args:
        change: The refused change.
        current: The row as it is now; None when it is absent.
    """

    def __init__(self, change: RowChange, current: Row | None) -> None:
        found = "absent" if current is None else f"at version {current.version}: {current.value}"
        super().__init__(
            ResultCode.EDIT_CONFLICT,
            f"{change.table}/{change.key} is {found}, not at version {change.expected_version}",
        )
        self._current = current

    @property
    def current(self) -> Row | None:
        """The row as it is now; None when it is absent."""
        return self._current


class Editor:
    """Applies edits to the tables.

    Args:
        store: Accepted states.
        state: Returns this instance's active state, so that its document need not be read.
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

    async def apply(self, edit: Edit) -> EditResult:
        """Applies an edit at most once, however often it is repeated.

        A lost answer is resolved by reading the head, which lists the recent edits. If that fails
        too, the operator must repeat the edit with the same id.

        Raises:
            EditConflict: A changed row is at another version than expected.
            ConfigurationRefused: The state after the edit is not valid, or another edit has the id.
            StoreUnavailable: The table service does not answer; the outcome is unknown.
        """
        unanswered: StoreUnavailable | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._attempt(edit)
            except ConditionFailed:
                unanswered = None
            except StoreUnavailable as error:
                if unanswered is not None:
                    raise
                unanswered = error
            await asyncio.sleep(random.uniform(0, MAX_PAUSE_S))
        if unanswered is not None:
            raise unanswered
        raise ConfigurationRefused(
            ResultCode.EDIT_CONFLICT, "other edits were committed first; repeat the edit"
        )

    async def _attempt(self, edit: Edit) -> EditResult:
        head = await self._store.head()
        record = head.edit(edit.edit_id)
        if record is not None:
            return _repeated(edit, record)
        base = await self._store.state(head, self._state())
        if base is None:
            raise ConditionFailed("the document of the head was pruned while it was read")
        try:
            for change in edit.changes:
                await self._check_version(change)
            state = self._next_state(base, edit)
        except ConfigurationRefused:
            # An earlier attempt without an answer may have taken effect after the head was read.
            if (await self._store.head()).version != head.version:
                raise ConditionFailed("the head changed while the edit was checked") from None
            raise
        await self._commit(head, state, edit)
        return EditResult(state.number, False, state)

    async def _check_version(self, change: RowChange) -> None:
        row = await self._store.row(change.table, change.key)
        found = 0 if row is None else row.version
        if row is None and change.value is None:
            raise ConfigurationRefused(
                ResultCode.UNKNOWN_ROW, f"there is no row {change.table}/{change.key}"
            )
        if found != change.expected_version:
            raise EditConflict(change, row)

    def _next_state(self, base: ConfigurationState, edit: Edit) -> ConfigurationState:
        routes = _with_changes(base.routes, edit.changes, ROUTES)
        pools = _with_changes(base.pools, edit.changes, POOLS)
        raise_for_problems(state_problems(routes, pools, known=base, groups=self._groups()))
        return build_state(base.number + 1, routes, pools, known=base)

    async def _commit(self, head: Head, state: ConfigurationState, edit: Edit) -> None:
        changes = edit.changes
        await self._store.commit(
            head,
            state,
            checks=[Check(row.table, row.key, row.expected_version) for row in changes],
            puts=[Put(row.table, row.key, row.value) for row in changes if row.value is not None],
            deletes=[Delete(row.table, row.key) for row in changes if row.value is None],
            edit=EditRecord(edit.edit_id, state.number, edit.fingerprint),
        )


def _repeated(edit: Edit, record: EditRecord) -> EditResult:
    if record.fingerprint != edit.fingerprint:
        raise ConfigurationRefused(
            ResultCode.EDIT_ID_REUSED,
            f"edit id {edit.edit_id!r} belongs to another edit, accepted as state {record.number}",
        )
    return EditResult(record.number, True)


def _with_changes(rows: RowValues, changes: list[RowChange], table: str) -> RowValues:
    changed = dict(rows)
    for change in changes:
        if change.table != table:
            continue
        changed.pop(change.key, None)
        if change.value is not None:
            changed[change.key] = change.value
    return changed


_SORT_KEYS = orjson.OPT_SORT_KEYS
