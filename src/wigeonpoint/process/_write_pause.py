"""Pauses writes to a primary during a planned handover."""

from __future__ import annotations

import asyncio

from wigeonpoint.connection import Acknowledgement, PauseWritesMessage
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process._deadlines import deadline_passed_error
from wigeonpoint.process._topology import Topology

MAX_PAUSE_S = 2.0
CHECK_INTERVAL_S = 0.01


class WritePause:
    """Holds back writes at the owner of a primary for a limited time.

    The pause only shortens the handover and is not needed for safety: a write that is not held back
    is in the leaving member's log, which the handover compares after fencing that member.

    Args:
        topology: Known groups; they show when the new primary is in place.
    """

    def __init__(self, topology: Topology) -> None:
        self._topology = topology
        self._paused_until: dict[str, float] = {}

    async def pause(self, message: PauseWritesMessage) -> Acknowledgement:
        """Starts or extends a pause."""
        now = asyncio.get_running_loop().time()
        self._paused_until = {
            server: paused_until
            for server, paused_until in self._paused_until.items()
            if paused_until > now
        }
        pause_s = min(message.pause_ms / 1000, MAX_PAUSE_S)
        self._paused_until[message.server_id] = max(
            self._paused_until.get(message.server_id, 0.0), now + pause_s
        )
        return Acknowledgement()

    async def wait(self, group: str, server_id: str, deadline: float) -> None:
        """Waits while writes to a server are paused.

        Raises:
            NotRun: NOT_PRIMARY when another primary replaced the server, DEADLINE_UNREACHABLE
                when the deadline passed during the pause.
        """
        paused_until = self._paused_until.get(server_id)
        if paused_until is None:
            return
        loop = asyncio.get_running_loop()
        while loop.time() < paused_until:
            if loop.time() >= deadline:
                raise deadline_passed_error("the deadline passed during a handover of the primary")
            primary = self._topology.group(group).primary
            if primary is not None and primary.id != server_id:
                raise NotRun(
                    ResultCode.NOT_PRIMARY,
                    f"{server_id} handed the primary role over to {primary.id}",
                )
            await asyncio.sleep(CHECK_INTERVAL_S)
