"""Collects the burn counts of all reachable instances."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from wigeonpoint.connection import PeerDispatcher, PeerTransport
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.process._request_recorder import RequestRecorder, objective_of
from wigeonpoint.process._topology import Topology
from wigeonpoint.report import (
    BurnReport,
    BurnSnapshot,
    build_burn_report,
    merge_snapshots,
)
from wigeonpoint.version import Configuration, InstanceRecord

PEER_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class BurnMessage:
    """Requests an instance's counts."""


class BurnService:
    """Answers peers with the counts of this instance and merges those of all.

    Args:
        topology: Live instances.
        transport: Sends messages to instances.
        recorder: Counts of this instance.
    """

    def __init__(
        self, topology: Topology, transport: PeerTransport, recorder: RequestRecorder
    ) -> None:
        self._topology = topology
        self._transport = transport
        self._recorder = recorder

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler of `BurnMessage`."""
        dispatcher.register(BurnMessage, self._on_burn)

    async def report(self, configuration: Configuration) -> BurnReport:
        """Merges the counts of all live instances and lists those that did not answer."""
        instances = self._topology.instances
        snapshots = await asyncio.gather(
            *(self._request_snapshot(instance) for instance in instances)
        )
        unreachable = [
            instance.id
            for instance, snapshot in zip(instances, snapshots, strict=True)
            if snapshot is None
        ]
        merged = merge_snapshots(snapshot for snapshot in snapshots if snapshot is not None)
        return build_burn_report(
            merged,
            lambda route, rank: objective_of(configuration, route, rank),
            unreachable=unreachable,
        )

    async def _on_burn(self, message: BurnMessage) -> BurnSnapshot:
        return self._recorder.burn(self._topology.own.id)

    async def _request_snapshot(self, instance: InstanceRecord) -> BurnSnapshot | None:
        try:
            return await self._transport.request(
                instance.address, BurnMessage(), BurnSnapshot, timeout=PEER_TIMEOUT_S
            )
        except WigeonpointError:
            return None
