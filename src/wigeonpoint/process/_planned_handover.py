"""Prepares the handover of a leaving primary, so that it loses no acknowledged write."""

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
CHECK_S = 0.01
RETRY_AFTER_S = 10.0  # after a pause in which no replica caught up


class PlannedHandover:
    """Pauses the leaving primary's writes and waits until a staying member holds its log.

    Args:
        topology: Finds the owner of the leaving member.
        transport: Sends messages to instances.
        backend: Access to the members.
    """

    def __init__(self, topology: Topology, transport: PeerTransport, backend: Backend) -> None:
        self._topology = topology
        self._transport = transport
        self._backend = backend
        self._not_before: dict[str, float] = {}

    def due(self, group: GroupView) -> bool:
        """Whether enough time has passed since a handover that was put off."""
        now = asyncio.get_running_loop().time()
        return now >= self._not_before.get(group.name, 0.0)

    async def prepare(self, group: GroupView, leaving: BackendServer) -> bool:
        """Waits for a staying member to catch up.

        Returns:
            Whether one did; otherwise the handover is put off and writes go on.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + MAX_PAUSE_S
        message = PauseWritesMessage(group.name, leaving.id, MAX_PAUSE_S * 1000)
        with suppress(WigeonpointError):  # without a pause, a quiet moment may still be met
            await self._transport.request(
                self._topology.owner_of(leaving).address,
                message,
                Acknowledgement,
                timeout=PAUSE_TIMEOUT_S,
            )
        while loop.time() < end:
            if await self._caught_up(group, leaving):
                return True
            await asyncio.sleep(CHECK_S)
        self._not_before[group.name] = loop.time() + RETRY_AFTER_S
        return False

    async def _caught_up(self, group: GroupView, leaving: BackendServer) -> bool:
        statuses = await member_statuses(group.servers, self._backend, timeout=STATUS_TIMEOUT_S)
        last = statuses.pop(leaving.id, None)
        staying = {server.id for server in group.servers if not server.leaving}
        return last is not None and any(
            status.at >= last.at and not status.leaving
            for server_id, status in statuses.items()
            if server_id in staying
        )
