"""Fetches term histories whose announcement this instance missed."""

from __future__ import annotations

import asyncio

from wigeonpoint.connection import (
    FetchHistoryMessage,
    FetchHistoryReply,
    PeerDispatcher,
    PeerTransport,
)
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.process._topology import Topology
from wigeonpoint.version import GroupView, TermHistory, TermStart

CHECK_INTERVAL_S = 1.0
FETCH_TIMEOUT_S = 0.5


class HistoryRepair:
    """Fetches a group's history when an answer or status shows a later term than it covers.

    The owners of the group's members watch the group and have the history, so that the repair
    does not depend on the platform.

    Args:
        topology: Known groups and owners.
        transport: Sends messages to owners.
    """

    def __init__(self, topology: Topology, transport: PeerTransport) -> None:
        self._topology = topology
        self._transport = transport
        self._task: asyncio.Task[None] | None = None

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler."""
        dispatcher.register(FetchHistoryMessage, self.on_fetch)

    def start(self) -> None:
        """Starts the periodic check."""
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stops the periodic check."""
        if self._task is not None:
            self._task.cancel()

    async def on_fetch(self, message: FetchHistoryMessage) -> FetchHistoryReply:
        """Returns the history known here.

        Raises:
            NotRun: UNKNOWN_GROUP for a group that the directory does not list.
        """
        group = self._topology.group(message.group)
        membership = group.membership
        known = membership.recorded if membership.recorded_term else ()
        return FetchHistoryReply(
            [(known.term, known.start) for known in group.history.starts],
            sorted(known),
            membership.recorded_term,
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for group in self._topology.groups:
                if group.history_missing:
                    await self._repair(group)

    async def _repair(self, group: GroupView) -> None:
        own = self._topology.own.id
        owners = {self._topology.owner_of(server) for server in group.servers}
        for owner in sorted(owners, key=lambda owner: owner.id):
            if owner.id == own or not group.history_missing:
                continue
            try:
                reply = await self._transport.request(
                    owner.address,
                    FetchHistoryMessage(group.name),
                    FetchHistoryReply,
                    timeout=FETCH_TIMEOUT_S,
                )
            except WigeonpointError:
                continue
            group.note_history(TermHistory(TermStart(*start) for start in reply.history))
            group.note_members(reply.members, reply.members_term)
