"""The stored record by which instances agree on a group's term and candidate."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import StrEnum

from pydantic import TypeAdapter

from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.services import Check, Put, TableService, TableTransaction
from wigeonpoint.version._history import TermStart

TABLE = "groups"
WRITE_ATTEMPTS = 3


class GroupPhase(StrEnum):
    """How far the change of primary of the record's term has come."""

    STABLE = "stable"
    CLAIMED = "claimed"
    PROMOTING = "promoting"


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """A row of the groups table.

    Attributes:
        term: Latest term that was claimed.
        phase: Progress of that term.
        claimant: Instance that claimed the term or took the claim over.
        claim_id: Unique id of the claim or takeover; after a lost answer it shows whether the
            write took effect.
        candidate: Member chosen to be primary; empty while claimed.
        primary: Primary of the last stable term.
        history: Starts of the terms that the current log descends from.
        members: Ids of the members among which the majorities of this term are counted.
        former_members: Ids of the members of the last stable term. A majority of them is fenced
            too, so that a lagging list of members cannot shrink a group to a minority.
    """

    term: int
    phase: GroupPhase = GroupPhase.STABLE
    claimant: str = ""
    claim_id: str = ""
    candidate: str = ""
    primary: str = ""
    history: tuple[TermStart, ...] = ()
    members: tuple[str, ...] = ()
    former_members: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A group record and the version of its row; version 0 means that there is no row."""

    record: GroupRecord
    version: int


_RECORD = TypeAdapter(GroupRecord)


class GroupRecords:
    """Reads and conditionally writes group records.

    Args:
        tables: The table service.
    """

    def __init__(self, tables: TableService) -> None:
        self._tables = tables

    async def read(self, group: str) -> StoredRecord:
        """Reads a record; a group without a row counts as stable in term 0.

        Raises:
            StoreUnavailable: The table service did not answer.
        """
        row = await self._tables.read(TABLE, group)
        if row is None:
            return StoredRecord(GroupRecord(term=0), 0)
        return StoredRecord(_RECORD.validate_python(row.value), row.version)

    async def scan(self) -> dict[str, GroupRecord]:
        """Reads all records by group; raises StoreUnavailable."""
        rows = await self._tables.scan(TABLE)
        return {row.key: _RECORD.validate_python(row.value) for row in rows}

    async def write(self, group: str, record: GroupRecord, *, version: int) -> StoredRecord:
        """Writes a record if its row is still at `version`.

        A lost answer is resolved by reading the record: the write took effect if the row holds
        this claim in this phase.

        Raises:
            ConditionFailed: Another instance changed the row.
            StoreUnavailable: It is not known whether the write took effect.
        """
        answer_lost = False
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self._tables.transact(self._transaction(group, record, version))
                return StoredRecord(record, version + 1)
            except StoreUnavailable:
                answer_lost = True
            except ConditionFailed:
                if not answer_lost:
                    raise
            stored = await self.read(group)
            if stored.version != version:
                return self._own_write(group, stored, record)
        raise StoreUnavailable(f"the record of group {group} could not be written")

    @staticmethod
    def _own_write(group: str, stored: StoredRecord, record: GroupRecord) -> StoredRecord:
        found = stored.record
        if (found.claim_id, found.phase) != (record.claim_id, record.phase):
            raise ConditionFailed(f"another instance changed the record of group {group}")
        return stored

    @staticmethod
    def _transaction(group: str, record: GroupRecord, version: int) -> TableTransaction:
        return TableTransaction(
            checks=[Check(TABLE, group, version)], puts=[Put(TABLE, group, asdict(record))]
        )
