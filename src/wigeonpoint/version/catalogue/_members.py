"""The members of the database groups as they register themselves."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wigeonpoint.backend import MemberRole

EXPIRY_GRACE_S = 2.0  # members that live are back this long after the store has returned


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member of a database group.

    Attributes:
        id: Unique id; addresses are used again by other members, ids are not.
        service: Name of the database group.
        address: `host:port`.
        data_centre: Where it runs.
        leaving: Whether it has announced its end.
        role: What it takes itself to be, None if it does not say.
        slots: Statements that it runs at the same time.
        warm_up_s: Seconds for which it stays slow after its start.
        born_ms: Unix milliseconds of its start; a later start under the same id knows nothing.
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

    A member whose entry has disappeared stays in use for a grace period, because entries lapse
    while the store is away although their members run on.
    """

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._expiring: dict[str, float] = {}  # id -> time at which it leaves the directory

    @property
    def records(self) -> Mapping[str, MemberRecord]:
        """Members in use by id, leaving ones included."""
        return self._records

    @property
    def next_expiry(self) -> float | None:
        """Time at which the next lapsed member leaves, or None."""
        return min(self._expiring.values(), default=None)

    def of_service(self, service: str) -> list[MemberRecord]:
        """Members of a group."""
        return [record for record in self._records.values() if record.service == service]

    def replace(self, records: Iterable[MemberRecord], *, now: float, store_stable: bool) -> None:
        """Takes over the whole list.

        Args:
            records: All listed members.
            now: Seconds on the caller's clock.
            store_stable: Whether the store has answered all along, so that a missing entry means
                that its member is gone.
        """
        listed = {record.id: record for record in records}
        for member_id in self._records.keys() - listed.keys():
            self._expiring.setdefault(member_id, now if store_stable else now + EXPIRY_GRACE_S)
        for record in listed.values():
            self._expiring.pop(record.id, None)
            self._records[record.id] = record
        self.expire(now)

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
