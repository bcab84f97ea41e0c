"""Changes of primary: planned, after a crash, behind a cut, and without the store."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.gateway._members import Entry
from tests.gateway._world import GRACE_S, SERVICE, Caller, World
from wigeonpoint.backend import LogPosition, MemberRole
from wigeonpoint.connection.session import CallerGone, MemberReport
from wigeonpoint.errors import ConditionFailed
from wigeonpoint.process.gateway.control import (
    CONTROL_TABLE,
    EVIDENCE_LIFE_S,
    blocks_evidence,
    vouched,
)
from wigeonpoint.request.session import Refusal
from wigeonpoint.services import RowKey, RowTransaction
from wigeonpoint.version.catalogue import MemberRecord

pytestmark = pytest.mark.looptime(noop_cycles=0)

# The promotion itself takes 0.3 s in the model; the rest is noticing, claiming and spreading.
CRASH_GAP_S = 0.3 + 0.7
UNCONFIRMED_GAP_S = 0.3 + 0.7 + EVIDENCE_LIFE_S


def acknowledged(world: World, values: list[str]) -> None:
    """Checks that each acknowledged value is in the leader's log exactly once."""
    log = [entry.value for entry in world.group.leader().log]
    assert [value for value in log if value in values] == values


async def write_values(caller: Caller, count: int) -> list[str]:
    """Writes distinct values."""
    values = []
    for number in range(count):
        value = f"v{number}"
        assert (await caller.query(f"WRITE a {value}")).served
        values.append(value)
    await asyncio.sleep(0.05)
    return values


class TestCrash:
    """A primary that ends without a word."""

    async def test_writes_go_on_at_a_replica(self) -> None:
        """Guards against a group without a primary, and against lost acknowledged writes."""
        async with World() as world:
            caller = await world.caller("g-stgallen", "current")
            values = await write_values(caller, 5)
            world.member("chur").running = False
            result, gap = await world.write_until_served(caller, "WRITE a after", within_s=5.0)
            assert result.served
            assert gap <= CRASH_GAP_S
            acknowledged(world, values)
            assert len(world.calls) == 1

    async def test_reads_go_on_at_replicas_meanwhile(self) -> None:
        """Guards against reads that wait for a lost primary although a replica is near."""
        async with World() as world:
            caller = await world.caller("g-stgallen", "current")
            await write_values(caller, 5)
            reader = await world.caller("g-stgallen", "aged")
            world.member("chur").running = False
            for _ in range(10):
                assert (await reader.query("READ a")).served
                await asyncio.sleep(0.05)

    async def test_longest_log_is_promoted(self) -> None:
        """Guards against a promotion that cuts back what another replica had received."""
        async with World() as world:
            caller = await world.caller("g-chur", "current")
            world.network.cut("chur", "stgallen")
            result = await caller.query("WRITE a only-in-sargans")
            assert result.served
            world.network.heal()
            world.member("chur").running = False
            await world.write_until_served(caller, "WRITE a after", within_s=5.0)
            assert world.group.leader().record.id == "m-sargans"

    async def test_holder_that_dies_half_way_is_replaced_with_a_higher_token(self) -> None:
        """Guards against a claim that nobody completes, and against a token that is used twice."""
        async with World() as world:
            caller = await world.caller("g-sargans", "current")
            world.member("chur").running = False
            while not world.calls:
                assert (await caller.query("WRITE a x")).reply.refusal is not None
                await asyncio.sleep(0.01)
            world.group.promote_s = 10.0
            world.kill(world.calls[0].holder)
            world.group.promote_s = 0.3
            result, _ = await world.write_until_served(caller, "WRITE a after", within_s=12.0)
            assert result.served
            tokens = [call.token for call in world.calls]
            assert tokens == sorted(tokens)
            holders = {call.token: call.holder for call in world.calls}
            assert all(holders[call.token] == call.holder for call in world.calls)

    async def test_taken_over_claim_keeps_its_candidate(self) -> None:
        """Guards against a second primary when the first call takes effect after a takeover."""
        async with World() as world:
            world.group.promote_s = 2.5
            caller = await world.caller("g-sargans", "current")
            world.isolate("chur")
            while not world.calls:
                await caller.query("WRITE a x")
                await asyncio.sleep(0.01)
            world.network.heal()
            # The old primary has the longest log, so that it would be chosen by its log alone.
            world.member("chur").receive(Entry(LogPosition(1, 99), "b", "late", "late"))
            holder = world.calls[0].holder
            world.kill(holder)
            other = "g-sargans" if holder != "g-sargans" else "g-stgallen"
            caller = await world.caller(other, "current")
            result, _ = await world.write_until_served(caller, "WRITE a after", within_s=12.0)
            assert result.served
            assert len({call.member_id for call in world.calls}) == 1
            assert world.group.commits_after_replacement == []


