"""Reads at replicas: required positions, replication lag and replaced primaries."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from tests.gateway._cluster import Caller, GatewayCluster
from tests.gateway._members import Entry
from wigeonpoint.backend import LogPosition
from wigeonpoint.process.gateway._positions import PositionSamples, ReplicaProgress
from wigeonpoint.process.gateway._read_placement import ReadCandidate, choose_read_member

pytestmark = pytest.mark.looptime(noop_cycles=0)


async def write_some(caller: Caller, count: int) -> None:
    """Writes values one after the other, so that there are position samples."""
    for number in range(count):
        assert (await caller.query(f"WRITE a {number}")).served
        await asyncio.sleep(0.05)


def served_by(proof: str | None) -> str:
    """Returns the member that a proof names."""
    return (proof or "").split(".")[0]


class TestReplicaReads:
    """Members that serve reads, and the data that they return."""

    async def test_session_sees_its_own_write_wherever_it_reads(self) -> None:
        """Guards against a read at a replica that has not applied the session's commit."""
        async with GatewayCluster() as cluster:
            for member in cluster.group.members.values():
                member.lag_s = 0.3
            caller = await cluster.caller("g-stgallen", "session")
            for number in range(8):
                assert (await caller.query(f"WRITE a {number}")).served
                assert (await caller.query("READ a")).reply.rows == [str(number)]
                await asyncio.sleep(0.1)

    async def test_aged_reads_are_served_by_the_replica_in_the_same_data_centre(self) -> None:
        """Guards against bulk reads that take the slots of the primary."""
        async with GatewayCluster() as cluster:
            await write_some(await cluster.caller("g-stgallen", "current"), 10)
            caller = await cluster.caller("g-stgallen", "aged")
            proofs = [(await caller.query("READ a")).reply.proof for _ in range(10)]
            assert {served_by(proof) for proof in proofs} == {"m-stgallen"}

    async def test_no_aged_read_is_older_than_the_route_allows_while_replicas_lag(self) -> None:
        """Guards against data that is older than the route allows."""
        async with GatewayCluster() as cluster:
            writer = await cluster.caller("g-stgallen", "current")
            await write_some(writer, 5)
            for member in cluster.group.members.values():
                member.lag_s = 6.0
            reader = await cluster.caller("g-stgallen", "aged")
            written: list[tuple[float, int]] = []
            loop = asyncio.get_running_loop()
            for number in range(40):
                assert (await writer.query(f"WRITE a {number}")).served
                written.append((loop.time(), number))
                began = loop.time()
                result = await reader.query("READ a")
                due = [value for at, value in written if at < began - 1.5]
                if result.served and due:
                    assert int(result.reply.rows[0]) >= due[-1]
                await asyncio.sleep(0.1)

    async def test_suspended_instance_knows_no_recent_position(self) -> None:
        """Guards against samples that look recent because the suspension was not counted."""
        async with GatewayCluster() as cluster:
            writer = await cluster.caller("g-chur", "current")
            await write_some(writer, 5)
            reader = await cluster.caller("g-stgallen", "aged")
            assert (await reader.query("READ a")).served
            for data_centre in ("stgallen", "sargans"):  # they receive nothing from now on
                cluster.group.suspend(cluster.member(data_centre), 1000)
            assert (await writer.query("WRITE a new")).served
            await asyncio.sleep(0.5)
            cluster.suspended_s["g-stgallen"] = 5.0
            result = await reader.query("READ a")
            assert not result.served or result.reply.rows == ["new"]

    async def test_replaced_primary_with_a_longer_log_serves_no_aged_reads(self) -> None:
        """Guards against a stale read at a replaced primary that compares lengths only."""
        async with GatewayCluster() as cluster:
            writer = await cluster.caller("g-sargans", "current")
            await write_some(writer, 6)
            old = cluster.member("stgallen")
            group = cluster.nodes["g-sargans"].gateway.view.group("signplan")
            # A primary of an older term with a longer log, which has not been demoted yet.
            old.compares_numbers_only = True
            for number in range(20):
                old.receive(Entry(LogPosition(1, 100 + number), "a", "stale", "x"))
            old.held_term = 9
            leader = cluster.member("chur")
            leader.term = 2
            await write_some(writer, 40)
            assert group.samples.term == 2
            reader = await cluster.caller("g-stgallen", "aged")
            for _ in range(10):
                assert (await reader.query("READ a")).reply.rows != ["stale"]
                await asyncio.sleep(0.05)

    async def test_replaced_primary_in_a_partition_gives_no_samples(self) -> None:
        """Guards against aged reads that rely on positions of a primary without a lease."""
        async with GatewayCluster() as cluster:
            inside = await cluster.caller("g-chur", "current")
            await write_some(inside, 4)
            await inside.query("BEGIN")
            await inside.query("READ a")
            cluster.isolate("chur")
            outside = await cluster.caller("g-sargans", "current")
            await cluster.write_until_served(outside, "WRITE a new", within_s=5.0)
            assert cluster.group.leader().record.id != "m-chur"
            samples = cluster.nodes["g-chur"].gateway.view.group("signplan").samples
            newest = samples.newest
            await inside.query("READ a")
            assert samples.newest == newest


