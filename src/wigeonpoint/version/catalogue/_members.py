"""The directory of the database groups' members, which register themselves in the store."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from wigeonpoint.backend import MemberRole

EXPIRY_GRACE_S = 2.0  # running members have registered again this long after the store came back
REMEMBERED_LEAVING = 4096  # members; more than leave within the time that a restore can undo


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member of a database group.

    Attributes:
        id: Unique id; other members may reuse the address, but not the id.
        service: Name of the database group.
        address: `host:port`.
        data_centre: Data centre in which it runs.
        leaving: Whether it has announced that it will stop.
        role: Role that it reports, None if it reports none.
        slots: Statements that it runs at the same time.
        warm_up_s: Seconds for which it stays slow after its start.
        born_ms: Unix milliseconds of its start; a restart under the same id keeps no state.
    """

    id: str
    service: str
    address: str
    data_centre: str
    leaving: bool = False
    role: MemberRole | None = None
    slots: int = 1
    warm_up_s: float = 0.0
    born_ms: int = 0


class MemberDirectory:
    """The members in use.

    A member whose entry has disappeared stays in use for a grace period, because entries expire
    during an outage of the store although their members keep running. A member that has announced
    its shutdown stays leaving until it starts again: a store that is restored from an older copy
    lists it as running.
    """

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._expiring: dict[str, float] = {}  # id -> time at which it leaves the directory
        self._leaving: dict[tuple[str, int], None] = {}  # id and start, the oldest first

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

    def replace(self, records: Iterable[MemberRecord], *, now: float, store_stable: bool) -> None:
        """Replaces the list of members.

        Args:
            records: All listed members.
            now: Seconds on the caller's clock.
            store_stable: Whether the store has answered without a break, so that a missing entry
                means that its member has stopped.
        """
        listed = {record.id: self._keep_leaving(record) for record in records}
        for member_id in self._records.keys() - listed.keys():
            self._expiring.setdefault(member_id, now if store_stable else now + EXPIRY_GRACE_S)
        for record in listed.values():
            self._expiring.pop(record.id, None)
            self._records[record.id] = record
        self.expire(now)

    def _keep_leaving(self, record: MemberRecord) -> MemberRecord:
        """The record, leaving if its member has announced that since it started."""
        started = record.id, record.born_ms
        if not record.leaving:
            return replace(record, leaving=True) if started in self._leaving else record
        if record.born_ms:  # without the time of its start, a restart cannot be told
            self._leaving[started] = None
            while len(self._leaving) > REMEMBERED_LEAVING:
                del self._leaving[next(iter(self._leaving))]
        return record

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
        return dropped
