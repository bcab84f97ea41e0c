"""Transactions that are bound to a connection of a relay."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway._cluster import assert_logged_once
from tests.gateway._relayed_fleet import Interception, RelayedFleet
from wigeonpoint.connection.session import MemberAnswer
from wigeonpoint.process.gateway._shutdown import BALANCER_DETECTION_S
from wigeonpoint.process.gateway.relay import RelayBegin, RelayRollback
from wigeonpoint.process.gateway.relay._transactions import RelayTransaction, RelayTransactions
from wigeonpoint.request import Rank
from wigeonpoint.request.session import Refusal, TransactionState

pytestmark = pytest.mark.looptime(noop_cycles=0)


class TestTransactions:
    """What callers and members see of them while relays and instances are lost or stop."""

    async def test_transaction_commits(self) -> None:
        """Guards against statements of one transaction that use several connections."""
        async with RelayedFleet() as fleet:
            caller = await fleet.asker_session()
            for text in ("BEGIN", "WRITE a x", "WRITE b y", "COMMIT"):
                assert (await caller.query(text)).served
            assert_logged_once(fleet, ["x", "y"])
            assert fleet.open_transactions == 0

    async def test_caller_that_leaves_has_its_transaction_rolled_back(self) -> None:
        """Guards against a relay that keeps the connection of a session that has ended."""
        async with RelayedFleet() as fleet:
            caller = await fleet.open_transaction()
            assert fleet.open_transactions == 1
            caller.close()
            await asyncio.sleep(0.5)
            assert fleet.open_transactions == 0
            assert_logged_once(fleet, [])

    async def test_transaction_of_a_lost_instance_ends(self) -> None:
        """Guards against connections that stay bound to an instance that was killed."""
        async with RelayedFleet() as fleet:
            await fleet.open_transaction()
            Interception(fleet, RelayRollback, "sent")  # a lost instance sends nothing any more
            fleet.kill(fleet.asker)
            await asyncio.sleep(6.0)
            assert fleet.open_transactions == 0
            assert_logged_once(fleet, [])

    async def test_begin_that_is_given_up_holds_no_connection(self) -> None:
        """Guards against a transaction that a relay begins after its caller was refused."""
        async with RelayedFleet() as fleet:
            caller = await fleet.asker_session()
            assert (await caller.query("READ a")).served
            held = Interception(fleet, RelayBegin, "answered")
            await caller.query("BEGIN")
            writing = asyncio.ensure_future(caller.query("WRITE a x"))
            await held.seen.wait()
            await writing
            held.let_through()
            await caller.query("ROLLBACK")
            await asyncio.sleep(0.5)
            assert fleet.open_transactions == 0

    async def test_lost_relay_aborts_the_transaction(self) -> None:
        """Guards against a transaction that goes on at another relay without its first part."""
        async with RelayedFleet() as fleet:
            caller = await fleet.open_transaction()
            relay = fleet.transaction_relay()
            fleet.kill(relay)
            result = await caller.query("WRITE b y")
            assert result.reply.refusal is Refusal.ABORTED
            assert result.state is TransactionState.FAILED
            assert (await caller.query("ROLLBACK")).served
            assert_logged_once(fleet, [])

    async def test_stopping_relay_finishes_open_transactions(self) -> None:
        """Guards against transactions of other instances' callers cut off by planned work."""
        async with RelayedFleet() as fleet:
            caller = await fleet.open_transaction()
            relay = fleet.transaction_relay()
            stopping = asyncio.ensure_future(self._shut_down(fleet, relay))
            await asyncio.sleep(BALANCER_DETECTION_S + 0.2)
            assert (await caller.query("WRITE b y")).served
            assert (await caller.query("COMMIT")).served
            await stopping
            assert_logged_once(fleet, ["x", "y"])

    @staticmethod
    async def _shut_down(fleet: RelayedFleet, name: str) -> None:
        """Ends an instance as SIGTERM does."""
        await fleet.nodes[name].gateway.drain()
        fleet.kill(name)

    async def test_refused_begin_is_tried_at_another_relay(self) -> None:
        """Guards against a transaction that fails because its relay has just been lost."""
        async with RelayedFleet() as fleet:
            caller = await fleet.asker_session()
            assert (await caller.query("READ a")).served
            held = Interception(fleet, RelayBegin, "sent")
            await caller.query("BEGIN")
            writing = asyncio.ensure_future(caller.query("WRITE a x"))
            await held.seen.wait()
            relay = fleet.nodes[held.relay].gateway
            relay.relay.drain()
            held.let_through()
            assert (await writing).served
            assert len(set(held.addresses)) == 2
            assert (await caller.query("COMMIT")).served
            assert_logged_once(fleet, ["x"])


class TestRelayTransactions:
    """The order of messages about one transaction."""

    async def test_transaction_that_is_ended_while_it_begins_is_rolled_back(self) -> None:
        """Guards against a transaction that stays open because its end came before its begin."""
        async with RelayedFleet() as fleet:
            group = fleet.nodes["g-chur"].gateway.view.group("signplan")
            pool = next(iter(fleet.nodes[fleet.relays()[0]].gateway.relay.pools.values()))
            transactions = RelayTransactions()
            reached, go_on = asyncio.Event(), asyncio.Event()

            async def begin() -> tuple[MemberAnswer, RelayTransaction]:
                deadline = asyncio.get_running_loop().time() + 1.0
                connection = await pool.acquire(Rank.URGENT, caller="r", deadline=deadline)
                answer = await connection.member_connection.begin(read_only=False)
                connection.state = answer.state
                reached.set()
                await go_on.wait()
                return answer, RelayTransaction(group, pool, connection, True, deadline)

            key = ("h-sargans-2", 1)
            beginning = asyncio.ensure_future(transactions.begin(key, begin))
            await reached.wait()
            await transactions.end(key)
            go_on.set()
            await beginning
            assert len(transactions) == 0
            assert pool.in_use == 0
