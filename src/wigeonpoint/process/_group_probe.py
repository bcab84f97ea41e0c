"""Periodic probes of a group's members, from which its primary is derived."""

from __future__ import annotations

import asyncio

from wigeonpoint.backend import Backend, MemberRole, MemberStatus
from wigeonpoint.version import BackendServer, GroupView

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
MISSES_UNTIL_SUSPECT = 3


class MemberProbe:
    """Probes one member periodically.

    Args:
        server: The member.
        group: View that records each status.
        backend: Access to the member.
    """

    def __init__(self, server: BackendServer, group: GroupView, backend: Backend) -> None:
        self.server = server
        self._group = group
        self._member = backend.member(server.address)
        self._status: MemberStatus | None = None
        self._misses = 0
        self._task = asyncio.create_task(self._run())

    @property
    def status(self) -> MemberStatus | None:
        """Status from the last probe, or None if it failed."""
        return self._status

    @property
    def suspect(self) -> bool:
        """Whether enough probes in a row failed for the member to be suspected as unreachable."""
        return self._misses >= MISSES_UNTIL_SUSPECT

    def close(self) -> None:
        """Stops probing."""
        self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            try:
                self._status = await self._member.status(timeout=PROBE_TIMEOUT_S)
            except Exception:  # an answer that fails validation is a missed probe too
                self._status = None
                self._misses += 1
            else:
                self._misses = 0
                self._group.note_status(self.server.id, self._status)
            await asyncio.sleep(max(0.0, started + PROBE_INTERVAL_S - loop.time()))


class GroupProbe:
    """Probes all members of a group.

    Args:
        group: The group.
        backend: Access to the members.
    """

    def __init__(self, group: GroupView, backend: Backend) -> None:
        self._group = group
        self._backend = backend
        self._probes: dict[str, MemberProbe] = {}
        self._last_primary: tuple[int, str] = (0, "")  # term and server id

    @property
    def seen_term(self) -> int:
        """Highest term that the group view or a member reports."""
        return max([self._group.term, *(status.fenced_term for status in self._statuses())])

    @property
    def reaches_majority(self) -> bool:
        """Whether the last probes reached a majority of the members."""
        return len(self._statuses()) >= len(self._probes) // 2 + 1

    @property
    def members(self) -> list[MemberProbe]:
        """Probes of all members."""
        return list(self._probes.values())

    def update(self) -> None:
        """Starts and stops probes after changes of the group's members."""
        servers = {server.id: server for server in self._group.servers}
        for server_id, probe in list(self._probes.items()):
            server = servers.get(server_id)
            if server is None or server.address != probe.server.address:
                self._probes.pop(server_id).close()
            else:
                probe.server = server
        for server in servers.values():
            if server.id not in self._probes:
                self._probes[server.id] = MemberProbe(server, self._group, self._backend)

    def close(self) -> None:
        """Stops all probes."""
        for probe in self._probes.values():
            probe.close()
        self._probes.clear()

    def primary(self) -> MemberProbe | None:
        """The primary of the highest term seen, if its last probe succeeded."""
        known = self._group.primary
        if known is not None:
            self.record_primary(self._group.term, known.id)
        seen_term = self.seen_term
        for probe in self._probes.values():
            status = probe.status
            if (
                status is not None
                and status.role is MemberRole.PRIMARY
                and status.fenced_term >= seen_term
            ):
                self.record_primary(status.fenced_term, probe.server.id)
                return probe
        return None

    def record_primary(self, term: int, server_id: str) -> bool:
        """Records a member as primary if its term is above that of the last known primary.

        Returns:
            Whether the member was recorded.
        """
        if term <= self._last_primary[0]:
            return False
        self._last_primary = (term, server_id)
        return True

    def suspects(self) -> list[BackendServer] | None:
        """Unreachable members that may be the primary.

        Returns:
            The unreachable members, only the last known primary if there is one; an empty list
            when all that may be primary answer and none is; None when it is too early to tell.
        """
        last_primary = self._last_primary[1]
        candidates = [probe for probe in self._probes.values() if probe.server.id == last_primary]
        missing = [probe for probe in candidates or self._probes.values() if probe.status is None]
        if not all(probe.suspect for probe in missing):
            return None
        return [probe.server for probe in missing]

    def is_leaving(self, probe: MemberProbe) -> bool:
        """Whether the directory or the member itself reports that it is leaving."""
        return probe.server.leaving or (probe.status is not None and probe.status.leaving)

    def can_replace(self, probe: MemberProbe) -> bool:
        """Whether the other reachable members are a majority and one of them is not leaving."""
        others = [
            other
            for other in self._probes.values()
            if other is not probe and other.status is not None
        ]
        majority = len(self._probes) // 2 + 1
        return len(others) >= majority and any(not self.is_leaving(other) for other in others)

    def _statuses(self) -> list[MemberStatus]:
        return [probe.status for probe in self._probes.values() if probe.status is not None]
