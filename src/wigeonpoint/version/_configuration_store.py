"""Accepted states in the table service, and their snapshots in the object store."""

from __future__ import annotations

from dataclasses import dataclass, field

import orjson
from pydantic import TypeAdapter, ValidationError

from wigeonpoint.errors import ConfigurationRefused, ResultCode
from wigeonpoint.services import Check, Delete, Platform, Put, Row, TableTransaction
from wigeonpoint.version._rows import POOLS, ROUTES
from wigeonpoint.version._state import ConfigurationState, state_from_document

HEAD_TABLE = "configuration"
HEAD_KEY = "head"
DOCUMENT_TABLE = "configurations"
SNAPSHOT_PREFIX = "configuration-snapshot-"
KEPT_DOCUMENTS = 20
KEPT_SNAPSHOTS = 4
RECENT_EDITS = 48  # at 1,200 edits a day, about an hour; pollers read them with the head


@dataclass(frozen=True, slots=True)
class EditRecord:
    """An accepted edit.

    Attributes:
        edit_id: Id given by the operator's tool.
        number: Number of the state that it produced.
        fingerprint: Digest of the edit; distinguishes a retry from another edit with the same id.
    """

    edit_id: str
    number: int
    fingerprint: str


@dataclass(frozen=True, slots=True)
class Head:
    """Row `configuration/head`.

    Attributes:
        number: Number of the accepted state; 0 before the first.
        digest: Digest of its rows.
        edits: Most recent edits, the newest last.
        version: Version of the row; 0 when it is absent.
    """

    number: int = 0
    digest: str = ""
    edits: list[EditRecord] = field(default_factory=list)
    version: int = 0

    def edit(self, edit_id: str) -> EditRecord | None:
        """The record of a recent edit."""
        return next((edit for edit in self.edits if edit.edit_id == edit_id), None)


_EDITS = TypeAdapter(list[EditRecord])


class ConfigurationStore:
    """Reads and conditionally writes accepted states.

    Args:
        platform: Services of the platform.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def head(self) -> Head:
        """Reads the head row; raises StoreUnavailable."""
        row = await self._platform.tables.read(HEAD_TABLE, HEAD_KEY)
        if row is None:
            return Head()
        try:
            edits = _EDITS.validate_python(row.value.get("edits", []))
            return Head(row.value["number"], row.value["digest"], edits, row.version)
        except (KeyError, ValidationError) as error:
            raise ConfigurationRefused(
                ResultCode.TABLES_INVALID, f"row configuration/head is damaged: {error!r}"
            ) from error

    async def state(
        self, head: Head, known: ConfigurationState | None = None
    ) -> ConfigurationState | None:
        """The state that a head names, or None when its document has been pruned since.

        Args:
            head: The head row.
            known: A state at hand; it is returned without a read if the head names it.
        """
        if head.number == 0:
            return ConfigurationState()
        if known is not None and (known.number, known.digest) == (head.number, head.digest):
            return known
        row = await self._platform.tables.read(DOCUMENT_TABLE, str(head.number))
        return None if row is None else state_from_document(row.value)

    async def rows(self) -> tuple[list[Row], list[Row]]:
        """Scans the tables `routes` and `pools`."""
        routes = await self._platform.tables.scan(ROUTES)
        return routes, await self._platform.tables.scan(POOLS)

    async def row(self, table: str, key: str) -> Row | None:
        """Reads a row of `routes` or `pools`."""
        return await self._platform.tables.read(table, key)

    async def commit(
        self,
        head: Head,
        state: ConfigurationState,
        *,
        checks: list[Check],
        puts: list[Put] | None = None,
        deletes: list[Delete] | None = None,
        edit: EditRecord | None = None,
    ) -> None:
        """Makes a state the accepted one if the head and checked rows have not changed.

        Raises:
            ConditionFailed: The head or a checked row has changed.
            StoreUnavailable: No answer; the change may have taken effect.
        """
        edits = [*head.edits, edit] if edit is not None else head.edits
        value = {
            "number": state.number,
            "digest": state.digest,
            "edits": _EDITS.dump_python(edits[-RECENT_EDITS:]),
        }
        pruned = state.number - KEPT_DOCUMENTS
        prune = [Delete(DOCUMENT_TABLE, str(pruned))] if pruned > 0 else []
        transaction = TableTransaction(
            checks=[Check(HEAD_TABLE, HEAD_KEY, head.version), *checks],
            puts=[
                Put(HEAD_TABLE, HEAD_KEY, value),
                Put(DOCUMENT_TABLE, str(state.number), state.document),
                *(puts or []),
            ],
            deletes=[*(deletes or []), *prune],
        )
        await self._platform.tables.transact(transaction)

    async def write_snapshot(self, state: ConfigurationState) -> None:
        """Writes a state into the object store.

        A fixed set of names is used in rotation: the object store has no deletion, and under a
        single name a delayed write of an older state could overwrite a newer one.
        """
        name = f"{SNAPSHOT_PREFIX}{state.number % KEPT_SNAPSHOTS}"
        await self._platform.objects.put(name, orjson.dumps(state.document))

    async def newest_snapshot(self) -> ConfigurationState | None:
        """The intact snapshot with the highest number, or None."""
        newest: ConfigurationState | None = None
        for name in await self._platform.objects.names(SNAPSHOT_PREFIX):
            data = await self._platform.objects.get(name)
            state = None if data is None else _decode(data)
            if state is not None and (newest is None or state.number > newest.number):
                newest = state
        return newest


def _decode(data: bytes) -> ConfigurationState | None:
    try:
        return state_from_document(orjson.loads(data))
    except (orjson.JSONDecodeError, ConfigurationRefused):
        return None
