"""Primaries that instances reach while their replication fails."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from itertools import pairwise

import pytest

from tests.fleet import Fleet
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.process import _stalled_primary
from wigeonpoint.standins import AppendEntries, AppendReply
from wigeonpoint.version import _confirmation

BUDGET_S = 6.0

pytestmark = pytest.mark.looptime(noop_cycles=0)


class _BrokenReplicationLink:
    """Replication that reaches no other member."""

    async def append(self, address: str, message: AppendEntries) -> AppendReply:
        """Fails after a short wait."""
        await asyncio.sleep(0.1)
        raise OutcomeUnknown(ResultCode.DEADLINE_EXCEEDED, f"no answer from {address}")


class _DelayedReplicationLink:
    """Replication that delivers each entry `lag` seconds after it was written."""

    def __init__(self, fleet: Fleet) -> None:
        self.lag = 0.0
        self._fleet = fleet
        self._member = fleet.members[0]
        self._written: deque[tuple[float, int]] = deque()  # time and log end
        self._task = asyncio.create_task(self._record_log_ends())

    async def _record_log_ends(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            self._written.append((now, self._member.status().position))
            await asyncio.sleep(0.02)

    async def append(self, address: str, message: AppendEntries) -> AppendReply:
        """Delivers the entries that are old enough."""
        await asyncio.sleep(0.02)
        old = asyncio.get_running_loop().time() - self.lag
        arrived = max((end for at, end in self._written if at <= old), default=0)
        count = max(0, arrived - message.previous_position)
        if not count:
            raise NotRun(ResultCode.BACKEND_UNREACHABLE, "nothing has arrived yet")
        part = AppendEntries(
            message.term, message.previous_position, message.previous_term, message.entries[:count]
        )
        return self._fleet.network.members[address].append_entries(part)

    def close(self) -> None:
        """Stops recording the primary's log ends."""
        self._task.cancel()


async def _write_for(fleet: Fleet, seconds: float, within: float) -> list[float]:
    """Sends ten writes a second; returns when they were acknowledged, in seconds from the start."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    acknowledged: list[float] = []

    async def write(number: int) -> None:
        with suppress(WigeonpointError):
            await fleet.write("sargans", f"w{number}", within=within)
            acknowledged.append(loop.time() - started)

    writes = []
    for number in range(int(seconds * 10)):
        writes.append(asyncio.create_task(write(number)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*writes)
    return sorted(acknowledged)


class TestCutOffFromMembers:
    """Guards against a group that confirms no write although its primary answers probes."""

    @pytest.mark.parametrize("primary_detection", ["single", "second_opinion"])
    async def test_member_with_the_log_of_a_majority_takes_over(
        self, primary_detection: str
    ) -> None:
        async with await Fleet.serving(primary_detection) as fleet:
            fleet.members[0]._link = _BrokenReplicationLink()
            assert await fleet.time_to_write("sargans") < BUDGET_S
            await asyncio.sleep(1.0)
            record = await fleet.record()
            assert record["primary"] != fleet.members[0].name
            assert fleet.members[0].status().role == "replica"
            assert "first" in fleet.network.members[str(record["primary"])].data
            await asyncio.sleep(4.0)
            assert (await fleet.record())["term"] == 2

    async def test_one_replica_that_follows_is_enough(self) -> None:
        """Guards against a change of primary because one replica is isolated and one is down."""
        async with await Fleet.serving() as fleet:
            fleet.members[2].stop()
            fleet.network.cut("chur", "gallen")
            acknowledged = await _write_for(fleet, 8.0, within=1.0)
            assert len(acknowledged) == 80
            assert await fleet.record() == {}


class TestSlowReplicas:
    """Guards against a change of primary because replicas lag."""

    @pytest.fixture(autouse=True)
    def _poll_slowly(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Waits take seconds here; polling each millisecond would take most of the test's time.
        monkeypatch.setattr(_confirmation, "POLL_PAUSE_S", 0.05)

    async def _record_with_lag(self) -> tuple[dict[str, object], list[float]]:
        async with await Fleet.serving() as fleet:
            link = _DelayedReplicationLink(fleet)
            fleet.members[0]._link = link
            writing = asyncio.create_task(_write_for(fleet, 25.0, within=9.0))
            await asyncio.sleep(1.0)
            for _ in range(100):
                link.lag += 0.05
                await asyncio.sleep(0.1)
            acknowledged = await writing
            link.close()
            return await fleet.record(), acknowledged

    async def test_replicas_that_advance_five_seconds_behind(self) -> None:
        record, acknowledged = await self._record_with_lag()
        assert record == {}
        # Attempts end before their entries arrive, so for a while no write is confirmed.
        pauses = [later - earlier for earlier, later in pairwise(acknowledged)]
        assert max(pauses) > 2 * _stalled_primary.STALL_WINDOW_S

    async def test_positions_prevent_a_change_of_primary(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Shows that the previous test would fail if log positions were ignored."""
        monkeypatch.setattr(_stalled_primary.StalledPrimary, "_follows", lambda *_: False)
        record, _ = await self._record_with_lag()
        assert record != {}
