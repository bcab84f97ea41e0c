"""Sessions of callers: values, prepared statements, transactions and routes."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway._cluster import SERVICE, GatewayCluster
from wigeonpoint.request.session import Refusal, TransactionState

pytestmark = pytest.mark.looptime(noop_cycles=0)


class TestSessionState:
    """Values and prepared statements on shared member connections."""

    async def test_statement_runs_with_the_values_of_its_own_session(self) -> None:
        """Guards against a session that gets values another session left on the connection."""
        async with GatewayCluster() as cluster:
            for number in range(6):
                caller = await cluster.caller("g-chur", "current")
                await caller.query(f"SET colour c{number}")
                await caller.query("READ item", statement_id=f"s{number}")
                caller.end()
            runs = {run[0]: run[2] for run in cluster.member("chur").runs}
            assert [runs[f"s{n}"] for n in range(6)] == [{"colour": f"c{n}"} for n in range(6)]

    async def test_session_without_values_gets_a_reset_connection(self) -> None:
        """Guards against a statement that runs with a value its session never set."""
        async with GatewayCluster() as cluster:
            one = await cluster.caller("g-chur", "current")
            await one.query("SET colour red")
            await one.query("READ item")
            other = await cluster.caller("g-chur", "current")
            await other.query("READ item", statement_id="other")
            assert next(r for r in cluster.member("chur").runs if r[0] == "other")[2] == {}

    async def test_sessions_may_prepare_the_same_name_differently(self) -> None:
        """Guards against prepared names that collide between sessions."""
        async with GatewayCluster() as cluster:
            callers = [await cluster.caller("g-chur", "current") for _ in range(2)]
            for caller, shape in zip(callers, ("q1", "q2"), strict=True):
                await caller.query(f"PREPARE s READ {shape}")
            rows = [(await caller.query("EXECUTE s item")).reply.rows for caller in callers]
            assert rows == [["q1"], ["q2"]]

    async def test_unknown_prepared_name_is_refused_without_a_member(self) -> None:
        """Guards against executing a name that the session has not prepared or has deallocated."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-chur", "current")
            result = await caller.query("EXECUTE nothing item")
            assert result.reply.refusal is Refusal.UNKNOWN_STATEMENT
            await caller.query("PREPARE s READ q1")
            assert (await caller.query("DEALLOC s")).served
            again = await caller.query("EXECUTE s item")
            assert again.reply.refusal is Refusal.UNKNOWN_STATEMENT