class TestPlanned:
    """A primary that announces its end."""

    async def test_no_acknowledged_write_is_lost_and_none_commits_late(self) -> None:
        """Guards against writes at a primary that has already been replaced."""
        async with World() as world:
            callers = [await world.caller(f"g-{dc}", "current") for dc in ("chur", "sargans")]
            served: list[str] = []

            async def write_all(caller: Caller, name: str) -> None:
                for number in range(60):
                    value = f"{name}{number}"
                    if (await caller.query(f"WRITE a {value}", statement_id=value)).served:
                        served.append(value)
                    await asyncio.sleep(0.03)

            writers = [
                asyncio.create_task(write_all(caller, name))
                for caller, name in zip(callers, "xy", strict=True)
            ]
            await asyncio.sleep(0.3)
            world.leave(world.member("chur"))
            await asyncio.gather(*writers)
            log = [entry.value for entry in world.group.leader().log]
            assert world.group.leader().record.id != "m-chur"
            assert sorted(log) == sorted(set(log))
            assert set(served) <= set(log)
            assert not set(world.group.commits_after_replacement) & set(served)

    async def test_writes_and_reads_go_on_while_the_successor_is_promoted(self) -> None:
        """Guards against a group that refuses everything while the platform promotes a member."""
        async with World() as world:
            world.group.promote_s = 1.0
            callers = [await world.caller(f"g-{dc}", "current") for dc in ("chur", "sargans")]
            outcomes: list[Refusal | None] = []

            async def use(caller: Caller, name: str) -> None:
                for number in range(80):
                    text = "READ a" if number % 2 else f"WRITE a {name}{number}"
                    outcomes.append((await caller.query(text)).reply.refusal)
                    await asyncio.sleep(0.02)

            users = [
                asyncio.create_task(use(caller, name))
                for caller, name in zip(callers, "xy", strict=True)
            ]
            await asyncio.sleep(0.2)
            world.leave(world.member("chur"))
            await asyncio.gather(*users)
            assert world.group.leader().record.id != "m-chur"
            assert outcomes.count(None) >= len(outcomes) - len(callers)
            # What is at the leaving primary in the very moment of the promotion is not known.
            assert set(outcomes) <= {None, Refusal.IN_DOUBT}

    async def test_successor_that_receives_nothing_confirms_no_commit(self) -> None:
        """Guards against acknowledged writes that a promotion cuts back."""
        async with World() as world:
            world.group.promote_s = 1.0
            caller = await world.caller("g-sargans", "current")
            values = await write_values(caller, 3)
            world.leave(world.member("chur"))
            while not world.calls:
                await asyncio.sleep(0.01)
            for other in ("stgallen", "sargans"):
                world.network.cut("chur", other)  # the primary's log goes nowhere any more
            inside = await world.caller("g-chur", "current")
            served = []
            for number in range(20):
                if (await inside.query(f"WRITE a late{number}")).served:
                    served.append(f"late{number}")
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            acknowledged(world, values + served)

    async def test_writes_go_on_while_an_instance_restarts(self) -> None:
        """Guards against a planned change that stops its group because an instance is away."""
        async with World() as world:
            caller = await world.caller("g-sargans", "current")
            world.kill("g-stgallen")
            await asyncio.sleep(0.5)
            world.leave(world.member("chur"))
            refused = 0
            for number in range(60):
                if number == 40:
                    world.start("g-stgallen", "stgallen")
                refused += not (await caller.query(f"WRITE a {number}")).served
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            assert world.group.leader().record.id != "m-chur"
            assert refused <= 1

    async def test_leaving_replica_changes_nothing(self) -> None:
        """Guards against a promotion that nobody needs."""
        async with World() as world:
            world.leave(world.member("sargans"))
            await asyncio.sleep(2.0)
            assert world.calls == []


