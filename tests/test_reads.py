"""Tests of the members that answer reads, and of the proofs that their data is new enough."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from tests.fleet import SEED, Fleet
from wigeonpoint.backend import LogPosition
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode
from wigeonpoint.process._position_samples import PositionSample, PositionSamples
from wigeonpoint.version import Durability, GroupView

pytestmark = pytest.mark.looptime(noop_cycles=0)


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Three data centres; only the primary confirms writes, so that replicas may lag far behind."""
    async with Fleet.idle(durability=Durability.PRIMARY) as fleet:
        yield fleet


def lag_replicas(fleet: Fleet, *seconds: float) -> None:
    for index, lag in enumerate(seconds, start=1):
        fleet.network.lag[f"plans-{index}"] = lag


class TestSessionReads:
    """Session-consistent reads on any instance."""

    async def test_own_write_is_read_while_replicas_are_far_behind(self, fleet: Fleet) -> None:
        """Guards against a replica 5 s behind that hides the session's own write."""
        lag_replicas(fleet, 5.0, 5.0)
        session = None
        for number in range(20):
            writer, reader = fleet.instances[number % 3], fleet.instances[(number + 1) % 3]
            session = (await writer.write(f"PUT a v{number}", session=session)).session
            answer = await reader.run("GET a", session=session)
            assert (answer.rows, answer.from_replica) == ([f"v{number}"], False)

    async def test_reads_of_a_session_never_go_back(self, fleet: Fleet) -> None:
        """Guards against older data when a later read goes to a replica that is further behind."""
        lag_replicas(fleet, 0.0, 0.3)
        source = random.Random(SEED)

        async def write() -> None:
            for _ in range(300):
                await fleet.instances[0].write("ADD n 1")

        writer = asyncio.create_task(write())
        await asyncio.sleep(0.1)
        session, last, replicas = (await fleet.instances[0].run("GET n")).session, 0, 0
        while not writer.done():
            answer = await source.choice(fleet.instances).run("GET n", session=session)
            assert answer.rows[0] >= last
            session, last = answer.session, answer.rows[0]
            replicas += answer.from_replica
            await asyncio.sleep(source.uniform(0, 0.01))
        assert replicas > 0

    async def test_replica_slightly_behind_is_waited_for(self, fleet: Fleet) -> None:
        """Guards against a read sent to the primary although a replica is only 15 ms behind."""
        instance = fleet.instances[1]
        session = (await instance.write("PUT a 0")).session
        await asyncio.sleep(0.1)
        for _ in range(10):  # opens connections in advance; opening one takes longer than the lag
            await instance.run("GET a", session=session)
        lag_replicas(fleet, 0.015, 5.0)
        session = (await instance.write("PUT a 1", session=session)).session
        answer = await instance.run("GET a", session=session)
        assert (answer.rows, answer.from_replica) == (["1"], True)

    async def test_position_that_no_log_holds_is_lost(self, fleet: Fleet) -> None:
        """Guards against older data after a failover dropped data that the session has read."""
        lag_replicas(fleet, 60.0, 60.0)
        for number in range(5):
            session = (await fleet.instances[0].write(f"PUT a {number}")).session
        fleet.network.down.add("plans-0")
        await fleet.promote(1, term=2)
        with pytest.raises(OutcomeUnknown) as raised:
            await fleet.instances[1].run("GET a", session=session)
        assert raised.value.code is ResultCode.POSITION_LOST

    async def test_replaced_primary_does_not_answer_as_a_replica(self, fleet: Fleet) -> None:
        """Guards against unconfirmed data from a primary that does not know it was replaced."""
        instance = fleet.instances[0]
        session = (await instance.write("PUT a old")).session
        await asyncio.sleep(0.1)
        fleet.network.cut("chur", "sargans")
        fleet.network.cut("chur", "gallen")
        with pytest.raises(OutcomeUnknown):
            await instance.write("PUT a lost", deadline=0.5)
        for index in (1, 2):
            fleet.network.members[f"plans-{index}"].fence(2)
        fleet.network.members["plans-1"].promote(2)
        instance.topology.group("plans").note_primary("plans-1", 2)
        with pytest.raises((NotRun, OutcomeUnknown)):
            await instance.run("GET a", session=session, deadline=1.0)


