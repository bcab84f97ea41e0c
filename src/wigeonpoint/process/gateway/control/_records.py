"""The control rows in the store: leadership of groups, the coordinator, and the instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import orjson
from pydantic import TypeAdapter, ValidationError

from wigeonpoint.events import Event, log_event
from wigeonpoint.services import RowKey, VersionedRow
from wigeonpoint.version.catalogue import (
    CoordinatorRecord,
    GroupMembers,
    LapsedNote,
    Leadership,
    LeavingNote,
    QuotaAllocatorRecord,
    RegisteredInstance,
)

CONTROL_TABLE = "wigeonpoint"
COORDINATOR_KEY = "duty"
QUOTA_ALLOCATOR_KEY = "quota"
GROUP_PREFIX = "group/"
INSTANCE_PREFIX = "instance/"
LEAVING_PREFIX = "leaving/"
LAPSED_PREFIX = "lapsed/"
MEMBERS_PREFIX = "members/"

_LEADERSHIP = TypeAdapter(Leadership)
_COORDINATOR = TypeAdapter(CoordinatorRecord)
_QUOTA_ALLOCATOR = TypeAdapter(QuotaAllocatorRecord)
_INSTANCE = TypeAdapter(RegisteredInstance)
_LEAVING = TypeAdapter(LeavingNote)
_LAPSED = TypeAdapter(LapsedNote)
_MEMBERS = TypeAdapter(GroupMembers)
T = TypeVar("T")


class ControlRecords:
    """Decodes a copy of the control table, each version of a row once.

    Args:
        rows: Returns the rows by key, as the copy of the table holds them.
    """

    def __init__(self, rows: Callable[[], Mapping[str, VersionedRow]]) -> None:
        self._get_rows = rows
        self._decoded: dict[str, tuple[VersionedRow, Any]] = {}

    @property
    def _rows(self) -> Mapping[str, VersionedRow]:
        return self._get_rows()

    def version(self, key: str) -> int:
        """Version of a row, 0 if it does not exist."""
        row = self._rows.get(key)
        return 0 if row is None else row.version

    def leadership(self, group: str) -> Leadership | None:
        """The leadership record of a group, None before its first change of primary."""
        return self._decode(GROUP_PREFIX + group, _LEADERSHIP)

    def leaderships(self) -> dict[str, Leadership]:
        """All leadership records by group."""
        return self._decode_all(GROUP_PREFIX, _LEADERSHIP)

    def coordinator_record(self) -> CoordinatorRecord | None:
        """The instance that may call for promotions, None before the first claim."""
        return self._decode(COORDINATOR_KEY, _COORDINATOR)

    def quota_allocator(self) -> QuotaAllocatorRecord | None:
        """The instance that divides the customers' quotas, None before the first claim."""
        return self._decode(QUOTA_ALLOCATOR_KEY, _QUOTA_ALLOCATOR)

    def leaving_notes(self) -> dict[str, LeavingNote]:
        """Notes on leaving primaries by member id."""
        return self._decode_all(LEAVING_PREFIX, _LEAVING)

    def lapsed_notes(self) -> dict[str, LapsedNote]:
        """Notes on members that are no longer listed and may still run, by member id."""
        return self._decode_all(LAPSED_PREFIX, _LAPSED)

    def group_members(self) -> dict[str, GroupMembers]:
        """The members of the groups whose commits wait for replicas, by group."""
        return self._decode_all(MEMBERS_PREFIX, _MEMBERS)

    def instances(self) -> dict[str, RegisteredInstance]:
        """Registered instances by name, and those that others have deregistered."""
        self._decoded = {key: known for key, known in self._decoded.items() if key in self._rows}
        return self._decode_all(INSTANCE_PREFIX, _INSTANCE)

    def _decode_all(self, prefix: str, adapter: TypeAdapter[T]) -> dict[str, T]:
        keys = [key for key in self._rows if key.startswith(prefix)]
        decoded = {key.removeprefix(prefix): self._decode(key, adapter) for key in keys}
        return {name: value for name, value in decoded.items() if value is not None}

    def _decode(self, key: str, adapter: TypeAdapter[T]) -> T | None:
        row = self._rows.get(key)
        if row is None:
            return None
        known = self._decoded.get(key)
        if known is None or known[0] is not row:
            known = self._decoded[key] = row, self._validate(row, adapter)
        value: T | None = known[1]
        return value

    @staticmethod
    def _validate(row: VersionedRow, adapter: TypeAdapter[T]) -> T | None:
        try:
            return adapter.validate_json(row.value)
        except ValidationError as error:
            log_event(Event.ROW_UNREADABLE, row=row.key, problem=" ".join(str(error).split())[:300])
            return None


def control_row(key: str) -> RowKey:
    """Gives the row key of a control row."""
    return RowKey(CONTROL_TABLE, key)


def group_row(group: str) -> RowKey:
    """Gives the row key of the leadership record of a group."""
    return control_row(GROUP_PREFIX + group)


def instance_row(instance: str) -> RowKey:
    """Gives the row key of the registration of an instance."""
    return control_row(INSTANCE_PREFIX + instance)


def leaving_row(member_id: str) -> RowKey:
    """Gives the row key of the note on a leaving member."""
    return control_row(LEAVING_PREFIX + member_id)


def lapsed_row(member_id: str) -> RowKey:
    """Gives the row key of the note on a member that is no longer listed."""
    return control_row(LAPSED_PREFIX + member_id)


def members_row(group: str) -> RowKey:
    """Gives the row key of the members of a group whose commits wait for replicas."""
    return control_row(MEMBERS_PREFIX + group)


ControlRecord = (
    Leadership
    | CoordinatorRecord
    | QuotaAllocatorRecord
    | RegisteredInstance
    | GroupMembers
    | LapsedNote
    | LeavingNote
)


def encode_record(record: ControlRecord) -> bytes:
    """Encodes a record for the store."""
    return orjson.dumps(record)
