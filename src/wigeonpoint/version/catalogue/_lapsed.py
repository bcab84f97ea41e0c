"""Members whose entries have gone without an announced shutdown, and that may still run."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from wigeonpoint.version.catalogue._record import MemberRecord

# As long as an instance that does not reach the store may use what the members of a group confirm.
LAPSED_KEPT_S = 3600.0
REMEMBERED_DROPPED = 4096  # members; more than leave while the store still tells of one of them


@dataclass(frozen=True, slots=True)
class LapsedMember:
    """A lapsed member, for its record in the store.

    Attributes:
        record: Its last entry.
        lapsed_s: Seconds since its entry went.
    """

    record: MemberRecord
    lapsed_s: float


@dataclass(frozen=True, slots=True)
class LapsedNote:
    """The stored record of a lapsed member, for instances that start later.

    Attributes:
        record: Its last entry.
        since_s: Time of the store's clock, in seconds, at which its entry was found to be gone.
    """

    record: MemberRecord
    since_s: float


@dataclass(frozen=True, slots=True)
class GroupMembers:
    """The stored record of the members that may hold commits of a group.

    It exists for groups whose commits wait for replicas: an entry may go while no instance runs.

    Attributes:
        members: The listed members, and the lapsed ones.
    """

    members: list[MemberRecord]


class LapsedMembers:
    """Members that are no longer listed and that nobody has shown to be down or replaced.

    An entry goes when its member, or the path between the member and the store, falls silent. The
    member may run on, hold commits that no other one has, and confirm a primary.

    Args:
        clock: Gives seconds; it must also count the time for which the machine is suspended.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lapsed: dict[str, tuple[MemberRecord, float]] = {}
        self._listed: Mapping[str, MemberRecord] | None = None  # until the table is known
        self._dropped: dict[tuple[str, int], None] = {}  # the oldest first

    @property
    def table_known(self) -> bool:
        """Whether the listed members are known, so that the others have lapsed."""
        return self._listed is not None

    def of_service(self, service: str) -> list[MemberRecord]:
        """The lapsed members of a group."""
        self._remove_old()
        return [record for record, _ in self._lapsed.values() if record.service == service]

    def note_dropped(self, record: MemberRecord) -> None:
        """Records that a member is no longer listed; one that was leaving has stopped."""
        self._remember_dropped(record)
        if not record.leaving:
            self._lapsed[record.id] = record, self._clock()

    def note_listed(self, listed: Mapping[str, MemberRecord]) -> None:
        """Removes the members that are listed again, and those whose address another one has.

        Args:
            listed: All listed members by id.
        """
        self._listed = listed
        if not self._lapsed:
            return
        addresses = {record.address for record in listed.values()}
        for member_id, (record, _) in list(self._lapsed.items()):
            if member_id in listed:
                del self._lapsed[member_id]
            elif record.address in addresses:
                self.remove(member_id)

    def remove(self, member_id: str) -> bool:
        """Removes a member whose address belongs to another one; whether it had lapsed."""
        removed = self._lapsed.pop(member_id, None)
        if removed is not None:
            self._remember_dropped(removed[0])
        return removed is not None

    def describe(self) -> list[LapsedMember]:
        """All lapsed members, none while it is not known which ones are listed."""
        if not self.table_known:
            return []
        self._remove_old()
        now = self._clock()
        return [LapsedMember(record, now - since) for record, since in self._lapsed.values()]

    def adopt(self, members: Iterable[LapsedMember], *, asked_at: float) -> None:
        """Adopts the members that had lapsed before this instance knew the table.

        Args:
            members: Lapsed members that the store knows.
            asked_at: Time in seconds at which it was asked.
        """
        for member in members:
            record = member.record
            if (record.id, record.born_ms) not in self._dropped:
                self._lapsed.setdefault(record.id, (record, asked_at - member.lapsed_s))
        if self._listed is not None:
            self.note_listed(self._listed)

    def _remember_dropped(self, record: MemberRecord) -> None:
        self._dropped[record.id, record.born_ms] = None
        while len(self._dropped) > REMEMBERED_DROPPED:
            del self._dropped[next(iter(self._dropped))]

    def _remove_old(self) -> None:
        if not self._lapsed:
            return
        oldest = self._clock() - LAPSED_KEPT_S
        for member_id, (record, since) in list(self._lapsed.items()):
            if since <= oldest:
                del self._lapsed[member_id]
                self._remember_dropped(record)
