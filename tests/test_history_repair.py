"""Term histories at instances that do not watch the group."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.fleet import Fleet, FleetInstance
from wigeonpoint.backend import LogPosition
from wigeonpoint.connection import AnnouncePrimaryMessage
from wigeonpoint.errors import OutcomeUnknown, ResultCode
from wigeonpoint.process._history_repair import HistoryRepair
from wigeonpoint.version import TermHistory

pytestmark = pytest.mark.looptime(noop_cycles=0)


def _repair(instance: FleetInstance) -> HistoryRepair:
    repair = HistoryRepair(instance.topology, instance.router._sender._transport)
    repair.register(instance.dispatcher)
    return repair


class TestMissedAnnouncement:
    """Guards against sessions that are checked against an outdated history indefinitely."""

    @pytest.mark.parametrize("unreachable", [[], ["i-chur"]])
    async def test_term_of_an_answer_fetches_the_history(self, unreachable: list[str]) -> None:
        fleet = Fleet.idle()
        repairs = [_repair(instance) for instance in fleet.instances]
        history = TermHistory().extended(2, LogPosition(1, 2))
        for instance in fleet.instances[:2]:
            instance.topology.group("plans").note_history(history)
            instance.topology.group("plans").note_members(["plans-0", "plans-1", "plans-2"], 2)
        fleet.network.down.update(unreachable)
        sent: list[Any] = []

        async def hook(stage: str, address: str, message: Any) -> None:
            sent.append(message)
            if isinstance(message, AnnouncePrimaryMessage):
                raise OutcomeUnknown(ResultCode.CONNECTION_LOST, "dropped by the test")

        fleet.network.on_message = hook
        outdated = fleet.instances[2].topology.group("plans")
        repairs[2].start()
        await asyncio.sleep(3.0)
        assert sent == []  # nothing to repair in term 1
        await fleet.promote(1, 2)
        await fleet.instances[2].write("ADD n 1")
        await asyncio.sleep(3.0)
        assert outdated.history.starts == history.starts
        assert outdated.membership.recorded_term == 2
        assert not outdated.contains(LogPosition(2, 9), LogPosition(1, 3))
        repairs[2].close()
        fleet.close()
