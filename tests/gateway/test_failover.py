"""Changes of primary after a crash, during a network partition, and without the store."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from tests.gateway._cluster import SERVICE, GatewayCluster, assert_logged_once, write_values
from tests.gateway._members import Entry
from wigeonpoint.backend import LogPosition
from wigeonpoint.connection.session import CallerDisconnected
from wigeonpoint.process.gateway.control import FLEET_VIEW_MAX_AGE_S, LEASE_DURATION_S

pytestmark = pytest.mark.looptime(noop_cycles=0)

# The promotion takes 0.3 s in the model; the rest is for detection, claim and announcement.
CRASH_GAP_S = 0.3 + 0.7
UNCONFIRMED_GAP_S = 0.3 + 0.7 + LEASE_DURATION_S


class TestCrash:
    """A primary that crashes."""

    async def test_writes_continue_at_a_replica(self) -> None:
        """Guards against a group without a primary, and against lost acknowledged writes."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-stgallen", "current")
            values = await write_values(caller, 5)
            cluster.member("chur").running = False
            result, gap = await cluster.write_until_served(caller, "WRITE a after", within_s=5.0)
            assert result.served
            assert gap <= CRASH_GAP_S
            assert_logged_once(cluster, values)
            assert len(cluster.promotion_calls) == 1

    async def test_reads_continue_at_replicas(self) -> None:
        """Guards against reads that wait for a lost primary although replicas may serve them."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-stgallen", "current")
            await write_values(caller, 5)
            reader = await cluster.caller("g-stgallen", "aged")
            cluster.member("chur").running = False
            for _ in range(10):
                assert (await reader.query("READ a")).served
                await asyncio.sleep(0.05)

    async def test_replica_with_the_longest_log_is_promoted(self) -> None:
        """Guards against a promotion that discards writes which another replica had received."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-chur", "current")
            cluster.network.cut("chur", "stgallen")
            result = await caller.query("WRITE a only-in-sargans")
            assert result.served
            cluster.network.heal()
            cluster.member("chur").running = False
            await cluster.write_until_served(caller, "WRITE a after", within_s=5.0)
            assert cluster.group.leader().record.id == "m-sargans"

    async def test_failed_coordinator_is_replaced_with_a_higher_token(self) -> None:
        """Guards against a claim that is never completed, and against a token used twice."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-sargans", "current")
            cluster.member("chur").running = False
            while not cluster.promotion_calls:
                assert (await caller.query("WRITE a x")).reply.refusal is not None
                await asyncio.sleep(0.01)
            cluster.group.promote_s = 10.0
            cluster.kill(cluster.promotion_calls[0].holder)
            cluster.group.promote_s = 0.3
            result, _ = await cluster.write_until_served(caller, "WRITE a after", within_s=12.0)
            assert result.served
            tokens = [call.token for call in cluster.promotion_calls]
            assert tokens == sorted(tokens)
            holders = {call.token: call.holder for call in cluster.promotion_calls}
            assert all(holders[call.token] == call.holder for call in cluster.promotion_calls)

    async def test_taken_over_claim_keeps_its_candidate(self) -> None:
        """Guards against a second primary if the first call is carried out after a takeover."""
        async with GatewayCluster() as cluster:
            cluster.group.promote_s = 2.5
            caller = await cluster.caller("g-sargans", "current")
            cluster.isolate("chur")
            while not cluster.promotion_calls:
                await caller.query("WRITE a x")
                await asyncio.sleep(0.01)
            cluster.network.heal()
            # The old primary now has the longest log and would be chosen for that alone.
            cluster.member("chur").receive(Entry(LogPosition(1, 99), "b", "late", "late"))
            holder = cluster.promotion_calls[0].holder
            cluster.kill(holder)
            other = "g-sargans" if holder != "g-sargans" else "g-stgallen"
            caller = await cluster.caller(other, "current")
            result, _ = await cluster.write_until_served(caller, "WRITE a after", within_s=12.0)
            assert result.served
            assert len({call.member_id for call in cluster.promotion_calls}) == 1
            assert cluster.group.commits_after_replacement == []


class TestPartition:
    """A network partition that cuts off the data centre of the primary."""

    async def test_replaced_primary_acknowledges_no_writes(self) -> None:
        """Guards against a replaced primary that still acknowledges writes inside the partition."""
        async with GatewayCluster() as cluster:
            inside = await cluster.caller("g-chur", "current")
            outside = await cluster.caller("g-sargans", "current")
            await write_values(outside, 3)
            cluster.isolate("chur")
            served_inside: list[tuple[float, str]] = []
            loop = asyncio.get_running_loop()
            began = loop.time()
            promoted_at = None
            while loop.time() - began < 4.0:
                if not inside.closed:  # the gateway closes the connection after a while
                    with suppress(CallerDisconnected):
                        result = await inside.query("WRITE b inside")
                        if result.served:
                            served_inside.append((loop.time(), "inside"))
                if promoted_at is None and cluster.group.leader().record.id != "m-chur":
                    promoted_at = loop.time()
                await asyncio.sleep(0.02)
            assert promoted_at is not None
            assert all(at <= promoted_at for at, _ in served_inside)
            assert cluster.group.commits_after_replacement == []
            result, _ = await cluster.write_until_served(outside, "WRITE a after", within_s=1.0)
            assert result.served
            assert loop.time() - began >= LEASE_DURATION_S

    async def test_partitioned_primary_is_replaced_once_its_lease_has_expired(self) -> None:
        """Guards against waits for instances and for members that do not overlap."""
        async with GatewayCluster() as cluster:
            await asyncio.sleep(FLEET_VIEW_MAX_AGE_S)
            outside = await cluster.caller("g-sargans", "current")
            await write_values(outside, 3)
            cluster.isolate("chur")
            result, gap = await cluster.write_until_served(outside, "WRITE a after", within_s=6.0)
            assert result.served
            assert gap <= UNCONFIRMED_GAP_S

    async def test_claimant_that_has_just_registered_replaces_a_partitioned_primary(self) -> None:
        """Guards against a new fleet that replaces a primary much later than it has to."""
        async with GatewayCluster() as cluster:
            outside = await cluster.caller("g-sargans", "current")
            await write_values(outside, 3)
            cluster.isolate("chur")
            result, gap = await cluster.write_until_served(outside, "WRITE a after", within_s=6.0)
            assert result.served
            assert gap <= FLEET_VIEW_MAX_AGE_S

    async def test_instance_without_a_lease_opens_few_connections_to_its_primary(self) -> None:
        """Guards against an isolated instance that floods a member with connections."""
        async with GatewayCluster() as cluster:
            inside = await cluster.caller("g-chur", "current")
            await write_values(inside, 3)
            cluster.isolate("chur")
            for _ in range(60):
                if inside.closed:
                    break
                with suppress(CallerDisconnected):
                    await inside.query("WRITE a x")
                await asyncio.sleep(0.02)
            pool = cluster.nodes["g-chur"].gateway.view.groups[SERVICE].pool("m-chur")
            assert pool is not None
            assert pool.opened + pool.refused <= 10

    async def test_isolated_gateway_is_not_ready_until_the_partition_ends(self) -> None:
        """Guards against a balancer that sends callers to an instance without a usable primary."""
        async with GatewayCluster() as cluster:
            gateway = cluster.nodes["g-chur"].gateway
            assert gateway.ready
            cluster.isolate("chur")
            await asyncio.sleep(1.0)
            assert not gateway.ready
            assert cluster.nodes["g-sargans"].gateway.ready
            cluster.network.heal()
            await asyncio.sleep(1.0)
            assert gateway.ready

    async def test_lease_that_was_never_renewed_is_watched_on(self) -> None:
        """Guards against a watch that ends, after which the instance replaces no primary.

        The first instance of a fleet has a lease alone; it loses it when the others register.
        """
        async with GatewayCluster() as cluster:
            control = cluster.nodes["g-chur"].gateway.control
            cluster.isolate("chur")
            control.lease._store_read_at = float("-inf")
            control.lease._answers.clear()
            await asyncio.sleep(0.1)
            assert control.lease_valid_since is None
            cluster.network.heal()
            await asyncio.sleep(1.0)
            assert control.lease_valid_since is not None

    async def test_isolated_half_of_the_instances_promotes_nobody_on_its_return(self) -> None:
        """Guards against a false promotion decided on observations from a partition."""
        async with GatewayCluster() as cluster:
            cluster.start("g-sargans-2", "sargans")
            await asyncio.sleep(1.0)
            inside = [
                await cluster.caller(name, "current") for name in ("g-sargans", "g-sargans-2")
            ]
            cluster.isolate("sargans")
            for _ in range(30):
                for caller in inside:
                    if not caller.closed:
                        with suppress(CallerDisconnected):
                            await caller.query("WRITE a 1")
                await asyncio.sleep(0.05)
            cluster.network.heal()
            await asyncio.sleep(3.0)
            assert cluster.promotion_calls == []
            assert cluster.group.leader().record.id == "m-chur"

    @pytest.mark.parametrize("healed_after_s", [0.0, 0.2, 0.4, 0.6, 0.8])
    async def test_failures_during_a_partition_do_not_replace_the_new_primary(
        self, healed_after_s: float
    ) -> None:
        """Guards against a promotion because of connection failures during a partition."""
        async with GatewayCluster() as cluster:
            cluster.start("g-chur-2", "chur")
            await asyncio.sleep(1.0)
            cluster.isolate("chur")
            callers = [await cluster.caller(name, "aged") for name in ("g-chur", "g-chur-2")]
            for _ in range(100):
                for caller in callers:
                    if not caller.closed:
                        with suppress(CallerDisconnected):
                            await caller.query("READ a")
                await asyncio.sleep(0.04)
            assert [call.member_id for call in cluster.promotion_calls] == ["m-stgallen"]
            await asyncio.sleep(healed_after_s)
            cluster.network.heal()
            cluster.network.cut("chur", "sargans")  # the coordinator stays unreachable
            await asyncio.sleep(3.0)
            assert len(cluster.promotion_calls) == 1

    async def test_one_instance_that_cannot_reach_the_primary_promotes_nobody(self) -> None:
        """Guards against a false promotion for a network fault at a single instance."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-stgallen", "current")
            cluster.network.cut("stgallen", "chur")
            for _ in range(20):
                await caller.query("WRITE a 1")
                await asyncio.sleep(0.1)
            assert cluster.promotion_calls == []


