"""Statements through relays, in a fleet with more instances than a member takes connections."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.gateway._cluster import DATA_CENTRES, Caller, GatewayCluster, assert_logged_once
from wigeonpoint.process.gateway._member_sharing import USABLE_FRACTION, relay_count
from wigeonpoint.process.gateway.relay import RelayBegin, RelayStatement
from wigeonpoint.request.session import Refusal, TransactionState

pytestmark = pytest.mark.looptime(noop_cycles=0)

FLEET_SIZE = 24
LIMIT = 16  # connections that a member accepts
SETTLE_S = 2.0
MAX_AGE_S = 1.5  # of the data that the route "aged" allows


async def grow(cluster: GatewayCluster) -> list[str]:
    """Starts more instances, with the members' limits unchanged; returns the names of all."""
    for number in range(FLEET_SIZE - len(DATA_CENTRES)):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        cluster.start(f"h-{data_centre}-{number}", data_centre)
    await asyncio.sleep(SETTLE_S)
    return list(cluster.nodes)


def relays_of(cluster: GatewayCluster, asker: str, data_centre: str = "chur") -> list[str]:
    """Names of the relays that an instance uses for a data centre's member, in its order."""
    gateway = cluster.nodes[asker].gateway
    addresses = gateway._sharing.relays(cluster.member(data_centre).record, LIMIT)
    return [address.removesuffix(":1") for address in addresses]


def distant_asker(cluster: GatewayCluster) -> str:
    """An instance that is no relay of the primary."""
    record = cluster.member("chur").record
    return next(
        name
        for name, node in cluster.nodes.items()
        if name.startswith("h-sargans") and not node.gateway._sharing.is_relay(record, LIMIT)
    )


class Interception:
    """Holds the next message of a type between its sender and the relay, or its answer.

    Attributes:
        address: Address of the relay, once the message has been seen.
    """

    def __init__(self, cluster: GatewayCluster, kind: type[Any], stage: str) -> None:
        self._kind = kind
        self._stage = stage
        self._network = cluster.network
        self._continue = asyncio.Event()
        self.address: str | None = None
        self.seen = asyncio.Event()
        cluster.network.on_message = self._on_message

    def let_through(self) -> None:
        """Delivers the message."""
        self._continue.set()

    async def _on_message(self, stage: str, address: str, message: Any) -> None:
        if self.seen.is_set() or stage != self._stage or not isinstance(message, self._kind):
            return
        self.address = address
        self.seen.set()
        await self._continue.wait()


class TestConnections:
    """What the members see of a fleet that is larger than their connection limits."""

    async def test_fleet_keeps_to_the_usable_part_of_the_limit(self) -> None:
        """Guards against refused connections on a day without faults.

        Every instance used to keep a connection of its own to each member, and to borrow more while
        statements waited.
        """
        async with GatewayCluster() as cluster:
            names = await grow(cluster)
            callers = [await cluster.caller(name, "current") for name in names for _ in range(4)]
            results = await asyncio.gather(
                *(caller.query(f"WRITE a v{index}") for index, caller in enumerate(callers))
            )
            assert all(result.served for result in results)
            for member in cluster.group.members.values():
                assert member.peak_connections <= USABLE_FRACTION * LIMIT

    async def test_instance_that_starts_serves_within_a_second(self) -> None:
        """Guards against a member whose connections are all taken when an instance starts."""
        async with GatewayCluster() as cluster:
            names = await grow(cluster)
            callers = [await cluster.caller(name, "current") for name in names]
            stop = asyncio.Event()
            load = asyncio.gather(*(self._write_until(caller, stop) for caller in callers))
            cluster.start("late", "sargans")
            caller = await cluster.caller("late", "current")
            result, seconds = await cluster.write_until_served(caller, "WRITE b x", within_s=2.0)
            stop.set()
            await load
            assert result.served
            assert seconds <= 1.0

    async def _write_until(self, caller: Caller, stop: asyncio.Event) -> None:
        while not stop.is_set():
            await caller.query("WRITE a x")