class TestRoutes:
    """Database names and changes of the catalogue."""

    async def test_unknown_database_is_refused_and_the_session_ends(self) -> None:
        """Guards against a session that waits for a route that does not exist."""
        async with GatewayCluster() as cluster:
            with pytest.raises(AssertionError):
                await cluster.caller("g-chur", "nowhere")

    async def test_starting_instance_refuses_no_database_before_routes_are_loaded(self) -> None:
        """Guards against a restarted instance that reports an existing database as unknown."""
        async with GatewayCluster() as cluster:
            cluster.kill("g-chur")
            cluster.start("g-chur", "chur")
            caller = await cluster.caller("g-chur", "current")
            assert caller.rejected is None
            assert (await caller.query("WRITE a 1")).served

    async def test_instance_that_cannot_load_routes_says_when_to_retry(self) -> None:
        """Guards against callers that wait for an instance that cannot load its routes."""
        async with GatewayCluster() as cluster:
            for name in list(cluster.nodes):
                cluster.kill(name)
            cluster.store.down = True
            cluster.start("g-chur", "chur")
            rejected = (await cluster.connect("g-chur", "current")).rejected
            assert rejected is not None
            assert rejected.refusal is Refusal.UNAVAILABLE
            assert rejected.retry_after_ms

    async def test_dropped_route_is_refused_from_the_next_transaction_on(self) -> None:
        """Guards against a route that stays active after it was dropped."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-chur", "current")
            assert (await caller.query("READ item")).served
            cluster.configure({"session": (SERVICE, "SESSION")})
            await asyncio.sleep(0.1)
            result = await caller.query("READ item")
            assert result.reply.refusal is Refusal.UNKNOWN_DATABASE

    async def test_older_version_never_replaces_a_newer_one(self) -> None:
        """Guards against a catalogue that regresses after the store has lost its history."""
        async with GatewayCluster() as cluster:
            cluster.configure({"session": (SERVICE, "SESSION")})
            await asyncio.sleep(0.1)
            cluster.config_version = 0
            cluster.configure({"current": (SERVICE, "CURRENT")})
            cluster.store.forget_history()
            await asyncio.sleep(0.5)
            assert list(cluster.nodes["g-chur"].gateway.view.catalogue().routes) == ["session"]


class TestTransactions:
    """Transactions on one connection."""

    async def test_commit_makes_all_writes_visible_and_a_rollback_none(self) -> None:
        """Guards against a rolled-back write that takes effect, or a committed one that is lost."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-sargans", "current")
            for text in ("BEGIN", "WRITE a 1", "WRITE b 2", "COMMIT"):
                assert (await caller.query(text)).served
            for text in ("BEGIN", "WRITE a 9", "ROLLBACK"):
                assert (await caller.query(text)).served
            assert (await caller.query("READ a")).reply.rows == ["1"]
            assert (await caller.query("READ b")).reply.rows == ["2"]

    async def test_transaction_without_a_statement_holds_no_connection(self) -> None:
        """Guards against callers that pause after BEGIN and exhaust the connections."""
        async with GatewayCluster() as cluster:
            callers = [await cluster.caller("g-chur", "current") for _ in range(30)]
            for caller in callers:
                assert (await caller.query("BEGIN")).state is TransactionState.OPEN
            other = await cluster.caller("g-chur", "current")
            assert (await other.query("WRITE a 1")).served

    async def test_idle_transaction_is_rolled_back_and_frees_its_connection(self) -> None:
        """Guards against an abandoned transaction that keeps its connection forever."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-chur", "current")
            await caller.query("BEGIN")
            await caller.query("WRITE a 1")
            assert cluster.nodes["g-chur"].gateway.transactions.open == 1
            await asyncio.sleep(4.0)
            assert cluster.nodes["g-chur"].gateway.transactions.open == 0
            result = await caller.query("COMMIT")
            assert result.reply.refusal is Refusal.ABORTED
            assert result.state is TransactionState.IDLE

    async def test_caller_learns_of_a_rollback_with_its_next_statement(self) -> None:
        """Guards against calling a statement malformed when its transaction was rolled back."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-chur", "current")
            await caller.query("BEGIN")
            await caller.query("WRITE a 1")
            await asyncio.sleep(4.0)
            result = await caller.query("WRITE a 2")
            assert result.reply.refusal is Refusal.ABORTED
            assert result.state is TransactionState.FAILED
            assert (await caller.query("WRITE a 3")).reply.refusal is Refusal.MALFORMED
            assert (await caller.query("ROLLBACK")).state is TransactionState.IDLE

    async def test_transaction_is_rolled_back_when_its_caller_disconnects(self) -> None:
        """Guards against a transaction that outlives its caller."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-chur", "current")
            await caller.query("BEGIN")
            await caller.query("WRITE a 1")
            caller.end()
            await asyncio.sleep(0.1)
            assert cluster.nodes["g-chur"].gateway.transactions.open == 0
            assert cluster.member("chur").log == []

    async def test_failed_transaction_accepts_only_its_end(self) -> None:
        """Guards against statements that run outside their failed transaction."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-chur", "current")
            await caller.query("BEGIN")
            await caller.query("WRITE a 1")
            assert (await caller.query("EXPLODE")).reply.refusal is Refusal.MALFORMED
            cluster.member("chur").lose_answers = 1
            lost = await caller.query("WRITE b 1")
            assert lost.reply.refusal is Refusal.ABORTED
            assert lost.state is TransactionState.FAILED
            assert (await caller.query("READ a")).reply.refusal is Refusal.MALFORMED
            assert (await caller.query("ROLLBACK")).state is TransactionState.IDLE
            assert cluster.member("chur").log == []