class TestAgedReads:
    """Reads that state the allowed age of the data."""

    async def test_replica_answers_within_the_age(self, fleet: Fleet) -> None:
        """Guards against aged reads that all go to the primary, and against an understated age."""
        lag_replicas(fleet, 0.2, 0.2)
        loop = asyncio.get_running_loop()
        written: list[tuple[float, int]] = [(loop.time(), 0)]
        replicas = 0
        for number in range(1, 200):
            await fleet.instances[0].write(f"PUT n {number}")
            written.append((loop.time(), number))
            answer = await fleet.instances[1].run("GET n", max_age_ms=1000)
            value = int(answer.rows[0]) if answer.rows else 0
            oldest_allowed = max(n for at, n in written if at <= loop.time() - 1.0 or n == 0)
            assert value >= oldest_allowed and answer.age_ms <= 1000
            newer = [at for at, n in written if n > value]
            assert not newer or (loop.time() - newer[0]) * 1000 <= answer.age_ms + 5
            replicas += answer.from_replica
            await asyncio.sleep(0.01)
        assert replicas > 150

    async def test_replicas_too_far_behind_leave_the_read_to_the_primary(
        self, fleet: Fleet
    ) -> None:
        """Guards against an answer of a replica that is older than allowed."""
        lag_replicas(fleet, 5.0, 5.0)
        for number in range(40):
            await fleet.instances[0].write(f"PUT n {number}")
            answer = await fleet.instances[1].run("GET n", max_age_ms=300)
            assert (answer.rows, answer.from_replica) == ([str(number)], False)

    async def test_cut_off_data_centre_serves_while_it_can_prove_the_age(
        self, fleet: Fleet
    ) -> None:
        """Guards against refusing provable reads, and serving others, during a partition."""
        instance = fleet.instances[1]
        await fleet.instances[0].write("PUT a 1")
        await instance.run("GET a", max_age_ms=3000)
        fleet.network.cut("chur", "sargans")
        fleet.network.cut("sargans", "gallen")
        await asyncio.sleep(1.0)
        answer = await instance.run("GET a", max_age_ms=3000)
        assert answer.from_replica and 1000 <= answer.age_ms <= 3000
        await asyncio.sleep(3.0)
        with pytest.raises(NotRun) as raised:
            await instance.run("GET a", max_age_ms=3000)
        assert raised.value.code is ResultCode.AGE_NOT_PROVABLE

    async def test_concurrent_reads_share_samples(self, fleet: Fleet) -> None:
        """Guards against a sample message for every aged read."""
        reads = (fleet.instances[1].run("GET a", max_age_ms=1000) for _ in range(100))
        answers = await asyncio.gather(*reads)
        assert all(answer.from_replica for answer in answers)
        assert fleet.instances[1].router.samples_taken <= 2


class TestPositionSamples:
    """What position samples prove."""

    def test_sample_of_a_later_term_proves_nothing_for_an_earlier_one(self) -> None:
        """Guards against a proof by position alone, without the term, for a replaced primary."""
        samples = PositionSamples(GroupView("plans", [], None))  # type: ignore[arg-type]
        samples.add(PositionSample(10.0, LogPosition(2, 5)))
        assert samples.age(LogPosition(1, 9), 11.0) is None
        assert samples.age(LogPosition(2, 5), 11.0) == 1.0

    def test_many_samples_keep_old_positions_provable(self) -> None:
        """Guards against a busy primary's samples replacing those that a slow replica needs."""
        samples = PositionSamples(GroupView("plans", [], None))  # type: ignore[arg-type]
        for number in range(20_000):
            samples.add(PositionSample(number / 1000, LogPosition(1, number)))
        age = samples.age(LogPosition(1, 15_000), 20.0)
        assert age is not None and 5.0 <= age <= 5.5

    def test_only_positions_of_a_majority_are_confirmed(self) -> None:
        """Guards against a session that depends on a position which a failover may drop."""
        samples = PositionSamples(GroupView("plans", [], None))  # type: ignore[arg-type]
        samples.add(PositionSample(10.0, LogPosition(1, 9)))
        assert not samples.is_confirmed(LogPosition(1, 5))
        samples.add(PositionSample(11.0, LogPosition(1, 9), majority=True))
        assert samples.is_confirmed(LogPosition(1, 5))
