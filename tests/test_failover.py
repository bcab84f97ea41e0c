"""Changes of primary after failures, on a virtual clock."""

from __future__ import annotations

import asyncio
import logging

import pytest

from tests.fleet import Fleet
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.events import Event
from wigeonpoint.services import ListingState

BUDGET_S = 6.0

pytestmark = pytest.mark.looptime(noop_cycles=0)


class _CancelClaimant(logging.Handler):
    """Cancels the task that first logs an event, as if its instance had died there."""

    def __init__(self, event: Event) -> None:
        super().__init__(logging.INFO)
        self._event = event
        self.cancelled = False

    def emit(self, record: logging.LogRecord) -> None:
        task = asyncio.current_task()
        if not self.cancelled and task and getattr(record, "event", None) == self._event.number:
            self.cancelled = True
            task.cancel()


class TestLostPrimary:
    """Guards against an outage above the budget and against the loss of an acknowledged write."""

    async def test_killed_primary(self) -> None:
        async with await Fleet.serving() as fleet:
            fleet.kill_member(0)
            assert await fleet.time_to_write("sargans") < BUDGET_S
            new = next(member for member in fleet.members[1:] if member.status().role == "primary")
            assert "first" in new.data
            assert (await fleet.record())["term"] == 2

    async def test_single_watcher_detection(self) -> None:
        async with await Fleet.serving("single") as fleet:
            fleet.kill_member(0)
            assert await fleet.time_to_write("gallen") < BUDGET_S

    async def test_isolated_primary_with_callers_on_its_side(self) -> None:
        async with await Fleet.serving() as fleet:
            fleet.isolate("chur")
            lost = asyncio.create_task(fleet.write("chur", "lost", within=8.0))
            assert await fleet.time_to_write("sargans") < BUDGET_S
            with pytest.raises(WigeonpointError):
                await lost
            assert fleet.members[0].status().role == "primary"
            fleet.network.heal()
            await asyncio.sleep(3.0)
            assert fleet.members[0].status().fenced_term == 2
            assert fleet.members[0].data == fleet.members[1].data
            assert "lost" not in fleet.members[1].data
            await fleet.write("chur", "again", within=2.0)

    async def test_pause_shorter_than_detection_changes_nothing(self) -> None:
        async with await Fleet.serving() as fleet:
            fleet.network.down.add(fleet.members[0].name)
            await asyncio.sleep(1.0)
            fleet.network.down.clear()
            await asyncio.sleep(5.0)
            assert await fleet.record() == {}

    async def test_second_failure_after_the_first(self) -> None:
        async with await Fleet.serving() as fleet:
            fleet.kill_member(0)
            await fleet.time_to_write("sargans")
            await asyncio.sleep(2.0)
            fleet.network.down.clear()  # the first member returns with its old log
            fleet.members[0].start()
            await asyncio.sleep(2.0)
            primary = next(
                m
                for m in fleet.members
                if m.status().fenced_term == 2 and m.status().role == "primary"
            )
            fleet.kill_member(fleet.members.index(primary))
            assert await fleet.time_to_write("chur") < BUDGET_S
            assert (await fleet.record())["term"] == 3


class TestBrokenNetworkLink:
    """Guards against replacing a primary that only the watcher cannot reach."""

    @pytest.mark.parametrize(
        ("detection", "replaced"), [("single", True), ("second_opinion", False)]
    )
    async def test_one_broken_network_link(self, detection: str, replaced: bool) -> None:
        async with await Fleet.serving(detection) as fleet:
            fleet.network.cut("chur", "sargans")
            await asyncio.sleep(6.0)
            assert (await fleet.record() != {}) is replaced
            await fleet.write("gallen", "during")


class TestInterruptedPromotion:
    """Guards against a change of primary that no instance finishes."""

    @pytest.mark.parametrize(
        "event",
        [
            Event.PRIMARY_UNREACHABLE,
            Event.TERM_CLAIMED,
            Event.TERM_FENCED,
            Event.CANDIDATE_CHOSEN,
            Event.MEMBER_PROMOTED,
        ],
    )
    async def test_claimant_dies_after_a_step(self, event: Event) -> None:
        async with await Fleet.serving() as fleet:
            logger, handler = logging.getLogger("wigeonpoint"), _CancelClaimant(event)
            logger.addHandler(handler)
            level = logger.level
            logger.setLevel(logging.INFO)
            try:
                fleet.kill_member(0)
                assert await fleet.time_to_write("sargans") < BUDGET_S
                assert handler.cancelled
                await asyncio.sleep(6.0)
            finally:
                logger.setLevel(level)
                logger.removeHandler(handler)
            record = await fleet.record()
            assert record["phase"] == "stable"

    async def test_candidate_dies(self) -> None:
        async with await Fleet.serving() as fleet:
            fleet.kill_member(0)
            for _ in range(10_000):
                if (await fleet.record()).get("phase") == "promoting":
                    break
                await asyncio.sleep(0.001)
            candidate = str((await fleet.record())["candidate"])
            index = [member.name for member in fleet.members].index(candidate)
            fleet.kill_member(index)
            await asyncio.sleep(1.0)
            fleet.network.down.discard(fleet.members[0].name)
            fleet.members[0].start()
            assert await fleet.time_to_write("chur") < BUDGET_S
            assert int(str((await fleet.record())["term"])) >= 3

    @pytest.mark.parametrize("lost", [1, 2, 3])
    async def test_lost_answers_of_the_store(self, lost: int) -> None:
        async with await Fleet.serving() as fleet:
            fleet.tables.lost_answers = lost
            fleet.kill_member(0)
            assert await fleet.time_to_write("sargans") < BUDGET_S


class TestTableServiceDown:
    """Guards against a platform outage that stops statements or starts a promotion."""

    async def test_writes_continue_and_promotion_waits(self) -> None:
        async with await Fleet.serving() as fleet:
            fleet.tables.unavailable = True
            for number in range(5):
                await fleet.write("gallen", f"during-{number}")
                await asyncio.sleep(1.0)
            fleet.kill_member(0)
            await asyncio.sleep(5.0)
            assert all(member.status().fenced_term == 1 for member in fleet.members)
            fleet.tables.unavailable = False
            assert await fleet.time_to_write("gallen") < BUDGET_S


class TestLeavingPrimary:
    """Guards against a handover that fences the leaving primary or chooses it again."""

    @pytest.mark.parametrize("listed", [True, False])
    async def test_handover(self, listed: bool) -> None:
        async with await Fleet.serving() as fleet:
            if listed:
                fleet.list_member(fleet.members[0].name, ListingState.LEAVING)
            else:
                fleet.members[0].options.leaving = True
            await asyncio.sleep(2.0)
            record = await fleet.record()
            assert (record["term"], record["phase"]) == (2, "stable")
            assert record["primary"] != fleet.members[0].name
            assert await fleet.time_to_write("chur") < 0.5
            await asyncio.sleep(3.0)
            assert (await fleet.record())["term"] == 2
