"""Sessions that write and read without pause, and a check of which members served them."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from itertools import count

from tests.gateway._cluster import CallerDisconnected, GatewayCluster

PAUSE_S = 0.02
SESSION_S = 1.0  # for which a session may take to open
ANSWER_S = 3.0


class PrimaryUse:
    """Uses the primary through one instance, and notes what a replaced primary served.

    Args:
        cluster: The cluster.
        name: Name of the instance.

    Attributes:
        served: Number of statements that were served.
        violations: Served statements that were sent after a promotion had been carried out, and
            that another member than the promoted one ran.
    """

    _ids = count(1)

    def __init__(self, cluster: GatewayCluster, name: str) -> None:
        self._cluster = cluster
        self._name = name
        self.served = 0
        self.violations: list[str] = []

    async def run(self, seconds: float) -> None:
        """Uses the primary for some seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(PAUSE_S)
            if self._name in self._cluster.nodes:
                await self._use_session(end)

    async def _use_session(self, end: float) -> None:
        """Writes and reads in one session until a time, or until the instance closes it."""
        loop = asyncio.get_running_loop()
        with suppress(CallerDisconnected, TimeoutError):
            async with asyncio.timeout(SESSION_S):
                caller = await self._cluster.connect(self._name, "current")
            while not caller.closed and caller.rejected is None and loop.time() < end:
                for text in ("WRITE a x", "READ a"):
                    statement_id = f"use{next(self._ids)}"
                    leader, sent_at = self._cluster.group.leader().record.id, loop.time()
                    async with asyncio.timeout(ANSWER_S):
                        result = await caller.query(text, statement_id=statement_id)
                    if result.served:
                        self._check(statement_id, text, leader, sent_at)
                    await asyncio.sleep(PAUSE_S)

    def _check(self, statement_id: str, text: str, leader: str, sent_at: float) -> None:
        self.served += 1
        members = self._cluster.group.members
        ran = [name for name, one in members.items() if one.runs_statement(statement_id)]
        current = self._cluster.group.leader().record.id
        if not {leader, current} & set(ran):
            self.violations.append(f"{sent_at:.2f} s: {text!r} by {self._name} ran at {ran}")
