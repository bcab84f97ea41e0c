"""Pauses the writes to a primary while it is handed over."""

from __future__ import annotations

import asyncio

from wigeonpoint.connection import Acknowledgement, PauseWritesMessage
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process._deadlines import deadline_passed
from wigeonpoint.process._topology import Topology

MAX_PAUSE_S = 2.0
CHECK_S = 0.01


class WritePause:
    """Holds writes back at the owner of a primary, for a bounded time.

    The pause only makes a handover short: a write that passes all the same is in the leaving
    member's log, which the handover compares after fencing it.

    Args:
        topology: Known groups, which learn of the new primary.
    """

    def __init__(self, topology: Topology) -> None:
        self._topology = topology
        self._until: dict[str, float] = {}

    async def pause(self, message: PauseWritesMessage) -> Acknowledgement:
        """Starts a pause, or makes it longer."""
        now = asyncio.get_running_loop().time()
        self._until = {server: until for server, until in self._until.items() if until > now}
        length = min(message.pause_ms / 1000, MAX_PAUSE_S)
        self._until[message.server_id] = max(self._until.get(message.server_id, 0.0), now + length)
        return Acknowledgement()

    async def wait(self, group: str, server_id: str, deadline: float) -> None:
        """Waits until a write may go to a server.

        Raises:
            NotRun: NOT_PRIMARY when the server was replaced meanwhile, DEADLINE_UNREACHABLE.
        """
        until = self._until.get(server_id)
        if until is None:
            return
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            if loop.time() >= deadline:
                raise deadline_passed("the deadline passed in a handover")
            primary = self._topology.group(group).primary
            if primary is not None and primary.id != server_id:
                raise NotRun(ResultCode.NOT_PRIMARY, f"{server_id} was handed over")
            await asyncio.sleep(CHECK_S)
