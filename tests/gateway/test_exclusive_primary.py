"""At no time do two members serve as primaries of one group."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway._cluster import GatewayCluster
from tests.gateway._primary_use import PrimaryUse

pytestmark = pytest.mark.looptime(noop_cycles=0)

KNOWN_S = 0.3  # after which all instances know of a registration or deregistration
RESTART_S = 0.7


class TestCutDuringRestart:
    """A data centre is cut off while the instances elsewhere are being restarted."""

    @staticmethod
    async def restart_behind_cut(cluster: GatewayCluster) -> None:
        """Cuts chur off while the two other instances restart, as in a rolling restart."""
        others = {"g-stgallen": "stgallen", "g-sargans": "sargans"}
        await asyncio.gather(*(cluster.nodes[name].gateway.drain() for name in others))
        for name in others:
            cluster.kill(name)
        await asyncio.sleep(KNOWN_S)
        cluster.isolate("chur")
        await asyncio.sleep(RESTART_S)
        for name, data_centre in others.items():
            cluster.start(name, data_centre)

    async def test_instance_that_knows_no_others_stops_using_its_primary(self) -> None:
        """Guards against leases renewed by the answers of no peers at all behind a partition."""
        async with GatewayCluster() as cluster:
            await self.restart_behind_cut(cluster)
            behind = PrimaryUse(cluster, "g-chur")
            outside = PrimaryUse(cluster, "g-stgallen")
            await asyncio.gather(behind.run(8.0), outside.run(8.0))
            assert behind.violations == []
            assert cluster.group.promotions == 1
            assert outside.served > 50

    async def test_neighbours_behind_the_cut_do_not_renew_each_others_leases(self) -> None:
        """Guards against instances behind a partition that ask only each other."""
        async with GatewayCluster() as cluster:
            cluster.start("h-chur", "chur")
            await asyncio.sleep(1.0)
            await self.restart_behind_cut(cluster)
            uses = [PrimaryUse(cluster, name) for name in ("g-chur", "h-chur", "g-stgallen")]
            await asyncio.gather(*(use.run(8.0) for use in uses))
            assert [use.violations for use in uses] == [[], [], []]
            assert cluster.group.promotions == 1
            assert uses[-1].served > 50
