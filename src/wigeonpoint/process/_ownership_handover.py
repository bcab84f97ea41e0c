"""Releases backend servers that another instance owns now and drops their unused state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from wigeonpoint.backend import Backend
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.process._owner import OwnedServer
from wigeonpoint.process._owner_counters import OwnerCounters
from wigeonpoint.process._topology import Topology

CHECK_INTERVAL_S = 1.0
STATUS_TIMEOUT_S = 0.5


class OwnershipHandover:
    """Applies ownership to the per-server state of this instance.

    Args:
        topology: Live instances and groups.
        owned: Per-server state by server id, shared with the owner service.
        backend: Access to backend servers.
        in_use: Whether a server has open transactions.
    """

    def __init__(
        self,
        topology: Topology,
        owned: dict[str, OwnedServer],
        backend: Backend,
        in_use: Callable[[str], bool],
    ) -> None:
        self._topology = topology
        self._owned = owned
        self._backend = backend
        self._in_use = in_use
        self._task: asyncio.Task[None] | None = None
        self._retired = OwnerCounters()

    @property
    def retired(self) -> OwnerCounters:
        """Counter totals of the servers whose state this instance has dropped."""
        return self._retired

    def start(self) -> None:
        """Starts the periodic check."""
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stops the periodic check."""
        if self._task is not None:
            self._task.cancel()

    def apply(self) -> None:
        """Releases servers that another instance owns now, and resumes those owned again."""
        for server_id, owned in list(self._owned.items()):
            if self._topology.owns(owned.server):
                owned.resume_ownership()
                continue
            owned.release_ownership()
            if not owned.pool.open and not self._in_use(server_id):
                self._retired = self._retired.plus([owned])
                del self._owned[server_id]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.apply()
            await asyncio.gather(*(self._check_status(o) for o in list(self._owned.values())))

    async def _check_status(self, owned: OwnedServer) -> None:
        """Reads from the server that it is leaving, which the directory may report later."""
        member = self._backend.member(owned.server.address)
        with suppress(WigeonpointError):
            status = await member.status(timeout=STATUS_TIMEOUT_S)
            self._topology.group(owned.server.group).note_status(owned.server.id, status)
