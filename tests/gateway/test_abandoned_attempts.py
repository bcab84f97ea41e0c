"""Attempts of statements that go on after their caller has an answer from another member."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from types import SimpleNamespace
from typing import Any

import pytest

from tests.gateway._cluster import SERVICE, GatewayCluster
from wigeonpoint.connection.session import CallerSession, MemberConnectionLost
from wigeonpoint.platform._line_protocol import parse_statement
from wigeonpoint.request import Access
from wigeonpoint.request.session import PreparedStatement, TransactionState

pytestmark = pytest.mark.looptime(noop_cycles=0)

FIRST = PreparedStatement(Access.READ, "first")
SECOND = PreparedStatement(Access.WRITE, "second")


class SlowConnection:
    """A pooled connection that takes its time to restore the session's values.

    Attributes:
        values: The values that were restored last.
        prepared: The statement that was prepared last.
    """

    def __init__(self) -> None:
        self.last_session = 0
        self.resting = True
        self.waiting_since: float | None = None
        self.state = TransactionState.IDLE
        self.values: dict[str, str] = {}
        self.prepared: PreparedStatement | None = None
        self.member_connection = SimpleNamespace(assign=lambda terms: None, run=self._run)

    async def restore_values(self, values: Mapping[str, str]) -> None:
        """Restores values."""
        await asyncio.sleep(0.1)
        self.values = dict(values)

    async def prepare(self, prepared: PreparedStatement) -> str:
        """Prepares a statement."""
        self.prepared = prepared
        return "p1"

    async def _run(self, *_: Any, **__: Any) -> None:
        raise MemberConnectionLost("the connection is closed")


class TestSessionState:
    """What an abandoned attempt takes from its session."""

    async def test_it_runs_with_what_its_statement_was_accepted_with(self) -> None:
        """Guards against an execution of what the caller prepared under the same name later."""
        async with GatewayCluster() as cluster:
            gateway = cluster.nodes["g-chur"].gateway
            session = CallerSession("aged", values={"v": "1"}, prepared={"s1": FIRST})
            context = gateway.sessions._make_context(
                session,
                parse_statement("q1", "EXECUTE s1 a"),
                gateway.view.catalogue().routes["aged"],
            )
            connection: Any = SlowConnection()
            pool = next(iter(gateway.view.group(SERVICE).pools))
            exchange = gateway.router.make_exchange(context, pool, connection)
            attempt = asyncio.ensure_future(exchange.run())
            await asyncio.sleep(0.05)
            session.values["v"] = "2"
            session.prepared["s1"] = SECOND
            with pytest.raises(MemberConnectionLost):
                await attempt
            assert connection.values == {"v": "1"}
            assert connection.prepared == FIRST
