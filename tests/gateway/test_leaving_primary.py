"""Use of members that have announced their shutdown, until they may have stopped."""

from __future__ import annotations

import asyncio
import logging

import pytest

from tests.gateway._cluster import SERVICE, GatewayCluster
from wigeonpoint.events import Event

pytestmark = pytest.mark.looptime(noop_cycles=0)


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