class TestSessions:
    """Sessions whose statements run at relays."""

    async def test_values_and_prepared_statements_reach_the_member(self) -> None:
        """Guards against session state that stays at the caller's instance."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            caller = await cluster.caller(distant_asker(cluster), "current")
            await caller.query("SET zone chur")
            await caller.query("PREPARE s1 READ q2c")
            result = await caller.query("EXECUTE s1 1a4", statement_id="mine")
            assert result.reply.rows == ["q2c"]
            runs = [run for run in cluster.member("chur").runs if run[0] == "mine"]
            assert [values for _, _, values in runs] == [{"zone": "chur"}]

    async def test_values_do_not_leak_into_other_sessions(self) -> None:
        """Guards against a relay's connection that keeps the values of its last session."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            first = await cluster.caller(distant_asker(cluster), "current")
            await first.query("SET zone chur")
            assert (await first.query("READ a")).served
            second = await cluster.caller(distant_asker(cluster), "current")
            assert (await second.query("READ a", statement_id="plain")).served
            runs = [run for run in cluster.member("chur").runs if run[0] == "plain"]
            assert [values for _, _, values in runs] == [{}]

    async def test_session_reads_its_write_at_any_instance(self) -> None:
        """Guards against reads that a relay serves from an older log."""
        async with GatewayCluster() as cluster:
            names = await grow(cluster)
            writer = await cluster.caller(distant_asker(cluster), "session")
            for index in range(10):
                assert (await writer.query(f"WRITE a v{index}")).served
                assert (await writer.query("READ a")).reply.rows == [f"v{index}"]
            for name in names:
                reader = await cluster.caller(name, "current")
                assert (await reader.query("READ a")).reply.rows == ["v9"]


class TestReplicaReads:
    """Reads of a fleet in which an instance rarely asks a primary itself."""

    async def test_instances_learn_positions_from_the_relays_of_the_primary(self) -> None:
        """Guards against a primary that serves the aged reads of all instances."""
        async with GatewayCluster() as cluster:
            names = await grow(cluster)
            writer = await cluster.caller(names[-1], "current")
            for index in range(10):
                for relay in relays_of(cluster, names[-1])[: relay_count(LIMIT)]:
                    local = await cluster.caller(relay, "current")
                    assert (await local.query("READ a")).served
                assert (await writer.query(f"WRITE a v{index}")).served
                await asyncio.sleep(0.05)
            readers = [await cluster.caller(name, "aged") for name in names]
            results = [await reader.query("READ a") for reader in readers]
            assert all(result.served for result in results)
            members = [(result.reply.proof or "").split(".")[0] for result in results]
            assert members.count("m-chur") <= len(names) / 10

    async def test_no_aged_read_is_older_than_allowed_while_replicas_lag(self) -> None:
        """Guards against a shared position that counts as younger than it is."""
        async with GatewayCluster() as cluster:
            names = await grow(cluster)
            writer = await cluster.caller(names[-1], "current")
            for data_centre in ("stgallen", "sargans"):  # they receive nothing from now on
                cluster.group.suspend(cluster.member(data_centre), 1000)
            loop = asyncio.get_running_loop()
            written: list[tuple[float, int]] = []
            for number in range(30):
                assert (await writer.query(f"WRITE a {number}")).served
                written.append((loop.time(), number))
                reader = await cluster.caller(names[number % len(names)], "aged")
                began = loop.time()
                result = await reader.query("READ a")
                due = [value for at, value in written if at < began - MAX_AGE_S]
                if result.served and due:
                    assert int(result.reply.rows[0]) >= due[-1]
                await asyncio.sleep(0.1)


