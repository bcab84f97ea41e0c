"""Tests of the connection pool of a backend server and of admission at its owner."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest

from tests.fakes import FakeBackend, FakeNetwork, add_group
from wigeonpoint.backend import Exchange
from wigeonpoint.connection import (
    BackendPool,
    BeginMessage,
    ExecuteMessage,
    RequestContext,
    Transactions,
)
from wigeonpoint.connection._backend_pool import IDLE_LIFETIME_S, TRIM_INTERVAL_S
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode
from wigeonpoint.process._overload_hints import OverloadHints
from wigeonpoint.process._owner import OwnedServer
from wigeonpoint.request import Rank, Statement
from wigeonpoint.standins import DatabaseMemberStandIn, MemberOptions
from wigeonpoint.version import BackendServer, GroupView

pytestmark = pytest.mark.looptime(noop_cycles=0)


class PooledServer:
    """One backend server with a limit of 8 connections, and its pool."""

    def __init__(self, statement_ms: float = 10.0) -> None:
        options = MemberOptions(slots=2, connection_limit=8, statement_ms=statement_ms)
        self.network = FakeNetwork(data_centres={"here": "chur"})
        self.member: DatabaseMemberStandIn = add_group(self.network, "g", ["chur"], options)[0]
        self.backend = FakeBackend(self.network, "chur")
        self.pool = BackendPool(self.backend, "g-0", limit=8)

    def owned(self) -> OwnedServer:
        """Creates the owner's view of the server."""
        server = BackendServer("g-0", "g-0", "chur", "g")
        group = GroupView("g", [server], self.backend)
        return OwnedServer(server, group, self.backend, slots=2, connections=8)


def now() -> float:
    """Event-loop time."""
    return asyncio.get_running_loop().time()


class TestLimit:
    """The connection limit."""

    async def test_refused_connection_is_retried_until_one_is_free(self) -> None:
        """Guards against requests that fail while another instance still holds connections."""
        server = PooledServer()
        server.member.connections = 8  # held by the former owner
        asyncio.get_running_loop().call_later(0.4, setattr, server.member, "connections", 7)
        connection = await server.pool.acquire(deadline=now() + 2.0)
        assert not connection.closed and now() >= 0.4
        assert server.pool.refused >= 2 and server.pool.opened == 1

    async def test_retries_end_at_the_deadline(self) -> None:
        """Guards against retries beyond the deadline."""
        server = PooledServer()
        server.member.connections = 8
        with pytest.raises(NotRun) as caught:
            await server.pool.acquire(deadline=now() + 1.0)
        assert caught.value.code == ResultCode.CONNECTION_LIMIT
        assert now() == pytest.approx(1.0, abs=0.05)

    async def test_transactions_leave_a_quarter_of_the_connections(self) -> None:
        """Guards against transactions that take all connections from single statements."""
        server = PooledServer()
        held = [await server.pool.acquire_pinned(deadline=now() + 1) for _ in range(6)]
        with pytest.raises(NotRun) as caught:
            await server.pool.acquire_pinned(deadline=now() + 1)
        assert caught.value.code == ResultCode.CONNECTION_LIMIT
        server.pool.release(await server.pool.acquire(deadline=now() + 1))
        server.pool.release(held[0])
        await server.pool.acquire_pinned(deadline=now() + 1)

    async def test_burst_never_exceeds_the_limit(self) -> None:
        """Guards against prewarmed connections that are not counted."""
        server = PooledServer()

        async def use() -> None:
            connection = await server.pool.acquire(deadline=now() + 60)
            await asyncio.sleep(0.01)
            server.pool.release(connection)

        users = [asyncio.create_task(use()) for _ in range(50)]
        for wanted in (3, 8, 20):
            server.pool.prewarm(wanted)
        await asyncio.gather(*users)
        assert server.member.peak_connections <= 8
        assert server.pool.refused == 0 and server.pool.held == 0

    async def test_unused_connections_are_closed(self) -> None:
        """Guards against a pool that still takes connections from other instances after a burst."""
        server = PooledServer()
        held = [await server.pool.acquire(deadline=now() + 1) for _ in range(5)]
        for connection in held:
            server.pool.release(connection)
        await asyncio.sleep(IDLE_LIFETIME_S + 1.1 * TRIM_INTERVAL_S)
        assert server.pool.open == server.member.connections == 1


