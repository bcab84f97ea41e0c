"""Prepares the handover of a leaving primary, so that no acknowledged write is lost."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from wigeonpoint.backend import Backend
from wigeonpoint.connection import Acknowledgement, PauseWritesMessage, PeerTransport
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.process._topology import Topology
from wigeonpoint.process._write_pause import MAX_PAUSE_S
from wigeonpoint.version import BackendServer, GroupView, member_statuses

PAUSE_TIMEOUT_S = 0.5
STATUS_TIMEOUT_S = 0.5
POLL_INTERVAL_S = 0.01
RETRY_AFTER_S = 10.0  # after a write pause in which no replica caught up


class PlannedHandover:
    """Pauses the leaving primary's writes until a staying member has its whole log.

    Args:
        topology: Finds the owner of the leaving member.
        transport: Sends messages to instances.
        backend: Access to the members.
    """

    def __init__(self, topology: Topology, transport: PeerTransport, backend: Backend) -> None:
        self._topology = topology
        self._transport = transport
        self._backend = backend
        self._retry_at: dict[str, float] = {}

    def may_start(self, group: GroupView) -> bool:
        """Whether enough time has passed since the last postponed handover."""
        now = asyncio.get_running_loop().time()
        return now >= self._retry_at.get(group.name, 0.0)

    async def prepare(self, group: GroupView, leaving: BackendServer) -> bool:
        """Pauses writes and waits for a staying member to catch up.

        Returns:
            Whether one did; otherwise the handover is postponed and writes continue.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + MAX_PAUSE_S
        message = PauseWritesMessage(group.name, leaving.id, MAX_PAUSE_S * 1000)
        # If the pause fails, a member may still catch up between two writes.
        with suppress(WigeonpointError):
            await self._transport.request(
                self._topology.owner_of(leaving).address,
                message,
                Acknowledgement,
                timeout=PAUSE_TIMEOUT_S,
            )
        while loop.time() < end:
            if await self._member_caught_up(group, leaving):
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        self._retry_at[group.name] = loop.time() + RETRY_AFTER_S
        return False

    async def _member_caught_up(self, group: GroupView, leaving: BackendServer) -> bool:
        statuses = await member_statuses(group.servers, self._backend, timeout=STATUS_TIMEOUT_S)
        leaving_status = statuses.pop(leaving.id, None)
        staying = {server.id for server in group.servers if not server.leaving}
        return leaving_status is not None and any(
            status.at >= leaving_status.at and not status.leaving
            for server_id, status in statuses.items()
            if server_id in staying
        )