class TestCut:
    """A data centre that is cut off with the primary in it."""

    async def test_both_sides_never_acknowledge_writes_of_two_primaries(self) -> None:
        """Guards against a replaced primary that goes on acknowledging behind a cut."""
        async with World() as world:
            inside = await world.caller("g-chur", "current")
            outside = await world.caller("g-sargans", "current")
            await write_values(outside, 3)
            world.isolate("chur")
            served_inside: list[tuple[float, str]] = []
            loop = asyncio.get_running_loop()
            began = loop.time()
            promoted_at = None
            while loop.time() - began < 4.0:
                if not inside.closed:  # it is sent away after a while
                    with suppress(CallerGone):
                        result = await inside.query("WRITE b inside")
                        if result.served:
                            served_inside.append((loop.time(), "inside"))
                if promoted_at is None and world.group.leader().record.id != "m-chur":
                    promoted_at = loop.time()
                await asyncio.sleep(0.02)
            assert promoted_at is not None
            assert all(at <= promoted_at for at, _ in served_inside)
            assert world.group.commits_after_replacement == []
            result, _ = await world.write_until_served(outside, "WRITE a after", within_s=1.0)
            assert result.served
            assert loop.time() - began >= EVIDENCE_LIFE_S

    async def test_primary_behind_a_cut_is_replaced_once_its_evidence_has_lapsed(self) -> None:
        """Guards against waiting one after the other for instances, for members and for both."""
        async with World() as world:
            outside = await world.caller("g-sargans", "current")
            await write_values(outside, 3)
            world.isolate("chur")
            result, gap = await world.write_until_served(outside, "WRITE a after", within_s=6.0)
            assert result.served
            assert gap <= UNCONFIRMED_GAP_S

    async def test_instance_without_evidence_opens_no_connections_to_its_primary(self) -> None:
        """Guards against a member that an instance behind a cut floods with connections."""
        async with World() as world:
            inside = await world.caller("g-chur", "current")
            await write_values(inside, 3)
            world.isolate("chur")
            for _ in range(60):
                if inside.closed:
                    break
                with suppress(CallerGone):
                    await inside.query("WRITE a x")
                await asyncio.sleep(0.02)
            pool = world.nodes["g-chur"].gateway.view.groups[SERVICE].pool("m-chur")
            assert pool is not None
            assert pool.opened + pool.refused <= 10

    async def test_isolated_gateway_turns_the_balancer_away_and_returns(self) -> None:
        """Guards against callers that stay where nothing current can be served."""
        async with World() as world:
            gateway = world.nodes["g-chur"].gateway
            assert gateway.ready
            world.isolate("chur")
            await asyncio.sleep(1.0)
            assert not gateway.ready
            assert world.nodes["g-sargans"].gateway.ready
            world.network.heal()
            await asyncio.sleep(1.0)
            assert gateway.ready

    async def test_half_of_the_instances_behind_a_cut_replace_nobody_on_their_return(self) -> None:
        """Guards against a false promotion that was decided behind a cut."""
        async with World() as world:
            world.start("g-sargans-2", "sargans")
            await asyncio.sleep(1.0)
            inside = [await world.caller(name, "current") for name in ("g-sargans", "g-sargans-2")]
            world.isolate("sargans")
            for _ in range(30):
                for caller in inside:
                    if not caller.closed:
                        with suppress(CallerGone):
                            await caller.query("WRITE a 1")
                await asyncio.sleep(0.05)
            world.network.heal()
            await asyncio.sleep(3.0)
            assert world.calls == []
            assert world.group.leader().record.id == "m-chur"

    @pytest.mark.parametrize("healed_after_s", [0.0, 0.2, 0.4, 0.6, 0.8])
    async def test_return_from_a_cut_is_no_reason_to_replace_the_new_primary(
        self, healed_after_s: float
    ) -> None:
        """Guards against failures of the time behind the cut that are held against a member."""
        async with World() as world:
            world.start("g-chur-2", "chur")
            await asyncio.sleep(1.0)
            world.isolate("chur")
            callers = [await world.caller(name, "aged") for name in ("g-chur", "g-chur-2")]
            for _ in range(100):
                for caller in callers:
                    if not caller.closed:
                        with suppress(CallerGone):
                            await caller.query("READ a")
                await asyncio.sleep(0.04)
            assert [call.member_id for call in world.calls] == ["m-stgallen"]
            await asyncio.sleep(healed_after_s)
            world.network.heal()
            world.network.cut("chur", "sargans")  # the holder of the duty stays out of sight
            await asyncio.sleep(3.0)
            assert len(world.calls) == 1

    async def test_instance_that_cannot_reach_the_primary_promotes_nobody_alone(self) -> None:
        """Guards against a false promotion by an instance with a fault of its own."""
        async with World() as world:
            caller = await world.caller("g-stgallen", "current")
            world.network.cut("stgallen", "chur")
            for _ in range(20):
                await caller.query("WRITE a 1")
                await asyncio.sleep(0.1)
            assert world.calls == []


