"""Members that have announced their shutdown, and since when this is known."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from wigeonpoint.version.catalogue._record import MemberRecord

REMEMBERED_LEAVING = 4096  # members; more than leave within the time that a restore can undo
# Recorded times are converted to the store's clock and back. A smaller difference must not decide
# which of two members stops first.
RECORDED_TOLERANCE_S = 0.2


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


@dataclass(frozen=True, slots=True)
class LeavingNote:
    """The stored record of a leaving member, for instances that start later.

    Attributes:
        born_ms: Unix milliseconds of the member's start.
        since_s: Time of the store's clock, in seconds, since when it is known to be leaving.
    """

    born_ms: int
    since_s: float


class LeavingMembers:
    """Since when members are known to be leaving.

    An instance that starts finds members that are leaving already. Peers or a record in the store
    tell it since when; until then, and if nobody knows, it assumes an age.

    Args:
        clock: Gives seconds; it must also count the time for which the machine is suspended.
        assumed_s: Seconds for which a member is assumed to have been leaving if that is not known.
    """

    def __init__(self, clock: Callable[[], float], *, assumed_s: float = 0.0) -> None:
        self._clock = clock
        self._assumed_s = assumed_s
        self._since: dict[tuple[str, int], float] = {}  # by id and start, the oldest first
        self._assumed: set[tuple[str, int]] = set()
        self._recorded: dict[tuple[str, int], float] = {}

    def includes(self, record: MemberRecord) -> bool:
        """Whether a member has announced its shutdown since it started."""
        return _start_of(record) in self._since

    def note(self, record: MemberRecord, *, announced_now: bool = True) -> bool:
        """Records that a member is leaving.

        Args:
            record: The member.
            announced_now: Whether it was seen running until now, so that the announcement is new.

        Returns:
            Whether that was not known before.
        """
        start = _start_of(record)
        if start in self._since:
            return False
        self._since[start] = self._clock()
        if not announced_now:
            self._since[start] -= self._assumed_s
            self._assumed.add(start)
        if start in self._recorded:
            self._set_since(start, self._recorded[start])
        while len(self._since) > REMEMBERED_LEAVING:
            self._remove(next(iter(self._since)))
        return True

    def forget(self, record: MemberRecord) -> None:
        """Forgets that a member was leaving."""
        self._remove(_start_of(record))

    def set_recorded(self, recorded: Mapping[tuple[str, int], float]) -> None:
        """Takes the times that the store holds.

        Args:
            recorded: Times in seconds by id and start.
        """
        self._recorded = dict(recorded)
        for start, since in self._recorded.items():
            known = self._since.get(start)
            if known is None:
                continue
            if start in self._assumed or since < known - RECORDED_TOLERANCE_S:
                self._set_since(start, since)

    def known_s(self, record: MemberRecord) -> float | None:
        """Seconds since a member is known to be leaving, None if it is not leaving."""
        since = self._since.get(_start_of(record))
        return None if since is None else self._clock() - since

    def describe(self, records: Iterable[MemberRecord]) -> list[LeavingMember]:
        """The members that are leaving, and since when that is certain, to tell other instances."""
        return [
            LeavingMember(record.id, record.born_ms, known_s)
            for record in records
            if (known_s := self.known_s(record)) is not None
            and _start_of(record) not in self._assumed
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
                self._set_since(start, asked_at - member.known_s)

    def _set_since(self, start: tuple[str, int], since: float) -> None:
        """Replaces an assumed time, or a later one."""
        if start in self._assumed:
            self._assumed.discard(start)
            self._since[start] = since
        self._since[start] = min(self._since[start], since)

    def _remove(self, start: tuple[str, int]) -> None:
        self._since.pop(start, None)
        self._assumed.discard(start)


def _start_of(record: MemberRecord) -> tuple[str, int]:
    """Tells a start of a member from a later one under the same id."""
    return record.id, record.born_ms
