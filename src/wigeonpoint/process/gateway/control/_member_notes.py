"""Records in the store of what only running instances have seen of members.

For how long a leaving primary may be used, and when its change must begin, counts from its
announcement; and a member that is no longer listed may still run. Instances tell each other, but if
all of them are restarted only the store knows.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._records import (
    CONTROL_TABLE,
    encode_record,
    lapsed_row,
    leaving_row,
    members_row,
)
from wigeonpoint.services import RowKey, RowStore, RowTransaction, VersionedRow
from wigeonpoint.version.catalogue import (
    GroupMembers,
    LapsedMember,
    LapsedMembers,
    LapsedNote,
    LeavingMembers,
    LeavingNote,
    MemberRecord,
)

RETRY_DELAY_S = 0.5
# Longer than members go on serving after their announcement.
LEAVING_KEPT_S = 600.0
MAX_ROWS = 90  # of one transaction; the store takes at most 100


class MemberNotes:
    """Writes the notes while this instance is the coordinator, and reads those of others.

    Args:
        control: Control state of this instance.
        store: The store.
        leaving: Since when members are known to be leaving.
        lapsed: Members that are not listed and may still run.
    """

    def __init__(
        self,
        control: ControlState,
        store: RowStore,
        leaving: LeavingMembers,
        lapsed: LapsedMembers,
    ) -> None:
        self._control = control
        self._store = store
        self._leaving = leaving
        self._lapsed = lapsed
        self._leaving_notes: dict[str, LeavingNote] = {}
        self._lapsed_notes: dict[str, LapsedNote] = {}
        self._group_members: dict[str, GroupMembers] = {}
        self._awaits_clock = False
        self._writing: asyncio.Task[None] | None = None
        self._retry_at = float("-inf")

    def close(self) -> None:
        """Stops a write."""
        if self._writing is not None:
            self._writing.cancel()

    def apply(self) -> None:
        """Adopts the notes in the store; without the store's time, `apply_late` does."""
        self._leaving_notes = self._control.records.leaving_notes()
        self._lapsed_notes = self._control.records.lapsed_notes()
        self._group_members = self._control.records.group_members()
        self._awaits_clock = False
        now = self._control.lease.now
        recorded: dict[tuple[str, int], float] = {}
        for member_id, leaving in self._leaving_notes.items():
            since = self._own_time(leaving.since_s)
            if since is not None and since <= now:
                recorded[member_id, leaving.born_ms] = since
        self._leaving.set_recorded(recorded)
        told = []
        for lapsed in self._lapsed_notes.values():
            since = self._own_time(lapsed.since_s)
            if since is not None:
                # A restored store may have begun with an earlier time.
                told.append(LapsedMember(lapsed.record, max(now - since, 0.0)))
        for group in self._group_members.values():
            told += [LapsedMember(record, 0.0) for record in group.members]
        self._lapsed.adopt(told, asked_at=now)

    def apply_late(self) -> None:
        """Adopts notes that came in a copy before the store's time was known."""
        if self._awaits_clock:
            self.apply()

    def check(self, groups: Iterable[Group]) -> None:
        """Starts to write what is missing; the coordinator calls this."""
        if self._writing is not None or self._control.lease.now < self._retry_at:
            return
        groups = list(groups)
        puts = self._missing_leaving(groups) | self._missing_lapsed()
        puts |= self._changed_members(groups)
        deletes = self._ended_lapsed()
        if puts:
            deletes += self._outdated_leaving()
        if puts or deletes:
            self._writing = asyncio.create_task(self._write(puts, deletes))
            self._writing.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._writing = None

    def _own_time(self, store_s: float) -> float | None:
        since = self._control.store_clock.own_time(store_s)
        if since is None:
            self._awaits_clock = True
        return since

    def _missing_leaving(self, groups: Iterable[Group]) -> dict[RowKey, bytes]:
        """Notes of leaving primaries that the store does not hold."""
        leaving = [
            primary.record
            for group in groups
            if (primary := group.primary) is not None and primary.record.leaving
        ]
        if not leaving:
            return {}
        missing: dict[RowKey, bytes] = {}
        for record in leaving:
            note = self._leaving_notes.get(record.id)
            since_s = self._store_time(self._leaving.known_s(record) or 0.0)
            if since_s is not None and (note is None or note.born_ms != record.born_ms):
                missing[leaving_row(record.id)] = encode_record(
                    LeavingNote(record.born_ms, since_s)
                )
        return missing

    def _missing_lapsed(self) -> dict[RowKey, bytes]:
        """Notes of lapsed members that the store does not hold."""
        lapsed = self._lapsed.describe()
        if not lapsed:
            return {}
        missing: dict[RowKey, bytes] = {}
        for member in lapsed:
            record = member.record
            since_s = self._store_time(member.lapsed_s)
            if since_s is not None and not _is_noted(self._lapsed_notes, record):
                missing[lapsed_row(record.id)] = encode_record(LapsedNote(record, since_s))
        return missing

    def _changed_members(self, groups: Iterable[Group]) -> dict[RowKey, bytes]:
        """Members of the groups whose commits wait for replicas, if they have changed."""
        changed: dict[RowKey, bytes] = {}
        for group in groups:
            voters = group.voters if group.service.synchronous_replicas else []
            known = self._group_members.get(group.name, GroupMembers([])).members
            if voters and _starts(voters) != _starts(known):
                changed[members_row(group.name)] = encode_record(GroupMembers(voters))
        return changed

    def _ended_lapsed(self) -> list[RowKey]:
        """Keys of the notes on members that no longer count as lapsed."""
        if not self._lapsed_notes or self._awaits_clock or not self._lapsed.table_known:
            return []
        lapsed = {member.record.id for member in self._lapsed.describe()}
        return [lapsed_row(member_id) for member_id in sorted(self._lapsed_notes.keys() - lapsed)]

    def _outdated_leaving(self) -> list[RowKey]:
        """Keys of the notes on members that announced their shutdown long ago."""
        now_s = self._store_time(0.0)
        if now_s is None:
            return []
        oldest_s = now_s - LEAVING_KEPT_S
        notes = self._leaving_notes.items()
        return [leaving_row(one) for one, note in notes if note.since_s < oldest_s]

    def _store_time(self, ago_s: float) -> float | None:
        """The store's time some seconds ago, at the earliest, None if it is not known."""
        return self._control.store_clock.earliest(self._control.lease.now - ago_s)

    async def _write(self, puts: dict[RowKey, bytes], deletes: list[RowKey]) -> None:
        self._retry_at = self._control.lease.now + RETRY_DELAY_S
        puts = dict(list(puts.items())[:MAX_ROWS])
        deletes = [key for key in deletes if key not in puts][: MAX_ROWS - len(puts)]
        keys = [*puts, *deletes]
        expected = {key: self._control.records.version(key.key) for key in keys}
        try:
            version = await self._store.commit(RowTransaction(expected, puts, deletes))
        except (StoreUnavailable, ConditionFailed) as error:
            log_event(Event.MEMBERS_NOT_NOTED, rows=[key.key for key in keys], reason=str(error))
            return
        for key in keys:
            value = puts.get(key, b"")
            row = VersionedRow(CONTROL_TABLE, key.key, value, version, deleted=key not in puts)
            self._control.feed.apply(row)


def _is_noted(notes: Mapping[str, LapsedNote], record: MemberRecord) -> bool:
    note = notes.get(record.id)
    return note is not None and note.record.born_ms == record.born_ms


def _starts(records: Iterable[MemberRecord]) -> set[tuple[str, int]]:
    """Ids and starts of members."""
    return {(record.id, record.born_ms) for record in records}
