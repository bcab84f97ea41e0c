"""Planned handovers of leaving primaries under writes."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from itertools import pairwise

import pytest

from tests.fleet import GROUP, Fleet
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.services import ListingState
from wigeonpoint.version import Durability

pytestmark = pytest.mark.looptime(noop_cycles=0)


class _Writer:
    """Sends writes one after another and records when each key was acknowledged."""

    def __init__(self, fleet: Fleet) -> None:
        self.acknowledged: dict[str, float] = {}
        self._fleet = fleet
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in range(10_000):
            with suppress(WigeonpointError):
                await self._fleet.write("sargans", f"w{number}", within=5.0)
                self.acknowledged[f"w{number}"] = loop.time()
            await asyncio.sleep(0.02)

    async def finish(self) -> float:
        """Stops writing; returns the longest time between acknowledged writes in seconds."""
        self._task.cancel()
        await asyncio.sleep(1.0)
        times = list(self.acknowledged.values())
        return max(later - earlier for earlier, later in pairwise(times))


async def _set_up(fleet: Fleet, durability: Durability, lag: float) -> None:
    fleet.tables.tables._put("pools", "plans", {"group": GROUP, "durability": durability})
    for _ in range(100):
        pools = [core.feed.configuration.pools["plans"] for core in fleet.cores.values()]
        if all(pool.durability is durability for pool in pools):
            break
        await asyncio.sleep(0.1)
    assert all(pool.durability is durability for pool in pools)
    for member in fleet.members[1:]:
        fleet.network.lag[member.name] = lag


def _missing(fleet: Fleet, writer: _Writer, primary: object) -> list[str]:
    data = fleet.network.members[str(primary)].data
    return [key for key in writer.acknowledged if key not in data]


@pytest.mark.parametrize("durability", list(Durability))
class TestHandover:
    """Guards against acknowledged writes that only the leaving primary has."""

    async def test_loses_no_acknowledged_write(self, durability: Durability) -> None:
        async with await Fleet.serving() as fleet:
            await _set_up(fleet, durability, lag=0.3)
            writer = _Writer(fleet)
            await asyncio.sleep(2.0)
            fleet.list_member(fleet.members[0].name, ListingState.LEAVING)
            await asyncio.sleep(5.0)
            pause = await writer.finish()
            primary = (await fleet.record())["primary"]
            assert primary != fleet.members[0].name
            assert _missing(fleet, writer, primary) == []
            assert pause < 2.5


class TestFarBehind:
    """Guards against a handover that loses writes which only the primary has."""

    async def test_handover_is_postponed(self) -> None:
        async with await Fleet.serving() as fleet:
            await _set_up(fleet, Durability.PRIMARY, lag=4.0)
            writer = _Writer(fleet)
            await asyncio.sleep(1.0)
            fleet.list_member(fleet.members[0].name, ListingState.LEAVING)
            await asyncio.sleep(8.0)
            assert await fleet.record() == {}
            fleet.network.lag.clear()
            await asyncio.sleep(16.0)
            await writer.finish()
            primary = (await fleet.record())["primary"]
            assert primary != fleet.members[0].name
            assert _missing(fleet, writer, primary) == []