class TestTransactions:
    """Transactions that are bound to a connection of a relay."""

    async def test_transaction_commits(self) -> None:
        """Guards against statements of one transaction that use several connections."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            caller = await cluster.caller(distant_asker(cluster), "current")
            for text in ("BEGIN", "WRITE a x", "WRITE b y", "COMMIT"):
                assert (await caller.query(text)).served
            assert_logged_once(cluster, ["x", "y"])
            assert all(not node.gateway.relay.transactions for node in cluster.nodes.values())

    async def test_caller_that_leaves_has_its_transaction_rolled_back(self) -> None:
        """Guards against a relay that keeps the connection of a session that has ended."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            caller = await cluster.caller(distant_asker(cluster), "current")
            await caller.query("BEGIN")
            assert (await caller.query("WRITE a x")).served
            assert any(node.gateway.relay.transactions for node in cluster.nodes.values())
            caller.close()
            await asyncio.sleep(0.5)
            assert all(not node.gateway.relay.transactions for node in cluster.nodes.values())
            assert_logged_once(cluster, [])

    async def test_transaction_of_a_lost_instance_ends(self) -> None:
        """Guards against connections that stay bound to an instance that was killed."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            asker = distant_asker(cluster)
            caller = await cluster.caller(asker, "current")
            await caller.query("BEGIN")
            assert (await caller.query("WRITE a x")).served
            cluster.kill(asker)
            await asyncio.sleep(6.0)
            assert all(not node.gateway.relay.transactions for node in cluster.nodes.values())
            assert_logged_once(cluster, [])

    async def test_begin_that_is_given_up_holds_no_connection(self) -> None:
        """Guards against a transaction that a relay begins after its caller was refused."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            asker = distant_asker(cluster)
            caller = await cluster.caller(asker, "current")
            assert (await caller.query("READ a")).served
            held = Interception(cluster, RelayBegin, "answered")
            await caller.query("BEGIN")
            writing = asyncio.ensure_future(caller.query("WRITE a x"))
            await held.seen.wait()
            await writing
            held.let_through()
            await caller.query("ROLLBACK")
            await asyncio.sleep(0.5)
            assert all(not node.gateway.relay.transactions for node in cluster.nodes.values())

    async def test_lost_relay_aborts_the_transaction(self) -> None:
        """Guards against a transaction that goes on at another relay without its first part."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            asker = distant_asker(cluster)
            caller = await cluster.caller(asker, "current")
            await caller.query("BEGIN")
            assert (await caller.query("WRITE a x")).served
            relay = next(
                name for name, node in cluster.nodes.items() if node.gateway.relay.transactions
            )
            cluster.kill(relay)
            result = await caller.query("WRITE b y")
            assert result.reply.refusal is Refusal.ABORTED
            assert result.state is TransactionState.FAILED
            assert (await caller.query("ROLLBACK")).served
            assert_logged_once(cluster, [])

    async def test_stopping_relay_finishes_open_transactions(self) -> None:
        """Guards against transactions of other instances' callers cut off by planned work."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            caller = await cluster.caller(distant_asker(cluster), "current")
            await caller.query("BEGIN")
            assert (await caller.query("WRITE a x")).served
            relay = next(
                name for name, node in cluster.nodes.items() if node.gateway.relay.transactions
            )
            draining = asyncio.ensure_future(cluster.nodes[relay].gateway.drain())
            await asyncio.sleep(0.1)
            assert (await caller.query("WRITE b y")).served
            assert (await caller.query("COMMIT")).served
            await draining
            assert_logged_once(cluster, ["x", "y"])


