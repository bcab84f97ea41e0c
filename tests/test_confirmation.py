"""Confirmation of a primary's answers by the members of its group."""

from __future__ import annotations

import asyncio

import pytest

from tests.fakes import FakeBackend, FakeNetwork, add_group
from wigeonpoint.backend import Exchange, LogPosition
from wigeonpoint.errors import OutcomeUnknown, ResultCode
from wigeonpoint.request import Statement
from wigeonpoint.standins import DatabaseMemberStandIn, MemberOptions
from wigeonpoint.version import BackendServer, Durability, GroupConfirmer

pytestmark = pytest.mark.looptime(noop_cycles=0)

DATA_CENTRES = ["chur", "sargans", "gallen"]
SERVERS = [BackendServer(f"g-{i}", f"g-{i}", at, "g") for i, at in enumerate(DATA_CENTRES)]


class _Group:
    def __init__(self, replication_ms: float) -> None:
        self.network = FakeNetwork()
        options = MemberOptions(statement_ms=0, replication_ms=replication_ms)
        self.members: list[DatabaseMemberStandIn] = add_group(
            self.network, "g", DATA_CENTRES, options
        )
        self.confirmer = GroupConfirmer(SERVERS, FakeBackend(self.network, "chur"))

    async def write(self, key: str) -> LogPosition:
        """Writes to the first member without waiting for confirmation."""
        exchange = Exchange(Statement("PUT ? 1", [key]), read_only=False, request_id=key)
        return (await self.members[0].execute(None, exchange)).at

    async def confirm(self, at: LogPosition, durability: Durability) -> float:
        """Confirms an answer; returns the seconds that it took."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        await self.confirmer.confirm(at, "g-0", timeout=1.0, durability=durability)
        return loop.time() - started

    def close(self) -> None:
        """Cancels all tasks."""
        self.confirmer.close()
        for member in self.members:
            member.stop()


@pytest.mark.parametrize("durability", list(Durability))
class TestReplacedPrimary:
    """Guards against an acknowledgement by a primary that has been replaced."""

    async def test_later_term_at_one_member_ends_the_wait(self, durability: Durability) -> None:
        group = _Group(replication_ms=1000)
        at = await group.write("a")
        group.members[1].fence(2)
        with pytest.raises(OutcomeUnknown) as raised:
            await group.confirm(at, durability)
        assert raised.value.code is ResultCode.PRIMARY_REPLACED
        group.close()

    async def test_partitioned_primary_is_not_confirmed(self, durability: Durability) -> None:
        group = _Group(replication_ms=1)
        group.network.cut("chur", "sargans")
        group.network.cut("chur", "gallen")
        at = await group.write("a")
        with pytest.raises(OutcomeUnknown) as raised:
            await group.confirm(at, durability)
        assert raised.value.code is ResultCode.CONFIRMATION_TIMEOUT
        group.close()


class TestDurability:
    """Guards against an acknowledgement that ignores the durability of the pool."""

    async def test_only_majority_waits_for_replication(self) -> None:
        group = _Group(replication_ms=200)
        at = await group.write("a")
        assert await group.confirm(at, Durability.PRIMARY) < 0.05
        # An entry may wait for the batch that is being sent, which adds one replication delay.
        assert 0.1 < await group.confirm(at, Durability.MAJORITY) < 0.5
        group.close()


class TestOrderOfRequests:
    """Guards against a confirmation by a status requested before the statement ran."""

    async def test_status_in_transit_does_not_count(self) -> None:
        group = _Group(replication_ms=1)
        first = await group.write("a")
        earlier = asyncio.create_task(group.confirm(first, Durability.PRIMARY))
        await asyncio.sleep(0.0006)  # the members have answered; the statuses are in transit
        at = await group.write("b")
        for member in group.members[1:]:
            member.fence(2)
        with pytest.raises(OutcomeUnknown):
            await group.confirm(at, Durability.PRIMARY)
        await earlier
        group.close()
