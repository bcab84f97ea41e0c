"""Tests of how soon a change of the configuration is active on all instances."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway._cluster import ROUTES, SERVICE, GatewayCluster

pytestmark = pytest.mark.looptime(noop_cycles=0)

APPLY_S = 3.0  # an acknowledged change is active everywhere within this time


class TestChanges:
    """Changes around failures of the store."""

    async def test_change_is_active_in_time_after_all_waiting_calls_were_lost(self) -> None:
        """Guards against feeds that all wait for one answer, which the store will never give."""
        async with GatewayCluster() as cluster:
            cluster.configure(ROUTES)
            await asyncio.sleep(0.5)  # all feeds have begun to wait again
            cluster.store.calls_lost_at = asyncio.get_running_loop().time()
            cluster.configure({**ROUTES, "added": (SERVICE, "CURRENT")})
            await asyncio.sleep(APPLY_S)
            for node in cluster.nodes.values():
                assert "added" in node.gateway.view.catalogue().routes


class TestReachability:
    """Whether an instance knows that the store answers."""

    async def test_store_counts_as_reachable_soon_after_an_outage(self) -> None:
        """Guards against lost members that stay in use until a call has waited in vain."""
        async with GatewayCluster() as cluster:
            cluster.store.down = True
            await asyncio.sleep(2.0)
            cluster.store.down = False
            await asyncio.sleep(1.0)
            for node in cluster.nodes.values():
                view = node.gateway.view
                for feed in (node.gateway.control.feed, view.operators, view.members):
                    assert feed.reachable