class TestStoreAway:
    """Outages of the store."""

    async def test_writes_go_on_while_the_store_is_away(self) -> None:
        """Guards against statements that depend on the store."""
        async with World() as world:
            caller = await world.caller("g-stgallen", "current")
            world.store.down = True
            for number in range(40):
                assert (await caller.query(f"WRITE a {number}")).served
                await asyncio.sleep(0.1)

    async def test_members_vouch_while_store_and_an_instance_are_away(self) -> None:
        """Guards against an outage of the store that stops all writes with one instance gone."""
        async with World() as world:
            caller = await world.caller("g-stgallen", "current")
            world.kill("g-sargans")
            world.store.down = True
            await asyncio.sleep(1.0)
            await caller.query("WRITE a first")
            await asyncio.sleep(0.5)
            served = 0
            for number in range(20):
                served += (await caller.query(f"WRITE a {number}")).served
                await asyncio.sleep(0.1)
            assert served == 20

    async def test_connections_for_questions_to_members_are_given_back(self) -> None:
        """Guards against members at their limit because instances keep such connections."""
        async with World() as world:
            caller = await world.caller("g-stgallen", "current")
            world.kill("g-sargans")
            world.store.down = True
            await asyncio.sleep(1.0)
            for number in range(10):
                await caller.query(f"WRITE a {number}")
                await asyncio.sleep(0.1)
            world.store.down = False
            await asyncio.sleep(2.0)
            pools = [node.gateway.view.groups[SERVICE] for node in world.nodes.values()]
            for member in world.group.members.values():
                links = sum(pool.open for group in pools if (pool := group.pool(member.record.id)))
                assert member.connections == links

    async def test_promotion_waits_for_the_store(self) -> None:
        """Guards against a promotion without a claim."""
        async with World() as world:
            caller = await world.caller("g-stgallen", "current")
            world.store.down = True
            await asyncio.sleep(0.5)
            world.member("chur").running = False
            await world.write_until_served(caller, "WRITE a x", within_s=2.0)
            assert world.calls == []
            world.store.down = False
            result, gap = await world.write_until_served(caller, "WRITE a x", within_s=5.0)
            assert result.served
            assert gap <= CRASH_GAP_S + 0.4

    async def test_lost_answer_to_a_claim_is_resolved(self) -> None:
        """Guards against a claim that took effect and is never completed."""
        async with World() as world:
            caller = await world.caller("g-stgallen", "current")
            world.store.lose_answers = 1
            world.member("chur").running = False
            result, _ = await world.write_until_served(caller, "WRITE a x", within_s=5.0)
            assert result.served

    async def test_instance_that_starts_without_the_store_learns_from_its_peers(self) -> None:
        """Guards against an instance that waits for the store although its peers know all."""
        async with World() as world:
            world.kill("g-chur")
            world.store.down = True
            await asyncio.sleep(0.3)
            gateway = world.start("g-chur", "chur")
            await asyncio.sleep(1.5)
            assert gateway.ready
            caller = await world.caller("g-chur", "current")
            await world.write_until_served(caller, "WRITE a x", within_s=1.0)
            assert (await caller.query("WRITE a y")).served

    async def test_configuration_reaches_an_instance_that_is_cut_from_the_store(self) -> None:
        """Guards against a version that comes into force late where only the store is missing."""
        async with World() as world:
            node = world.nodes["g-chur"]
            node.platform.store.cut_off = True
            await asyncio.sleep(0.5)
            world.configure({"only": ("signplan", "CURRENT")})
            await asyncio.sleep(2.0)
            assert list(node.gateway.view.catalogue().routes) == ["only"]

    async def test_lost_instance_is_withdrawn_and_registers_again(self) -> None:
        """Guards against a registration that blocks evidence after an instance is gone."""
        async with World() as world:
            world.kill("g-sargans")
            await asyncio.sleep(10.0)
            control = world.nodes["g-chur"].gateway.control
            assert "g-sargans" not in control.instances
            world.start("g-sargans", "sargans")
            await asyncio.sleep(1.0)
            assert "g-sargans" in control.instances

    async def test_instance_that_was_cut_off_withdraws_nobody_on_its_return(self) -> None:
        """Guards against an instance that takes its own isolation for the loss of all others."""
        async with World() as world:
            for other in ("stgallen", "sargans"):
                world.network.cut("chur", other)
            await asyncio.sleep(1.0)
            world.isolate("chur")
            await asyncio.sleep(9.0)
            world.network.cuts.discard(frozenset(("chur", "platform")))  # the store is back first
            names = set()
            for _ in range(30):
                await asyncio.sleep(0.05)
                names.add(frozenset(world.nodes["g-sargans"].gateway.control.instances))
            assert all({"g-stgallen", "g-sargans"} <= seen for seen in names)


