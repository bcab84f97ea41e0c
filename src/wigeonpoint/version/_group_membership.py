"""Members of a group among which its majorities are counted."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from wigeonpoint.version._servers import BackendServer


class GroupMembership:
    """What an instance knows of a group's membership, from lists and from the group record.

    The platform's list may lag or leave members out, so a majority of it need not meet the
    majority that a promotion fences. A majority of the recorded members is therefore required as
    well; while no record is known, a majority of the largest list seen stands in for it.

    Args:
        listed: Members on the platform's list.
    """

    def __init__(self, listed: Iterable[BackendServer]) -> None:
        self._known: dict[str, BackendServer] = {}
        self._listed: frozenset[str] = frozenset()
        self._largest: frozenset[str] = frozenset()
        self._recorded: frozenset[str] = frozenset()
        self._term = 0
        self.note_list(listed)

    @property
    def servers(self) -> list[BackendServer]:
        """Members that count in some majority and whose address is known."""
        counted = frozenset().union(*self.sets)
        return [server for server in self._known.values() if server.id in counted]

    @property
    def sets(self) -> tuple[frozenset[str], frozenset[str]]:
        """Sets of ids; a confirmation needs a majority of each."""
        return self._listed, self.recorded

    @property
    def recorded(self) -> frozenset[str]:
        """The recorded members, or the largest list seen while no record is known."""
        return self._recorded or self._largest

    @property
    def recorded_term(self) -> int:
        """Term of the record that the members are known from, or 0."""
        return self._term

    def note_list(self, listed: Iterable[BackendServer]) -> None:
        """Takes the members of a list."""
        servers = {server.id: server for server in listed}
        self._known.update(servers)
        self._listed = frozenset(servers)
        if len(servers) >= len(self._largest):
            self._largest = self._listed

    def note_record(self, members: Collection[str], term: int) -> None:
        """Takes the members that a record names; a record of an earlier term is ignored."""
        if members and term >= self._term:
            self._recorded = frozenset(members)
            self._term = term

    def has_majority(self, found: Collection[str]) -> bool:
        """Whether some members are a majority of every set."""
        return all(len(ids.intersection(found)) > len(ids) // 2 for ids in self.sets)
