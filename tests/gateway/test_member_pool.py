"""Links to one member under load: who gets them first, who is refused, and what is held."""

from __future__ import annotations

import asyncio

import pytest

from tests.fakes import FakeNetwork
from tests.gateway._members import ModelConnector, ModelGroup, ModelMember
from wigeonpoint.connection.session import MemberHealth, PooledConnection
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process.gateway._connection_quota import STARTING_S
from wigeonpoint.process.gateway._member_pool import MemberPool
from wigeonpoint.request import Rank

pytestmark = pytest.mark.looptime(noop_cycles=0)

HOLD_S = 0.05


class Member:
    """A member with a pool in front of it."""

    def __init__(self, *, share: int = 4, limit: int = 16) -> None:
        group = ModelGroup("signplan", FakeNetwork(data_centres={"here": "chur"}))
        self.member: ModelMember = group.add("m", "chur", primary=True)
        self.member.connection_limit = limit
        self._connector = ModelConnector({"signplan": group}, "chur")
        self._share = share
        self.pool = self.another_pool()

    def another_pool(self) -> MemberPool:
        """The pool of another instance."""
        return MemberPool(
            self.member.record,
            self._connector,
            share=lambda: self._share,
            limit=lambda: self.member.connection_limit,
        )

    async def started(self) -> Member:
        """The member after the pool has started."""
        await asyncio.sleep(STARTING_S)
        return self

    async def work(
        self,
        rank: Rank,
        served: list[Rank],
        *,
        deadline_s: float = 60.0,
        pool: MemberPool | None = None,
    ) -> None:
        """Takes a connection, holds it for a while and returns it."""
        pool = pool or self.pool
        deadline = asyncio.get_running_loop().time() + deadline_s
        connection: PooledConnection = await pool.acquire(rank, caller=str(rank), deadline=deadline)
        served.append(rank)
        await asyncio.sleep(HOLD_S)
        pool.release(connection)


