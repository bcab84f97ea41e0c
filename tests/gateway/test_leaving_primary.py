"""Use of members that have announced their shutdown, until they may have stopped."""

from __future__ import annotations

import asyncio
import logging

import pytest

from tests.gateway._cluster import SERVICE, Caller, GatewayCluster
from wigeonpoint.events import Event

pytestmark = pytest.mark.looptime(noop_cycles=0)

LEAVING_S = 7.0  # after its announcement, a member may get no new statement
WATCHED_S = 12.0
WRITE_INTERVAL_S = 0.05


class Writer:
    """Writes at one instance after another while a member leaves.

    Attributes:
        last_run_s: Seconds from the announcement to the last write that the leaving member ran.
        served: Number of writes that were served.
        refused: Number of writes that were refused.
    """

    def __init__(self, cluster: GatewayCluster) -> None:
        self._cluster = cluster
        self.last_run_s = 0.0
        self.served = 0
        self.refused = 0

    async def write_while_leaving(self, *data_centres: str) -> None:
        """Has the primary announce its shutdown, and writes through instances that stay."""
        cluster = self._cluster
        member = cluster.group.leader()
        callers = [await cluster.caller(f"g-{name}", "current") for name in data_centres]
        cluster.announce_shutdown(member)
        announced_at = asyncio.get_running_loop().time()
        while (elapsed := asyncio.get_running_loop().time() - announced_at) < WATCHED_S:
            for caller in callers:
                runs = len(member.runs)
                await self._write(caller)
                if len(member.runs) > runs:
                    self.last_run_s = elapsed
            await asyncio.sleep(WRITE_INTERVAL_S)

    async def _write(self, caller: Caller) -> None:
        if (await caller.query(f"WRITE a {self.served}")).served:
            self.served += 1
        else:
            self.refused += 1


class TestDelayedChange:
    """Changes of a leaving primary that something delays."""

    async def test_instance_without_store_leaves_the_change_to_the_others(self) -> None:
        """Guards against a coordinator that cannot claim a change and hinders the others."""
        async with GatewayCluster() as cluster:
            cluster.nodes["g-chur"].platform.store.cut_off = True
            writer = Writer(cluster)
            await writer.write_while_leaving("stgallen", "sargans")
            assert writer.last_run_s < LEAVING_S
            assert writer.refused <= 2
            assert cluster.group.promotions == 1


class TestLogs:
    """What the logs tell of leaving members."""

    async def test_delay_of_a_change_is_logged_with_its_reason(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against a leaving primary that stays in use while no log says why."""
        caplog.set_level(logging.INFO, "wigeonpoint")
        async with GatewayCluster() as cluster:
            for name in ("stgallen", "sargans"):
                cluster.member(name).running = False
                cluster.store.drop("members", f"m-{name}")
            await asyncio.sleep(3.0)
            cluster.announce_shutdown(cluster.member("chur"))
            await asyncio.sleep(2.0)
        events = [record for record in caplog.records if hasattr(record, "event")]
        leaving = [one for one in events if one.event == Event.MEMBER_LEAVING.number]
        assert [one.group for one in leaving] == [SERVICE] * 3
        delayed = [one for one in events if one.event == Event.REPLACEMENT_DELAYED.number]
        assert {one.reason for one in delayed} == {
            "no other member can be promoted",
            "another instance arranges changes of primary",
        }
        assert len(delayed) == 3
