"""Control calls to members."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway._cluster import GatewayCluster
from wigeonpoint.process.gateway.control import MemberControl

pytestmark = pytest.mark.looptime(noop_cycles=0)


class TestTimeouts:
    """Calls that are not answered in time."""

    async def test_unanswered_call_leaves_no_connection_open(self) -> None:
        """Guards against connections to a busy member that add up to its limit."""
        async with GatewayCluster() as cluster:
            node, member = cluster.nodes["g-chur"], cluster.member("sargans")
            control = MemberControl(node.platform.connector)
            await asyncio.sleep(1.0)
            before, member.report_s = member.connections, 5.0
            for _ in range(3):
                assert await control.report(member.record) is None
            assert member.connections <= before

    async def test_slow_answer_arrives_if_it_is_waited_for(self) -> None:
        """Guards against a busy member that counts as one that does not answer."""
        async with GatewayCluster() as cluster:
            node, member = cluster.nodes["g-chur"], cluster.member("sargans")
            control = MemberControl(node.platform.connector)
            member.report_s = 1.0
            assert await control.report(member.record) is None
            assert await control.report(member.record, timeout=2.0) is not None
