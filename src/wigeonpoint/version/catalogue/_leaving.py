"""Members that have announced their shutdown, and since when this is known."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wigeonpoint.version.catalogue._record import MemberRecord

REMEMBERED_LEAVING = 4096  # members; more than leave within the time that a restore can undo


@dataclass(frozen=True, slots=True)
class LeavingMember:
    """A leaving member, as instances tell each other.

    Attributes:
        id: Its id.
        born_ms: Unix milliseconds of its start.
        known_s: Seconds since it is known to be leaving.
    """

    id: str
    born_ms: int
    known_s: float


class LeavingMembers:
    """Since when members are known to be leaving.

    Args:
        clock: Gives seconds; it must also count the time for which the machine is suspended.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._since: dict[tuple[str, int], float] = {}  # by id and start, the oldest first

    def includes(self, record: MemberRecord) -> bool:
        """Whether a member has announced its shutdown since it started."""
        return _start_of(record) in self._since

    def note(self, record: MemberRecord) -> bool:
        """Records that a member is leaving; returns whether that was not known before."""
        start = _start_of(record)
        if start in self._since:
            return False
        self._since[start] = self._clock()
        while len(self._since) > REMEMBERED_LEAVING:
            del self._since[next(iter(self._since))]
        return True

    def forget(self, record: MemberRecord) -> None:
        """Forgets that a member was leaving."""
        self._since.pop(_start_of(record), None)

    def known_s(self, record: MemberRecord) -> float | None:
        """Seconds since a member is known to be leaving, None if it is not leaving."""
        since = self._since.get(_start_of(record))
        return None if since is None else self._clock() - since

    def describe(self, records: Iterable[MemberRecord]) -> list[LeavingMember]:
        """Those of the members that are leaving, to tell other instances."""
        return [
            LeavingMember(record.id, record.born_ms, known_s)
            for record in records
            if (known_s := self.known_s(record)) is not None
        ]

    def adopt(self, members: Iterable[LeavingMember], *, asked_at: float) -> None:
        """Counts from an earlier time if another instance has known of a shutdown for longer.

        Members that are not known to be leaving here are left out; the table tells of them.

        Args:
            members: Leaving members that the other instance knows.
            asked_at: Time in seconds at which it was asked.
        """
        for member in members:
            start = member.id, member.born_ms
            if start in self._since:
                self._since[start] = min(self._since[start], asked_at - member.known_s)


def _start_of(record: MemberRecord) -> tuple[str, int]:
    """Tells a start of a member from a later one under the same id."""
    return record.id, record.born_ms
