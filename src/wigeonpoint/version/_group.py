"""What an instance knows of a database group: members, primary and confirmed positions."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import replace

from wigeonpoint.backend import Backend, LogPosition, MemberRole, MemberStatus
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.version._confirmation import GroupConfirmer, member_statuses
from wigeonpoint.version._confirmation_stall import ConfirmationStall
from wigeonpoint.version._group_membership import GroupMembership
from wigeonpoint.version._history import TermHistory
from wigeonpoint.version._servers import BackendServer

DISCOVERY_TIMEOUT_S = 0.5


class GroupView:
    """One group as seen by this instance.

    Args:
        name: Name of the group.
        servers: Its members.
        backend: Access to the members.
    """

    def __init__(self, name: str, servers: list[BackendServer], backend: Backend) -> None:
        self._name = name
        self._servers = {server.id: server for server in servers}
        self._membership = GroupMembership(servers)
        self._stall = ConfirmationStall()
        self._backend = backend
        self._primary_id: str | None = None
        self._term = 0
        self._seen_term = 0
        self._positions: dict[str, LogPosition] = {}
        self._history = TermHistory()
        self._confirmer: GroupConfirmer | None = None
        self._polled_addresses: set[tuple[str, str]] = set()
        self._discovery: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Name of the group."""
        return self._name

    @property
    def servers(self) -> list[BackendServer]:
        """Members of the group."""
        return list(self._servers.values())

    @property
    def term(self) -> int:
        """Highest term known."""
        return self._term

    @property
    def primary(self) -> BackendServer | None:
        """The primary of the highest known term, or None when it is not known."""
        return self._servers.get(self._primary_id) if self._primary_id else None

    @property
    def replicas(self) -> list[BackendServer]:
        """Members that are not the known primary."""
        return [server for server in self.servers if server.id != self._primary_id]

    @property
    def confirmer(self) -> GroupConfirmer:
        """Confirms answers of the primary; created on first use, since few instances need it."""
        if self._confirmer is None:
            self._confirmer = GroupConfirmer(
                self.servers, self._backend, self._membership, self._stall
            )
            self._polled_addresses = _addresses(self._confirmer.polled)
        return self._confirmer

    def set_servers(self, servers: list[BackendServer]) -> None:
        """Replaces the members; confirmation restarts only if ids or addresses have changed."""
        self._servers = {server.id: server for server in servers}
        self._membership.set_listed(servers)
        self._restart_confirmer()
        if self._primary_id not in self._servers:
            self._primary_id = None

    def server(self, server_id: str) -> BackendServer | None:
        """A member by id."""
        return self._servers.get(server_id)

    def position_of(self, server_id: str) -> LogPosition | None:
        """Highest log position that a member has reported."""
        return self._positions.get(server_id)

    def note_position(self, server_id: str, at: LogPosition) -> None:
        """Records the log position that a member's answer shows."""
        self._seen_term = max(self._seen_term, at.term)
        known = self._positions.get(server_id)
        if known is None or at > known:
            self._positions[server_id] = at

    def note_primary(self, server_id: str, term: int) -> bool:
        """Records the primary of a term; a lower term than the known one is ignored.

        Returns:
            Whether the primary or the term has changed.
        """
        if term < self._term or server_id not in self._servers:
            return False
        changed = (server_id, term) != (self._primary_id, self._term)
        self._primary_id = server_id
        self._term = term
        return changed

    def note_status(self, server_id: str, status: MemberStatus) -> None:
        """Records a member's status."""
        self.note_position(server_id, status.at)
        if status.leaving:
            self.note_leaving(server_id)
        if status.role is MemberRole.PRIMARY:
            self.note_primary(server_id, status.fenced_term)
        elif server_id == self._primary_id and status.fenced_term >= self._term:
            self._primary_id = None

    def note_leaving(self, server_id: str) -> None:
        """Marks a member as leaving because it reports so, even if the list does not show it yet.

        The mark lasts until the list changes; the member's next report sets it again.
        """
        server = self._servers.get(server_id)
        if server is not None and not server.leaving:
            self._servers[server_id] = replace(server, leaving=True)

    @property
    def history(self) -> TermHistory:
        """Known starts of the terms that the current log descends from."""
        return self._history

    @property
    def history_missing(self) -> bool:
        """Whether a later term was seen than the history covers; term 1 has no history."""
        return max(self._seen_term, self._term) > max(self._history.term, 1)

    def note_history(self, history: TermHistory) -> None:
        """Records a history; one that ends in an earlier term is ignored."""
        if history.term > self._history.term:
            self._history = history

    @property
    def confirmation_stall(self) -> ConfirmationStall:
        """How long answers of the primary have waited here while none was confirmed."""
        return self._stall

    @property
    def membership(self) -> GroupMembership:
        """Members among which majorities are counted."""
        return self._membership

    def note_members(self, members: Collection[str], term: int) -> None:
        """Records the members that the group record names for a term."""
        self._membership.set_recorded(members, term)
        self._restart_confirmer()

    def contains(self, at: LogPosition, required: LogPosition) -> bool:
        """Whether a log that ends at `at` contains the entry at `required`.

        Args:
            at: End of a member's log.
            required: Position that a session has seen.
        """
        if at.term < required.term or at.position < required.position:
            return False
        return at.term == required.term or self._history.carried_over(required, at.term)

    def is_abandoned(self, required: LogPosition) -> bool:
        """Whether the current log is known not to contain the entry at `required`."""
        term = self._history.term
        return required.term < term and not self._history.carried_over(required, term)

    def forget_primary(self, server_id: str) -> None:
        """Forgets the primary, as after it refused to act as one; the next caller asks again."""
        if self._primary_id == server_id:
            self._primary_id = None

    async def require_primary(self) -> BackendServer:
        """Returns the primary; asks the members when it is not known.

        Raises:
            NotRun: NO_PRIMARY when no member that answers is primary.
        """
        if self.primary is None:
            await self._discover()
        if self.primary is None:
            raise NotRun(
                ResultCode.NO_PRIMARY, f"group {self._name} has no primary now", retry_after_ms=250
            )
        return self.primary

    def close(self) -> None:
        """Ends the tasks of the group."""
        if self._confirmer is not None:
            self._confirmer.close()
        if self._discovery is not None:
            self._discovery.cancel()

    def _restart_confirmer(self) -> None:
        if self._confirmer and _addresses(self._membership.servers) != self._polled_addresses:
            self._confirmer.close()
            self._confirmer = None

    async def _discover(self) -> None:
        # Callers that wait at the same time share one round of status requests.
        if self._discovery is None or self._discovery.done():
            self._discovery = asyncio.create_task(self._ask_members())
        await asyncio.shield(self._discovery)

    async def _ask_members(self) -> None:
        statuses = await member_statuses(self.servers, self._backend, timeout=DISCOVERY_TIMEOUT_S)
        for server_id, status in statuses.items():
            self.note_status(server_id, status)


def _addresses(servers: Collection[BackendServer]) -> set[tuple[str, str]]:
    return {(server.id, server.address) for server in servers}
