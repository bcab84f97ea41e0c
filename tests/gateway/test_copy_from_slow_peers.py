"""Changes of the configuration that reach an instance only through copies of its peers."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.gateway._cluster import ROUTES, SERVICE, GatewayCluster
from wigeonpoint.errors import OutcomeUnknown, ResultCode
from wigeonpoint.process.gateway.control._messages import FetchTable
from wigeonpoint.process.gateway.control._table_exchange import FETCH_TIMEOUT_S

pytestmark = pytest.mark.looptime(noop_cycles=0)

FLEET = 14
ACTIVE_S = 5.0  # in which a change is to be in force in a fleet of this size


class HangingCopies:
    """Peers that answer everything but requests for copies of a table.

    Attributes:
        addresses: Their addresses.
        hung: Number of requests that they left unanswered.
    """

    def __init__(self) -> None:
        self.addresses: set[str] = set()
        self.hung = 0

    async def hold(self, stage: str, address: str, message: Any) -> None:
        """Holds requests for copies."""
        if stage == "sent" and isinstance(message, FetchTable) and address in self.addresses:
            self.hung += 1
            await asyncio.sleep(FETCH_TIMEOUT_S)
            raise OutcomeUnknown(ResultCode.DEADLINE_EXCEEDED, f"no answer from {address}")


class TestHangingPeers:
    """Peers that tell of a change, and of which some never give their copy."""

    @pytest.mark.parametrize("hanging", [2, 3])
    async def test_change_arrives_from_another_peer_in_time(self, hanging: int) -> None:
        """Guards against an instance that waits for one peer after the other."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET)
            behind = [name for name, node in cluster.nodes.items() if node.data_centre == "chur"]
            for name in behind:
                cluster.nodes[name].platform.store.cut_off = True
            await asyncio.sleep(2.0)
            asking = cluster.nodes[behind[0]].gateway
            copies = HangingCopies()
            watched = sorted(asking.peers.watched)
            copies.addresses = {
                asking.control.peers[name].address
                for name in watched
                if cluster.nodes[name].data_centre != "chur"
            }
            # One peer gives its copy: the last of those that the instance asks.
            healthy = sorted(copies.addresses)[-1]
            copies.addresses = set(sorted(copies.addresses - {healthy})[:hanging])
            copies.addresses |= {f"{name}:1" for name in behind}
            cluster.network.on_message = copies.hold
            cluster.configure({**ROUTES, "new": (SERVICE, "CURRENT")})
            await asyncio.sleep(ACTIVE_S)
            assert copies.hung > 0
            assert "new" in asking.view.catalogue().routes
