"""The directory of the database groups' members, which register themselves in the store."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from wigeonpoint.version.catalogue._lapsed import LapsedMembers
from wigeonpoint.version.catalogue._leaving import LeavingMembers
from wigeonpoint.version.catalogue._record import MemberRecord

EXPIRY_GRACE_S = 2.0  # running members have registered again this long after the store came back


class MemberDirectory:
    """The members in use.

    A member whose entry has disappeared stays in use for a grace period, because entries expire
    during an outage of the store although their members keep running. A member that has announced
    its shutdown stays leaving until it starts again: a store that is restored from an older copy
    lists it as running.

    Args:
        leaving: Since when members are known to be leaving.
        lapsed: Members that leave the directory without an announced shutdown.
    """

    def __init__(self, leaving: LeavingMembers, lapsed: LapsedMembers) -> None:
        self._known_leaving = leaving
        self._lapsed = lapsed
        self._records: dict[str, MemberRecord] = {}
        self._expiring: dict[str, float] = {}  # id -> time at which it leaves the directory

    @property
    def records(self) -> Mapping[str, MemberRecord]:
        """Members in use by id, leaving ones included."""
        return self._records

    @property
    def next_expiry(self) -> float | None:
        """Time at which the next member with an expired entry is dropped, or None."""
        return min(self._expiring.values(), default=None)

    def of_service(self, service: str) -> list[MemberRecord]:
        """Members of a group."""
        return [record for record in self._records.values() if record.service == service]

    def replace(
        self, records: Iterable[MemberRecord], *, now: float, store_stable: bool
    ) -> list[MemberRecord]:
        """Replaces the list of members.

        Args:
            records: All listed members.
            now: Seconds on the caller's clock.
            store_stable: Whether the store has answered without a break, so that a missing entry
                means that its member has stopped.

        Returns:
            The members that were not known to be leaving before.
        """
        records = list(records)
        newly_leaving = [
            record for record in records if record.leaving and self._note_leaving(record)
        ]
        listed = {record.id: self._keep_leaving(record) for record in records}
        for member_id in self._records.keys() - listed.keys():
            self._expiring.setdefault(member_id, now if store_stable else now + EXPIRY_GRACE_S)
        for record in listed.values():
            self._expiring.pop(record.id, None)
            self._records[record.id] = record
        self.expire(now)
        self._lapsed.note_listed(self._records)
        return newly_leaving

    def _note_leaving(self, record: MemberRecord) -> bool:
        """Notes that a member is leaving; returns whether that was not known before."""
        return self._known_leaving.note(record, announced_now=record.id in self._records)

    def _keep_leaving(self, record: MemberRecord) -> MemberRecord:
        """The record, leaving if its member has announced that since it started."""
        if record.leaving or not self._known_leaving.includes(record):
            return record
        if not record.born_ms:  # without the time of its start, a restart cannot be told
            self._known_leaving.forget(record)
            return record
        return replace(record, leaving=True)

    def expire(self, now: float) -> list[MemberRecord]:
        """Drops the members whose grace period is over.

        Returns:
            The dropped members.
        """
        due = [member_id for member_id, at in self._expiring.items() if at <= now]
        dropped = []
        for member_id in due:
            del self._expiring[member_id]
            dropped.append(self._records.pop(member_id))
            self._lapsed.note_dropped(dropped[-1])
        return dropped