class TestMemberEvidence:
    """What members vouch for."""

    @staticmethod
    def report(role: MemberRole, term: int, held_term: int = 0) -> MemberReport:
        """What a member says of itself."""
        return MemberReport(role, term, LogPosition(term, 5), held_term, 0.0, 0, 3)

    def test_primary_and_a_replica_of_its_term_suffice(self) -> None:
        """Guards against evidence that needs every member."""
        reports = {
            "a": self.report(MemberRole.PRIMARY, 2),
            "b": self.report(MemberRole.REPLICA, 2),
        }
        assert vouched("a", reports, ["a", "b", "c"])

    def test_replicas_of_a_later_term_vouch_for_nothing(self) -> None:
        """Guards against a replaced primary whose former replicas follow another one already."""
        reports = {
            "a": self.report(MemberRole.PRIMARY, 2),
            "b": self.report(MemberRole.REPLICA, 3),
            "c": self.report(MemberRole.REPLICA, 2, held_term=3),
        }
        assert not vouched("a", reports, ["a", "b", "c"])

    def test_member_that_follows_is_no_primary(self) -> None:
        """Guards against evidence for a member that has stopped leading."""
        reports = {name: self.report(MemberRole.REPLICA, 2) for name in "abc"}
        assert not vouched("a", reports, list(reports))