class TestFaults:
    """Relays that are lost, frozen, stopping or behind."""

    async def test_relay_lost_before_the_answer_leaves_a_write_in_doubt(self) -> None:
        """Guards against a write that is sent again by another relay, and so runs twice."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            caller = await cluster.caller(distant_asker(cluster), "current")
            held = Interception(cluster, RelayStatement, "answered")
            writing = asyncio.ensure_future(caller.query("WRITE a x"))
            await held.seen.wait()
            assert held.address is not None
            cluster.kill(held.address.removesuffix(":1"))
            result = await writing
            assert result.reply.refusal is Refusal.IN_DOUBT
            await asyncio.sleep(1.0)
            assert [entry.value for entry in cluster.group.leader().log] == ["x"]

    async def test_read_goes_to_another_relay_when_one_is_silent(self) -> None:
        """Guards against reads that wait for a relay that has lost power."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            asker = distant_asker(cluster)
            caller = await cluster.caller(asker, "current")
            assert (await caller.query("READ a")).served
            cluster.kill(relays_of(cluster, asker)[0])
            for _ in range(5):
                result = await caller.query("READ a")
                assert result.served
                assert result.seconds < 0.6

    async def test_suspended_relay_runs_no_old_write(self) -> None:
        """Guards against a relay that finds a message of the past when it wakes up.

        By then its lease has expired, and the member may have been replaced as the primary.
        """
        async with GatewayCluster() as cluster:
            await grow(cluster)
            caller = await cluster.caller(distant_asker(cluster), "current")
            held = Interception(cluster, RelayStatement, "sent")
            writing = asyncio.ensure_future(caller.query("WRITE a x"))
            await held.seen.wait()
            assert held.address is not None
            relay = cluster.nodes[held.address.removesuffix(":1")].gateway
            relay.control.may_send = lambda group, member_id: False  # type: ignore[method-assign]
            held.let_through()
            assert (await writing).served  # another relay has run it
            assert_logged_once(cluster, ["x"])

    async def test_relay_that_does_not_know_the_member_is_passed_over(self) -> None:
        """Guards against a refusal because one relay has an older directory."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            asker = distant_asker(cluster)
            caller = await cluster.caller(asker, "current")
            relay = cluster.nodes[relays_of(cluster, asker)[0]].gateway
            relay.view._groups.clear()
            assert (await caller.query("WRITE a x")).served

    async def test_stopping_relay_is_passed_over(self) -> None:
        """Guards against refusals while an instance shuts down."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            asker = distant_asker(cluster)
            caller = await cluster.caller(asker, "current")
            draining = asyncio.ensure_future(
                cluster.nodes[relays_of(cluster, asker)[0]].gateway.drain()
            )
            await asyncio.sleep(0.1)
            for index in range(10):
                assert (await caller.query(f"WRITE a v{index}")).served
            await draining
            assert_logged_once(cluster, [f"v{index}" for index in range(10)])

    async def test_member_stays_in_use_when_all_its_relays_are_lost(self) -> None:
        """Guards against a group without service while its primary runs."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            asker = distant_asker(cluster)
            caller = await cluster.caller(asker, "current")
            for name in relays_of(cluster, asker)[: relay_count(LIMIT)]:
                cluster.kill(name)
            result, seconds = await cluster.write_until_served(caller, "WRITE a x", within_s=3.0)
            assert result.served
            assert seconds <= 1.5

    async def test_relay_keeps_its_lease_while_the_store_is_unavailable(self) -> None:
        """Guards against a relay that lets its lease expire although it runs others' statements."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            caller = await cluster.caller(distant_asker(cluster), "current")
            for index in range(40):
                if index == 10:
                    cluster.store.down = True
                assert (await caller.query(f"WRITE a v{index}")).served
                await asyncio.sleep(0.1)

    async def test_refused_begin_is_tried_at_another_relay(self) -> None:
        """Guards against a transaction that fails because its relay has just been lost."""
        async with GatewayCluster() as cluster:
            await grow(cluster)
            asker = distant_asker(cluster)
            caller = await cluster.caller(asker, "current")
            assert (await caller.query("READ a")).served
            held = Interception(cluster, RelayBegin, "sent")
            await caller.query("BEGIN")
            writing = asyncio.ensure_future(caller.query("WRITE a x"))
            await held.seen.wait()
            assert held.address is not None
            relay = cluster.nodes[held.address.removesuffix(":1")].gateway
            relay.relay.drain()
            held.let_through()
            assert (await writing).served
            assert (await caller.query("COMMIT")).served
            assert_logged_once(cluster, ["x"])