class TestPositionSamples:
    """The position that a replica must have applied."""

    def test_oldest_sample_within_the_age_is_required(self) -> None:
        """Guards against a sample that is older than the allowed age."""
        samples = PositionSamples()
        for number in range(10):
            samples.add(LogPosition(1, number), sent_at=float(number))
        sample = samples.oldest_since(6.5)
        assert sample is not None
        assert sample.position == LogPosition(1, 7)

    def test_no_sample_is_recent_enough(self) -> None:
        """Guards against a read at an outdated replica after the primary had no statements."""
        samples = PositionSamples()
        samples.add(LogPosition(1, 1), sent_at=1.0)
        assert samples.oldest_since(2.0) is None

    def test_new_term_drops_the_samples_of_the_old_one(self) -> None:
        """Guards against positions that the new primary's log does not contain."""
        samples = PositionSamples()
        samples.add(LogPosition(1, 900), sent_at=1.0)
        samples.add(LogPosition(2, 880), sent_at=2.0)
        samples.add(LogPosition(1, 901), sent_at=2.5)
        assert samples.oldest_since(0.0) == samples.newest
        assert samples.term == 2


class TestReplicaProgress:
    """Estimated lag of a replica."""

    def test_replica_that_lacked_a_position_gets_no_reads_for_its_lag(self) -> None:
        """Guards against reads sent to a replica that cannot serve them while it lags."""
        progress = ReplicaProgress()
        progress.note_behind(10.0, position_age_s=0.4)
        assert not progress.has_probably_applied(LogPosition(1, 5), 10.3, first_seen_at=9.9)
        assert progress.has_probably_applied(LogPosition(1, 5), 10.7, first_seen_at=9.9)

    def test_estimated_lag_shrinks_after_the_replica_has_caught_up(self) -> None:
        """Guards against a replica that gets no reads after it has caught up."""
        progress = ReplicaProgress()
        for _ in range(10):
            progress.note_behind(10.0, position_age_s=5.0)
        assert progress.lag_s <= 3.0
        progress.note_applied(LogPosition(1, 9), position_age_s=0.03)
        for number in range(60):
            progress.note_applied(LogPosition(1, 10 + number), position_age_s=0.03)
        assert progress.lag_s < 0.1


class TestPlacement:
    """Choice among the members that may serve a read."""

    @staticmethod
    def candidate(member_id: str, **changes: Any) -> ReadCandidate:
        """Returns a candidate that answers in 10 ms."""
        usual = ReadCandidate(
            member_id,
            primary=False,
            local=True,
            proven=True,
            available=True,
            queued=0,
            slots=2,
            latency_s=0.01,
        )
        return replace(usual, **changes)

    def test_flood_of_reads_spreads_over_the_members(self) -> None:
        """Guards against a flood that queues at one member while others are free."""
        queued = {"near": 0, "far": 0, "primary": 0}
        for _ in range(60):
            candidates = [
                self.candidate("near", queued=queued["near"]),
                self.candidate("far", queued=queued["far"], local=False),
                self.candidate("primary", queued=queued["primary"], primary=True),
            ]
            chosen = choose_read_member(candidates, excluded=frozenset())
            assert chosen is not None
            queued[chosen] += 1
        assert queued["near"] - queued["far"] <= 2
        assert 0 < queued["primary"] < queued["far"] / 1.5

    def test_unproven_unavailable_and_tried_members_are_left_out(self) -> None:
        """Guards against a read that is sent where it cannot be served."""
        candidates = [
            self.candidate("behind", proven=False),
            self.candidate("unreachable", available=False),
            self.candidate("tried"),
        ]
        assert choose_read_member(candidates, excluded=frozenset({"tried"})) is None

    def test_slow_member_nearby_gets_no_reads(self) -> None:
        """Guards against reads that wait for a slow member in the same data centre."""
        candidates = [self.candidate("slow", latency_s=0.2), self.candidate("far", local=False)]
        assert choose_read_member(candidates, excluded=frozenset()) == "far"
