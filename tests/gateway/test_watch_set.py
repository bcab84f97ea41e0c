"""Fleets in which each instance pings only some of the others."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.gateway._cluster import DATA_CENTRES, ROUTES, SERVICE, GatewayCluster
from tests.gateway._platform import NAMES
from wigeonpoint.process.gateway._table_feed import FEED_WAIT_S
from wigeonpoint.process.gateway.control import CONTROL_TABLE, FULL_MESH_LIMIT, watch_set
from wigeonpoint.process.gateway.control._lease_keeper import STORE_READ_AFTER_S
from wigeonpoint.process.gateway.control._quorum_leases import RENEW_AFTER_S
from wigeonpoint.process.gateway.control._watch_set import store_reader
from wigeonpoint.version.catalogue import RegisteredInstance

pytestmark = pytest.mark.looptime(noop_cycles=0)

FLEET_SIZE = 24
# A promotion in the model takes 0.3 s; pings are less frequent in a large fleet.
CRASH_GAP_S = 0.3 + 1.0


def fleet(size: int, data_centres: int) -> dict[str, RegisteredInstance]:
    """Instances spread over data centres."""
    return {
        f"dc{number % data_centres}-{number:04}": RegisteredInstance(
            f"a{number}:1", f"dc{number % data_centres}"
        )
        for number in range(size)
    }


def readers(cluster: GatewayCluster) -> list[str]:
    """The instances that read the store on behalf of their data centres."""
    instances = next(iter(cluster.nodes.values())).gateway.control.instances
    return sorted({store_reader(name, instances) for name in instances})


class TestWatchSet:
    """Which instances an instance pings."""

    def test_small_fleet_watches_all_instances(self) -> None:
        """Guards against a small fleet whose leases depend on the store."""
        instances = fleet(FULL_MESH_LIMIT, 3)
        assert watch_set("dc0-0000", instances, active=()) == instances.keys() - {"dc0-0000"}

    @given(size=st.integers(9, 120), data_centres=st.integers(1, 13))
    def test_watch_set_does_not_grow_with_the_fleet(self, size: int, data_centres: int) -> None:
        """Guards against messages that grow with the square of the fleet."""
        instances = fleet(size, data_centres)
        for own in instances:
            watched = watch_set(own, instances, active={"dc0-0000"})
            assert len(watched) <= 2 * data_centres + 2
            elsewhere_count = sum(
                instances[name].data_centre != instances[own].data_centre for name in watched
            )
            assert elsewhere_count <= max(4, data_centres - 1) + 2
            assert own not in watched
            elsewhere = {instances[name].data_centre for name in watched}
            assert elsewhere >= {peer.data_centre for peer in instances.values()} - {
                instances[own].data_centre
            }

    def test_every_instance_is_watched_by_several(self) -> None:
        """Guards against an instance whose loss remains unnoticed."""
        instances = fleet(120, 5)
        watchers = Counter(
            name for own in instances for name in watch_set(own, instances, active=())
        )
        assert min(watchers[name] for name in instances) >= 2

    def test_coordinator_is_watched_by_all(self) -> None:
        """Guards against several new coordinators when only some notice the loss of the old."""
        instances = fleet(60, 3)
        for own in instances.keys() - {"dc2-0056"}:
            assert "dc2-0056" in watch_set(own, instances, active={"dc2-0056"})

    def test_instances_watch_the_store_reader_of_their_data_centre(self) -> None:
        """Guards against a large fleet in which every instance reads the store."""
        instances = fleet(60, 3)
        readers = {store_reader(own, instances) for own in instances}
        assert len(readers) == 3
        for own in instances.keys() - readers:
            assert store_reader(own, instances) in watch_set(own, instances, active=())


class TestLargeFleet:
    """Changes of primary, leases and registrations in a fleet of many instances."""

    async def test_crashed_primary_is_replaced(self) -> None:
        """Guards against watch sets that are too small to agree on a lost primary."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET_SIZE)
            caller = await cluster.caller("h-sargans-8", "current")
            cluster.member("chur").running = False
            result, gap = await cluster.write_until_served(caller, "WRITE a x", within_s=5.0)
            assert result.served
            assert gap <= CRASH_GAP_S
            assert len(cluster.promotion_calls) == 1

    async def test_lost_coordinator_is_replaced_by_one_instance(self) -> None:
        """Guards against a fleet without a coordinator."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET_SIZE)
            caller = await cluster.caller("h-sargans-8", "current")
            cluster.member("chur").running = False
            await cluster.write_until_served(caller, "WRITE a x", within_s=5.0)
            cluster.member("chur").running = True
            await asyncio.sleep(1.0)
            cluster.kill(cluster.promotion_calls[0].holder)
            await asyncio.sleep(1.5)
            cluster.group.leader().running = False
            result, _ = await cluster.write_until_served(caller, "WRITE a y", within_s=8.0)
            assert result.served
            tokens = [call.token for call in cluster.promotion_calls]
            assert tokens == sorted(tokens)
            assert len({(call.token, call.holder) for call in cluster.promotion_calls}) == 2

    async def test_only_the_lost_instance_is_deregistered(self) -> None:
        """Guards against a coordinator that deregisters instances that it does not watch."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET_SIZE)
            caller = await cluster.caller("h-sargans-8", "current")
            cluster.member("chur").running = False
            await cluster.write_until_served(caller, "WRITE a x", within_s=5.0)
            cluster.kill("h-stgallen-7")
            await asyncio.sleep(14.0)
            known = cluster.nodes["g-sargans"].gateway.control.instances
            assert known.keys() == cluster.nodes.keys()

    async def test_quorum_leases_allow_writes_while_the_store_is_unavailable(self) -> None:
        """Guards against an outage of the store that stops the writes of a large fleet."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET_SIZE)
            caller = await cluster.caller("h-sargans-8", "current")
            await caller.query("WRITE a first")
            cluster.store.down = True
            await asyncio.sleep(1.0)
            await caller.query("WRITE a second")
            await asyncio.sleep(0.5)
            for number in range(30):
                assert (await caller.query(f"WRITE a {number}")).served
                await asyncio.sleep(0.1)

    async def test_fleet_without_failures_deregisters_no_instance(self) -> None:
        """Guards against a coordinator that deregisters instances that it does not ping."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET_SIZE)
            await asyncio.sleep(12.0)
            written = Counter(
                row.key for row in cluster.store.history if row.table == CONTROL_TABLE
            )
            assert written == {f"instance/{name}": 1 for name in cluster.nodes}

    async def test_few_instances_read_the_store(self) -> None:
        """Guards against store calls that grow with the fleet."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET_SIZE)
            before = cluster.store.calls
            await asyncio.sleep(10.0)
            feeds = 3 * FLEET_SIZE * 10.0 / FEED_WAIT_S
            unshared_calls = 10.0 * FLEET_SIZE / STORE_READ_AFTER_S
            assert cluster.store.calls - before <= feeds + unshared_calls / 4
            for node in cluster.nodes.values():
                assert node.gateway.control.lease_valid

    async def test_store_calls_do_not_grow_with_the_fleet(self) -> None:
        """Guards against tables that every instance follows for itself."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET_SIZE)
            await asyncio.sleep(FEED_WAIT_S)  # calls that were under way have ended
            before = cluster.store.calls
            await asyncio.sleep(10.0)
            calls_of_reader = 3 * (10.0 / FEED_WAIT_S + 1) + 10.0 / STORE_READ_AFTER_S
            assert cluster.store.calls - before <= len(DATA_CENTRES) * calls_of_reader * 1.2

    @pytest.mark.parametrize("fault", ["none", "killed", "cut off"])
    async def test_configuration_reaches_all_instances(self, fault: str) -> None:
        """Guards against instances that depend on one that does not know the newest tables."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET_SIZE)
            await asyncio.sleep(FEED_WAIT_S)
            for name in readers(cluster):
                if fault == "killed":
                    cluster.kill(name)
                elif fault == "cut off":
                    cluster.nodes[name].platform.store.cut_off = True
            cluster.configure({**ROUTES, "added": (SERVICE, "CURRENT")})
            await asyncio.sleep(3.0)
            behind = [
                name
                for name, node in cluster.nodes.items()
                if "added" not in node.gateway.view.catalogue().routes
            ]
            assert not behind

    async def test_member_entries_that_expired_in_an_outage_stay_in_use_everywhere(self) -> None:
        """Guards against instances that copy a list in which running members are missing."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET_SIZE)
            await asyncio.sleep(FEED_WAIT_S)
            await cluster.stop_member_reports()
            cluster.store.down = True
            await asyncio.sleep(2.0)
            for member in cluster.group.members.values():
                cluster.store.drop(NAMES.members, member.record.id)
            cluster.store.down = False
            await asyncio.sleep(1.5)  # running members have registered again within two seconds
            for node in cluster.nodes.values():
                assert len(list(node.gateway.view.group(SERVICE).pools)) == len(DATA_CENTRES)

    async def test_instances_share_quorum_leases(self) -> None:
        """Guards against members that every instance of a large fleet asks for reports."""
        async with GatewayCluster() as cluster:
            await cluster.grow(FLEET_SIZE)
            callers = [await cluster.caller(name, "current") for name in list(cluster.nodes)]
            cluster.store.down = True
            loop = asyncio.get_running_loop()
            began = loop.time()
            for _ in range(30):
                await asyncio.gather(*(one.query("READ a") for one in callers if not one.closed))
                await asyncio.sleep(0.1)
            asked = sum(node.gateway.quorum_leases.asked for node in cluster.nodes.values())
            unshared_calls = (loop.time() - began) / RENEW_AFTER_S * len(DATA_CENTRES) * FLEET_SIZE
            assert asked <= unshared_calls / 2