class TestFloods:
    """One kind of work in excess of what the member takes."""

    async def test_urgent_work_overtakes_a_flood_of_bulk_work(self) -> None:
        """Guards against urgent work that waits behind a flood of bulk work."""
        member = await Member(limit=4).started()
        served: list[Rank] = []
        bulk = [asyncio.create_task(member.work(Rank.BULK, served)) for _ in range(60)]
        await asyncio.sleep(0.1)
        began = asyncio.get_running_loop().time()
        await asyncio.gather(*(member.work(Rank.URGENT, served) for _ in range(4)))
        assert asyncio.get_running_loop().time() - began < 4 * HOLD_S
        await asyncio.gather(*bulk)
        assert len(served) == 64

    async def test_flood_of_urgent_work_leaves_the_others_their_share(self) -> None:
        """Guards against ranks that get nothing while urgent work floods."""
        member = await Member(limit=4).started()
        served: list[Rank] = []
        urgent = [asyncio.create_task(member.work(Rank.URGENT, served)) for _ in range(200)]
        await asyncio.sleep(0)
        bulk = [asyncio.create_task(member.work(Rank.BULK, served)) for _ in range(10)]
        await asyncio.gather(*urgent, *bulk)
        first_half = served[: len(served) // 2]
        assert first_half.count(Rank.BULK) >= 3

    async def test_work_that_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        """Guards against work that waits for its deadline although its turn comes later."""
        member = await Member(limit=2).started()
        served: list[Rank] = []
        queue = [asyncio.create_task(member.work(Rank.STANDARD, served)) for _ in range(80)]
        await asyncio.sleep(0.5)
        began = asyncio.get_running_loop().time()
        with pytest.raises(NotRun) as refusal:
            await member.work(Rank.STANDARD, served, deadline_s=0.2)
        assert refusal.value.code is ResultCode.DEADLINE_UNREACHABLE
        assert refusal.value.retry_after_ms is not None
        assert asyncio.get_running_loop().time() - began < 0.01
        await asyncio.gather(*queue)


class TestMemberHealth:
    """For how long a member is known not to answer."""

    async def test_failures_behind_a_cut_do_not_count_after_it(self) -> None:
        """Guards against a new primary that is replaced for what was seen of it behind a cut."""
        health = MemberHealth()
        health.note_unreachable()
        await asyncio.sleep(1.0)
        returned_at = asyncio.get_running_loop().time()
        await asyncio.sleep(0.2)
        assert health.failed_since_s(returned_at) == 0.0
        assert health.failed_for_s == pytest.approx(1.2)
        health.note_unreachable()
        await asyncio.sleep(0.3)
        assert health.failed_since_s(returned_at) == pytest.approx(0.5)

    async def test_suspect_is_tried_at_once_when_asked_to(self) -> None:
        """Guards against a member that stays out of use for its whole pause after a cut."""
        health = MemberHealth()
        for _ in range(5):
            health.note_unreachable()
        assert not health.may_try
        health.retry_now()
        assert health.may_try
        assert not health.available


class TestConnections:
    """How many connections are held."""

    async def test_borrowed_connections_are_given_back_after_a_burst(self) -> None:
        """Guards against a burst that leaves the limit full for instances that return."""
        member = await Member().started()
        served: list[Rank] = []
        await asyncio.gather(*(member.work(Rank.URGENT, served) for _ in range(12)))
        assert member.pool.open > 2
        await asyncio.sleep(0.6)
        member.pool.close_spare()
        assert member.pool.open <= 2

    async def test_flood_at_all_instances_leaves_connections_for_a_restart(self) -> None:
        """Guards against a member that refuses every instance after all have lost power."""
        first = await Member().started()
        pools = [first.pool, *(first.another_pool() for _ in range(3))]
        await asyncio.sleep(STARTING_S)
        served: list[Rank] = []
        work = [first.work(Rank.URGENT, served, pool=pool) for pool in pools for _ in range(30)]
        await asyncio.gather(*work)
        assert len(served) == 120
        assert first.member.peak_connections <= 16 - len(pools)

    async def test_lost_answers_do_not_use_up_the_connections(self) -> None:
        """Guards against refusals while connections wait for answers that never come."""
        member = await Member().started()
        loop = asyncio.get_running_loop()
        stuck = [
            await member.pool.acquire(Rank.URGENT, caller="a", deadline=loop.time() + 1.0)
            for _ in range(3)
        ]
        for connection in stuck:
            connection.waiting_since = loop.time()
        await asyncio.sleep(0.2)
        served: list[Rank] = []
        await member.work(Rank.URGENT, served, deadline_s=0.1)
        assert served == [Rank.URGENT]

    async def test_instances_that_start_take_half_of_their_share(self) -> None:
        """Guards against the first to start that leaves nothing for the others."""
        member = Member()
        served: list[Rank] = []
        work = [asyncio.create_task(member.work(Rank.URGENT, served)) for _ in range(12)]
        await asyncio.sleep(0.2)
        assert member.member.connections == 1
        await asyncio.gather(*work)

    async def test_member_at_its_limit_is_asked_one_connection_at_a_time(self) -> None:
        """Guards against a storm of connections that the member refuses."""
        member = await Member().started()
        member.member.connections = 16
        for _ in range(40):
            with pytest.raises(NotRun):
                await member.work(Rank.URGENT, [], deadline_s=0.1)
            await asyncio.sleep(0.05)
        assert member.pool.refused <= 20

    async def test_unreachable_member_refuses_at_once_and_returns(self) -> None:
        """Guards against work that waits for a member that does not answer."""
        member = await Member().started()
        member.member.running = False
        with pytest.raises(NotRun):
            await member.work(Rank.URGENT, [])
        with pytest.raises(NotRun) as refusal:
            await member.work(Rank.URGENT, [])
        assert refusal.value.code is ResultCode.BACKEND_UNREACHABLE
        member.member.running = True
        await asyncio.sleep(0.2)
        served: list[Rank] = []
        await member.work(Rank.URGENT, served)
        assert served == [Rank.URGENT]
        assert member.pool.health.available