class TestBlockedEvidence:
    """Members that obey a new term against those that could vouch for the old primary."""

    @staticmethod
    def member(name: str, *, born_ms: int = 0, leaving: bool = False) -> MemberRecord:
        """A member."""
        return MemberRecord(name, SERVICE, "m:1", "chur", leaving=leaving, born_ms=born_ms)

    def test_both_replicas_of_three_members_suffice(self) -> None:
        """Guards against a change of primary that needs the lost primary itself."""
        members = [self.member(name) for name in "abc"]
        assert blocks_evidence({"b", "c"}, members)
        assert not blocks_evidence({"b"}, members)

    def test_members_outside_a_cut_suffice_while_one_inside_is_replaced(self) -> None:
        """Guards against a group that waits for a cut to end because it has four members."""
        members = [
            self.member("a", leaving=True),
            self.member("b"),
            self.member("c"),
            self.member("d", born_ms=9),
        ]
        assert blocks_evidence({"b", "c"}, members)

    def test_instances_that_do_not_know_the_new_member_count_without_it(self) -> None:
        """Guards against the old member and a replica that vouch, unknown to the claimant."""
        members = [
            self.member("a", leaving=True),
            self.member("b"),
            self.member("c"),
            self.member("d", born_ms=9),
        ]
        assert not blocks_evidence({"c", "d"}, members)

    @given(
        obeying=st.sets(st.sampled_from("abcde")),
        leaving=st.sets(st.sampled_from("abc"), max_size=1),
        size=st.integers(min_value=1, max_value=5),
    )
    def test_no_majority_is_left_in_any_view(
        self, obeying: set[str], leaving: set[str], size: int
    ) -> None:
        """Guards against two sets of members that vouch and obey without one in common."""
        names = "abcde"[:size]
        members = [
            self.member(name, born_ms=number, leaving=name in leaving)
            for number, name in enumerate(names)
        ]
        if not blocks_evidence(obeying, members):
            return
        before = names[: size - len(leaving & set(names))]
        for view in (set(names), set(names) - leaving, set(before)):
            assert 2 * len(view - obeying) <= len(view)


class TestShutdown:
    """Graceful shutdown of a gateway."""

    async def test_statements_are_served_until_the_balancer_has_noticed(self) -> None:
        """Guards against requests that are cut off by planned work."""
        async with World() as world:
            gateway = world.nodes["g-chur"].gateway
            caller = await world.caller("g-chur", "current")
            draining = asyncio.create_task(gateway.drain())
            await asyncio.sleep(0.05)
            assert not gateway.ready
            for number in range(20):
                assert (await caller.query(f"WRITE a {number}")).served
                await asyncio.sleep(0.1)
            await draining
            await asyncio.sleep(0.2)
            assert caller.closed
            assert "g-chur" not in world.nodes["g-sargans"].gateway.control.instances

    async def test_open_transaction_has_half_of_the_grace_period(self) -> None:
        """Guards against transactions that are cut off at once, or that outlast the process."""
        async with World() as world:
            gateway = world.nodes["g-chur"].gateway
            caller = await world.caller("g-chur", "current")
            await caller.query("BEGIN")
            await caller.query("WRITE a 1")
            draining = asyncio.create_task(gateway.drain())
            await asyncio.sleep(1.5)
            assert (await caller.query("COMMIT")).served
            await draining

    async def test_silent_store_does_not_outlast_the_grace_period(self) -> None:
        """Guards against a process that is killed while it waits to withdraw its registration."""
        async with World() as world:
            gateway = world.nodes["g-chur"].gateway
            world.store.down, world.store.silent_s = True, 60.0
            caller = await world.caller("g-chur", "current")
            await caller.query("BEGIN READ")
            began = asyncio.get_running_loop().time()
            await gateway.drain()
            assert asyncio.get_running_loop().time() - began < GRACE_S

    async def test_late_withdrawal_leaves_the_next_process_registered(self) -> None:
        """Guards against a restarted instance for which claimants do not wait."""
        async with World() as world:
            late = world.nodes["g-chur"].gateway.control
            version = late.records.version("instance/g-chur")
            world.kill("g-chur")
            control = world.start("g-chur", "chur").control
            await asyncio.sleep(0.5)
            key = RowKey(CONTROL_TABLE, "instance/g-chur")
            with pytest.raises(ConditionFailed):
                world.store.commit(RowTransaction({key: version}, deletes=[key]))
            assert control.registered
