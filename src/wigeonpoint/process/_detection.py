"""Ways to confirm that a member which misses probes is unreachable."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Protocol

from wigeonpoint.backend import Backend
from wigeonpoint.connection import (
    PeerDispatcher,
    PeerTransport,
    ProbeMemberMessage,
    ProbeMemberReply,
)
from wigeonpoint.errors import NotRun, ResultCode, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._topology import Topology
from wigeonpoint.version import BackendServer, InstanceRecord

PROBE_TIMEOUT_S = 0.5
PEER_PROBE_TIMEOUT_S = 0.8  # exceeds the peer's probe timeout plus the round trip to the peer
PEERS_TO_ASK = 3


class DetectionMethod(StrEnum):
    """How an unreachable primary is detected."""

    SINGLE = "single"
    SECOND_OPINION = "second_opinion"


class FailureDetector(Protocol):
    """Decides whether a member that missed its probes counts as unreachable."""

    async def confirms_unreachable(self, server: BackendServer) -> bool:
        """Whether the member counts as unreachable."""
        ...


class SingleWatcherDetector:
    """Relies on the probes of the watcher alone."""

    async def confirms_unreachable(self, server: BackendServer) -> bool:
        """Returns True for every member."""
        return True


class SecondOpinionDetector:
    """Asks peers, those of other data centres first, to probe the member as well.

    One peer that reaches the member is enough to keep it. If no peer answers, the watcher decides
    alone: it may be the only instance left, and a promotion still needs the table service and a
    majority of the members, which an isolated watcher does not reach.

    Args:
        topology: Live instances.
        transport: Sends messages to instances.
    """

    def __init__(self, topology: Topology, transport: PeerTransport) -> None:
        self._topology = topology
        self._transport = transport

    async def confirms_unreachable(self, server: BackendServer) -> bool:
        """Whether no asked peer reaches the member."""
        message = ProbeMemberMessage(server.group, server.id)
        reports = [
            asyncio.create_task(self._peer_reaches(instance, message))
            for instance in self._peers_to_ask(server)
        ]
        try:
            for report in asyncio.as_completed(reports):
                if await report:
                    log_event(Event.PRIMARY_REACHED_BY_PEER, group=server.group, server=server.id)
                    return False
            return True
        finally:
            for task in reports:
                task.cancel()

    def _peers_to_ask(self, server: BackendServer) -> list[InstanceRecord]:
        own = self._topology.own
        others = [known for known in self._topology.instances if known.id != own.id]
        # Peers in other data centres come first; among these, the member's data centre is last,
        # since its instances may fail together with the member.
        others.sort(
            key=lambda known: (
                known.data_centre == own.data_centre,
                known.data_centre == server.data_centre,
                known.id,
            )
        )
        return others[:PEERS_TO_ASK]

    async def _peer_reaches(self, instance: InstanceRecord, message: ProbeMemberMessage) -> bool:
        request = self._transport.request(
            instance.address, message, ProbeMemberReply, timeout=PEER_PROBE_TIMEOUT_S
        )
        try:
            # The transport's timeout does not include the time to open a connection.
            reply = await asyncio.wait_for(request, PEER_PROBE_TIMEOUT_S)
        except (WigeonpointError, TimeoutError):
            return False
        return reply.reached


class MemberProbeService:
    """Probes members for peers that ask for a second opinion.

    Args:
        topology: Known groups.
        backend: Access to the members.
    """

    def __init__(self, topology: Topology, backend: Backend) -> None:
        self._topology = topology
        self._backend = backend

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler."""
        dispatcher.register(ProbeMemberMessage, self.probe)

    async def probe(self, message: ProbeMemberMessage) -> ProbeMemberReply:
        """Probes a member once.

        Raises:
            NotRun: UNKNOWN_GROUP when the directory known here lists no such group or member.
        """
        group = self._topology.group(message.group)
        server = group.server(message.server_id)
        if server is None:
            raise NotRun(
                ResultCode.UNKNOWN_GROUP, f"backend server {message.server_id} is not listed here"
            )
        try:
            status = await self._backend.member(server.address).status(timeout=PROBE_TIMEOUT_S)
        except WigeonpointError:
            return ProbeMemberReply(reached=False)
        group.note_status(server.id, status)
        return ProbeMemberReply(reached=True)