class TestOverloadHints:
    """Refusals by the receiving instance on behalf of an overloaded owner."""

    async def test_similar_request_is_not_sent_during_the_hold_time(self) -> None:
        """Guards against a flood of requests that the owner spends its CPU time on refusing."""
        sent: list[RequestContext] = []

        class RefusingTransport:
            async def request(self, address: str, message: Any, *_: Any, timeout: float) -> Any:
                sent.append(message.work)
                raise NotRun(ResultCode.DEADLINE_UNREACHABLE, "busy", retry_after_ms=2000)

            def close(self) -> None:
                """Does nothing."""

        hints = OverloadHints(RefusingTransport())

        async def send(rank: Rank, caller: str, remaining_ms: float) -> None:
            context = RequestContext("p", "g", "g-0", "r", rank, caller, remaining_ms)
            with pytest.raises(NotRun) as caught:
                await hints.request("o", BeginMessage(context, "s"), object, timeout=1)
            assert caught.value.retry_after_ms == 2000

        await send(Rank.BULK, "a", 1000)
        await send(Rank.BULK, "a", 1000)
        assert len(sent) == 1
        await send(Rank.BULK, "b", 1000)  # another caller, another rank, more time left
        await send(Rank.URGENT, "a", 1000)
        await send(Rank.BULK, "a", 5000)
        assert len(sent) == 4
        await asyncio.sleep(0.49)  # a quarter of the announced wait is 0.5 s
        await send(Rank.BULK, "a", 1000)
        assert len(sent) == 4
        await asyncio.sleep(0.02)
        await send(Rank.BULK, "a", 1000)
        assert len(sent) == 5

    @pytest.mark.parametrize(("retry_ms", "hold_s"), [(20, 0.02), (300, 0.1), (5000, 0.5)])
    async def test_hold_follows_the_announced_wait(self, retry_ms: int, hold_s: float) -> None:
        """Guards against refusals that go on after the queue that caused them is empty."""
        sent: list[float] = []

        class RefusingTransport:
            async def request(self, address: str, message: Any, *_: Any, timeout: float) -> Any:
                sent.append(now())
                raise NotRun(ResultCode.QUEUE_FULL, "busy", retry_after_ms=retry_ms)

        hints = OverloadHints(RefusingTransport())
        context = RequestContext("p", "g", "g-0", "r", Rank.BULK, "a", 1000)
        for pause in (0.0, hold_s * 0.9, hold_s * 0.2):
            await asyncio.sleep(pause)
            with pytest.raises(NotRun):
                await hints.request("o", BeginMessage(context, "s"), object, timeout=1)
        assert sent == pytest.approx([sent[0], sent[0] + hold_s * 1.1], abs=0.001)

    async def test_hint_covers_nearly_equal_deadlines(self) -> None:
        """Guards against hints that miss half of a flood because of small delays before sending."""
        sent: list[float] = []

        class RefusingTransport:
            async def request(self, address: str, message: Any, *_: Any, timeout: float) -> Any:
                sent.append(message.work.remaining_ms)
                raise NotRun(ResultCode.DEADLINE_UNREACHABLE, "busy", retry_after_ms=2000)

        hints = OverloadHints(RefusingTransport())
        for remaining_ms in (2499.0, 2499.8, 2500.0, 2800.0):
            context = RequestContext("p", "g", "g-0", "r", Rank.BULK, "a", remaining_ms)
            with pytest.raises(NotRun):
                await hints.request("o", BeginMessage(context, "s"), object, timeout=1)
        assert sent == [2499.0, 2800.0]
        assert hints.refused == 2


class TestOwner:
    """Admission, connections and execution together."""

    @pytest.fixture
    def server(self) -> Iterator[PooledServer]:
        yield PooledServer(statement_ms=100.0)

    @staticmethod
    def request_context(within_ms: float = 5000.0) -> RequestContext:
        return RequestContext("p", "g", "g-0", "r", Rank.STANDARD, "a", within_ms)

    def execute_message(self, within_ms: float = 5000.0, message_id: str = "") -> ExecuteMessage:
        exchange = Exchange(Statement("PUT k v", []), read_only=False, request_id=None)
        return ExecuteMessage(
            self.request_context(within_ms), exchange, confirm=False, message_id=message_id
        )

    async def test_connection_with_an_answer_outstanding_is_closed(
        self, server: PooledServer
    ) -> None:
        """Guards against a late answer that reaches the next request of the connection."""
        owned = server.owned()
        with pytest.raises(OutcomeUnknown):
            await owned.execute(self.execute_message(within_ms=50))
        cancelled = asyncio.create_task(owned.execute(self.execute_message()))
        await asyncio.sleep(0.05)
        cancelled.cancel()
        await asyncio.gather(cancelled, return_exceptions=True)
        assert owned.pool.open == server.member.connections == 0

    async def test_cancelled_statement_is_not_sent(self, server: PooledServer) -> None:
        """Guards against statements that run after the receiving instance has given up."""
        owned = server.owned()
        running = [asyncio.create_task(owned.execute(self.execute_message())) for _ in range(2)]
        queued = asyncio.create_task(owned.execute(self.execute_message(message_id="m")))
        await asyncio.sleep(0.05)
        reply = owned.cancel("m")
        assert reply.known and not reply.sent
        with pytest.raises(NotRun):
            await queued
        await asyncio.gather(*running)
        assert server.member.status().position == 3  # the first entry of the term and two writes

    async def test_refused_begin_returns_its_connection(self, server: PooledServer) -> None:
        """Guards against a connection that is lost when a begin gets no slot."""
        owned = server.owned()
        running = [asyncio.create_task(owned.execute(self.execute_message())) for _ in range(2)]
        await asyncio.sleep(0.03)
        begin = BeginMessage(self.request_context(within_ms=40), "s")
        with pytest.raises(NotRun):
            await owned.begin(begin, Transactions())
        await asyncio.gather(*running)
        assert (owned.pool.held, owned.pool.pinned) == (0, 0)