class TestStoreOutage:
    """Outages of the store."""

    async def test_writes_continue_while_the_store_is_unavailable(self) -> None:
        """Guards against writes that need the store."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-stgallen", "current")
            cluster.store.down = True
            for number in range(40):
                assert (await caller.query(f"WRITE a {number}")).served
                await asyncio.sleep(0.1)

    async def test_quorum_leases_allow_writes_without_the_store_and_an_instance(self) -> None:
        """Guards against a store outage that stops all writes while an instance is missing."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-stgallen", "current")
            cluster.kill("g-sargans")
            cluster.store.down = True
            await asyncio.sleep(1.0)
            await caller.query("WRITE a first")
            await asyncio.sleep(0.5)
            served = 0
            for number in range(20):
                served += (await caller.query(f"WRITE a {number}")).served
                await asyncio.sleep(0.1)
            assert served == 20

    async def test_connections_for_member_reports_are_closed(self) -> None:
        """Guards against members that reach their connection limit because of such connections."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-stgallen", "current")
            cluster.kill("g-sargans")
            cluster.store.down = True
            await asyncio.sleep(1.0)
            for number in range(10):
                await caller.query(f"WRITE a {number}")
                await asyncio.sleep(0.1)
            cluster.store.down = False
            await asyncio.sleep(2.0)
            pools = [node.gateway.view.groups[SERVICE] for node in cluster.nodes.values()]
            for member in cluster.group.members.values():
                open_connections = sum(
                    pool.open for group in pools if (pool := group.pool(member.record.id))
                )
                assert member.connections == open_connections

    async def test_promotion_waits_for_the_store(self) -> None:
        """Guards against a promotion without a stored claim."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-stgallen", "current")
            cluster.store.down = True
            await asyncio.sleep(0.5)
            cluster.member("chur").running = False
            await cluster.write_until_served(caller, "WRITE a x", within_s=2.0)
            assert cluster.promotion_calls == []
            cluster.store.down = False
            result, gap = await cluster.write_until_served(caller, "WRITE a x", within_s=5.0)
            assert result.served
            assert gap <= CRASH_GAP_S + 0.4

    async def test_lost_answer_to_a_claim_is_resolved(self) -> None:
        """Guards against a claim that was stored and is never completed."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-stgallen", "current")
            cluster.store.lose_answers = 1
            cluster.member("chur").running = False
            result, _ = await cluster.write_until_served(caller, "WRITE a x", within_s=5.0)
            assert result.served

    @pytest.mark.parametrize("outage_s", [0.3, 5.0])
    async def test_instance_that_starts_without_the_store_learns_from_its_peers(
        self, outage_s: float
    ) -> None:
        """Guards against an instance that waits for the store although its peers have all rows."""
        async with GatewayCluster() as cluster:
            cluster.kill("g-chur")
            cluster.store.down = True
            await asyncio.sleep(outage_s)
            gateway = cluster.start("g-chur", "chur")
            await asyncio.sleep(1.5)
            assert gateway.ready
            caller = await cluster.caller("g-chur", "current")
            await cluster.write_until_served(caller, "WRITE a x", within_s=1.0)
            assert (await caller.query("WRITE a y")).served

    async def test_configuration_reaches_an_instance_that_cannot_reach_the_store(self) -> None:
        """Guards against a version that is active late where only the store is unreachable."""
        async with GatewayCluster() as cluster:
            node = cluster.nodes["g-chur"]
            node.platform.store.cut_off = True
            await asyncio.sleep(0.5)
            cluster.configure({"only": ("signplan", "CURRENT")})
            await asyncio.sleep(2.0)
            assert list(node.gateway.view.catalogue().routes) == ["only"]

    async def test_lost_instance_is_deregistered_and_registers_again(self) -> None:
        """Guards against a lost instance whose registration keeps leases from being renewed."""
        async with GatewayCluster() as cluster:
            cluster.kill("g-sargans")
            await asyncio.sleep(10.0)
            control = cluster.nodes["g-chur"].gateway.control
            assert "g-sargans" not in control.instances
            cluster.start("g-sargans", "sargans")
            await asyncio.sleep(1.0)
            assert "g-sargans" in control.instances

    async def test_isolated_instance_deregisters_nobody_on_its_return(self) -> None:
        """Guards against an isolated instance that regards all others as lost."""
        async with GatewayCluster() as cluster:
            for other in ("stgallen", "sargans"):
                cluster.network.cut("chur", other)
            await asyncio.sleep(1.0)
            cluster.isolate("chur")
            await asyncio.sleep(9.0)
            # The store becomes reachable before the peers.
            cluster.network.cuts.discard(frozenset(("chur", "platform")))
            names = set()
            for _ in range(30):
                await asyncio.sleep(0.05)
                names.add(frozenset(cluster.nodes["g-sargans"].gateway.control.instances))
            assert all({"g-stgallen", "g-sargans"} <= seen for seen in names)
