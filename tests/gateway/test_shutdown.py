"""Graceful shutdown of a gateway."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway._cluster import GRACE_S, GatewayCluster
from wigeonpoint.errors import ConditionFailed
from wigeonpoint.process.gateway.control import (
    CONTROL_TABLE,
)
from wigeonpoint.services import RowKey, RowTransaction

pytestmark = pytest.mark.looptime(noop_cycles=0)


class TestShutdown:
    """Graceful shutdown of a gateway."""

    async def test_statements_are_served_until_the_balancer_detects_the_shutdown(self) -> None:
        """Guards against statements that a planned shutdown interrupts."""
        async with GatewayCluster() as cluster:
            gateway = cluster.nodes["g-chur"].gateway
            caller = await cluster.caller("g-chur", "current")
            draining = asyncio.create_task(gateway.drain())
            await asyncio.sleep(0.05)
            assert not gateway.ready
            for number in range(20):
                assert (await caller.query(f"WRITE a {number}")).served
                await asyncio.sleep(0.1)
            await draining
            await asyncio.sleep(0.2)
            assert caller.closed
            assert "g-chur" not in cluster.nodes["g-sargans"].gateway.control.instances

    async def test_open_transaction_has_half_of_the_grace_period(self) -> None:
        """Guards against transactions that are ended at once, or are still open at process exit."""
        async with GatewayCluster() as cluster:
            gateway = cluster.nodes["g-chur"].gateway
            caller = await cluster.caller("g-chur", "current")
            await caller.query("BEGIN")
            await caller.query("WRITE a 1")
            draining = asyncio.create_task(gateway.drain())
            await asyncio.sleep(1.5)
            assert (await caller.query("COMMIT")).served
            await draining

    async def test_silent_store_does_not_outlast_the_grace_period(self) -> None:
        """Guards against a process that is killed while it waits to deregister."""
        async with GatewayCluster() as cluster:
            gateway = cluster.nodes["g-chur"].gateway
            cluster.store.down, cluster.store.silent_s = True, 60.0
            caller = await cluster.caller("g-chur", "current")
            await caller.query("BEGIN READ")
            began = asyncio.get_running_loop().time()
            await gateway.drain()
            assert asyncio.get_running_loop().time() - began < GRACE_S

    async def test_late_deregistration_leaves_the_next_process_registered(self) -> None:
        """Guards against claimants that do not wait for the lease of a restarted instance."""
        async with GatewayCluster() as cluster:
            late = cluster.nodes["g-chur"].gateway.control
            version = late.records.version("instance/g-chur")
            cluster.kill("g-chur")
            control = cluster.start("g-chur", "chur").control
            await asyncio.sleep(0.5)
            key = RowKey(CONTROL_TABLE, "instance/g-chur")
            with pytest.raises(ConditionFailed):
                cluster.store.commit(RowTransaction({key: version}, deletes=[key]))
            assert control.registered
