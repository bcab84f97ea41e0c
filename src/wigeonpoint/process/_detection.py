"""Methods of deciding that a member which misses probes is really out of reach."""

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
OPINION_TIMEOUT_S = 0.8  # above the probe timeout of the asked instance plus the way there and back
OPINIONS = 3


class DetectionMethod(StrEnum):
    """How an unreachable primary is detected."""

    SINGLE = "single"
    SECOND_OPINION = "second_opinion"


class FailureDetector(Protocol):
    """Decides whether a member that missed its probes is to be replaced."""

    async def confirms_unreachable(self, server: BackendServer) -> bool:
        """Whether the member counts as unreachable."""
        ...


class SingleWatcherDetector:
    """Takes the word of the watcher that missed its probes."""

    async def confirms_unreachable(self, server: BackendServer) -> bool:
        """Always agrees."""
        return True


class SecondOpinionDetector:
    """Asks other instances, those of other data centres first, to probe the member.

    One instance that reaches the member is enough to keep it. When no instance answers, the
    watcher decides alone: it may be the only one left, and a promotion still needs the table
    service and a majority of the members, which an isolated watcher does not reach.

    Args:
        topology: Live instances.
        transport: Sends messages to instances.
    """

    def __init__(self, topology: Topology, transport: PeerTransport) -> None:
        self._topology = topology
        self._transport = transport

    async def confirms_unreachable(self, server: BackendServer) -> bool:
        """Whether no asked instance reaches the member."""
        message = ProbeMemberMessage(server.group, server.id)
        opinions = [
            asyncio.create_task(self._ask(instance, message)) for instance in self._advisers(server)
        ]
        try:
            for opinion in asyncio.as_completed(opinions):
                if await opinion:
                    log_event(Event.PRIMARY_REACHED_BY_PEER, group=server.group, server=server.id)
                    return False
            return True
        finally:
            for task in opinions:
                task.cancel()

    def _advisers(self, server: BackendServer) -> list[InstanceRecord]:
        own = self._topology.own
        others = [known for known in self._topology.instances if known.id != own.id]
        # Other data centres than the watcher's come first, and the member's own last among
        # them: it fails together with the member.
        others.sort(
            key=lambda known: (
                known.data_centre == own.data_centre,
                known.data_centre == server.data_centre,
                known.id,
            )
        )
        return others[:OPINIONS]

    async def _ask(self, instance: InstanceRecord, message: ProbeMemberMessage) -> bool:
        request = self._transport.request(
            instance.address, message, ProbeMemberReply, timeout=OPINION_TIMEOUT_S
        )
        try:
            # The transport's own limit leaves out the time for a new connection.
            reply = await asyncio.wait_for(request, OPINION_TIMEOUT_S)
        except (WigeonpointError, TimeoutError):
            return False
        return reply.reached


class MemberProbeService:
    """Answers other instances that ask for a second opinion.

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
        """Probes a member once; a member that is not listed here gives no opinion.

        Raises:
            NotRun: UNKNOWN_GROUP.
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
