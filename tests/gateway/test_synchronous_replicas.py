"""Changes of primary in groups whose commits are acknowledged once replicas have received them."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway._cluster import ROUTES, GatewayCluster, write_values

pytestmark = pytest.mark.looptime(noop_cycles=0)

BUSY_REPORT_S = 0.8  # of a replica with a full queue
CHANGE_S = 6.0  # in which a change of primary is to be complete


async def start_synchronous(cluster: GatewayCluster) -> None:
    """Has commits wait for one replica from now on."""
    cluster.configure(ROUTES, synchronous_replicas=1)
    await asyncio.sleep(0.5)


class TestCrash:
    """A primary that crashes after only one replica has received its last commits."""

    async def test_busy_replica_with_the_commits_is_promoted(self) -> None:
        """Guards against an idle replica that is promoted although it lacks commits."""
        async with GatewayCluster() as cluster:
            await start_synchronous(cluster)
            cluster.member("sargans").deaf = True
            cluster.member("stgallen").report_s = BUSY_REPORT_S
            caller = await cluster.caller("g-chur", "current")
            values = await write_values(caller, 20)
            cluster.member("chur").running = False
            result, gap = await cluster.write_until_served(caller, "WRITE a after", within_s=8.0)
            assert result.served
            assert gap <= CHANGE_S
            assert cluster.group.leader() is cluster.member("stgallen")
            assert [entry.value for entry in cluster.group.leader().log][:20] == values

    async def test_no_other_member_is_promoted_until_the_silent_replica_is_back(self) -> None:
        """Guards against commits that are lost because the replica that has them is away."""
        async with GatewayCluster() as cluster:
            await start_synchronous(cluster)
            cluster.member("sargans").deaf = True
            caller = await cluster.caller("g-chur", "current")
            values = await write_values(caller, 20)
            cluster.member("stgallen").running = False
            cluster.member("chur").running = False
            await asyncio.sleep(5.0)
            assert cluster.group.promotions == 0
            cluster.member("stgallen").running = True
            result, _ = await cluster.write_until_served(caller, "WRITE a after", within_s=8.0)
            assert result.served
            assert [entry.value for entry in cluster.group.leader().log][:20] == values

    async def test_leaving_replica_with_the_commits_is_promoted(self) -> None:
        """Guards against commits that are lost because the replica that has them is leaving."""
        async with GatewayCluster() as cluster:
            await start_synchronous(cluster)
            cluster.member("sargans").deaf = True
            cluster.announce_shutdown(cluster.member("stgallen"))
            caller = await cluster.caller("g-chur", "current")
            values = await write_values(caller, 20)
            cluster.member("chur").running = False
            result, _ = await cluster.write_until_served(caller, "WRITE a after", within_s=8.0)
            assert result.served
            assert [entry.value for entry in cluster.group.leader().log][:20] == values


class TestCommitsDuringTheClaim:
    """Commits that are acknowledged after the members were asked."""

    async def test_candidate_that_falls_behind_meanwhile_is_not_promoted(self) -> None:
        """Guards against a planned change that loses what only the other replica received."""
        async with GatewayCluster() as cluster:
            await start_synchronous(cluster)
            caller = await cluster.caller("g-chur", "current")
            values = await write_values(caller, 5)
            cluster.member("sargans").deaf = True
            for name in ("stgallen", "sargans"):
                cluster.member(name).report_s = 0.1
            cluster.announce_shutdown(cluster.member("chur"))
            for number in range(100):
                if (await caller.query(f"WRITE a n{number}")).served:
                    values.append(f"n{number}")
                await asyncio.sleep(0.02)
            assert cluster.group.promotions == 1
            log = [entry.value for entry in cluster.group.leader().log]
            assert [value for value in log if value in values] == values
