"""The members of a group among which majorities are counted."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from wigeonpoint.version._servers import BackendServer


class GroupMembership:
    """A group's members as the platform's list and the group record name them.

    The platform's list may lag or leave members out, so a majority of it need not overlap with the
    majority that a promotion fences. A majority of the recorded members is therefore required as
    well; while no record is known, the largest list seen takes its place.

    Args:
        listed: Members on the platform's list.
    """

    def __init__(self, listed: Iterable[BackendServer]) -> None:
        self._known: dict[str, BackendServer] = {}
        self._listed: frozenset[str] = frozenset()
        self._largest: frozenset[str] = frozenset()
        self._recorded: frozenset[str] = frozenset()
        self._term = 0
        self.set_listed(listed)

    @property
    def servers(self) -> list[BackendServer]:
        """Members that count towards a majority and whose address is known."""
        counted = frozenset().union(*self.counted_sets)
        return [server for server in self._known.values() if server.id in counted]

    @property
    def counted_sets(self) -> tuple[frozenset[str], frozenset[str]]:
        """Listed and recorded ids; a confirmation needs a majority of each set."""
        return self._listed, self.recorded

    @property
    def recorded(self) -> frozenset[str]:
        """The recorded members, or the largest list seen while no record is known."""
        return self._recorded or self._largest

    @property
    def recorded_term(self) -> int:
        """Term of the record that names the members, or 0 without a record."""
        return self._term

    def set_listed(self, listed: Iterable[BackendServer]) -> None:
        """Records the members on the platform's list."""
        servers = {server.id: server for server in listed}
        self._known.update(servers)
        self._listed = frozenset(servers)
        if len(servers) >= len(self._largest):
            self._largest = self._listed

    def set_recorded(self, members: Collection[str], term: int) -> None:
        """Records the members that a group record names; an earlier term is ignored."""
        if members and term >= self._term:
            self._recorded = frozenset(members)
            self._term = term

    def has_majority(self, found: Collection[str]) -> bool:
        """Whether `found` holds a majority of every set."""
        return all(len(ids.intersection(found)) > len(ids) // 2 for ids in self.counted_sets)
