"""Confirmation while the platform's list and the group record name different members."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from tests.fakes import FakeBackend, FakeNetwork, add_group
from wigeonpoint.backend import Exchange
from wigeonpoint.errors import OutcomeUnknown, ResultCode
from wigeonpoint.request import Statement
from wigeonpoint.version import BackendServer, GroupView

pytestmark = pytest.mark.looptime

DATA_CENTRES = ["chur", "sargans", "gallen", "buchs", "wil"]
SERVERS = [BackendServer(f"g-{i}", f"g-{i}", at, "g") for i, at in enumerate(DATA_CENTRES)]


class _Group:
    def __init__(self, size: int, reached: list[int]) -> None:
        self.network = FakeNetwork()
        self.members = add_group(self.network, "g", DATA_CENTRES[:size])
        for index in range(1, size):
            if index not in reached:
                self.network.cut("chur", DATA_CENTRES[index])
        self.view = GroupView("g", SERVERS[:size], FakeBackend(self.network, "chur"))

    async def acknowledges(self) -> bool:
        """Whether a write to the first member is confirmed."""
        exchange = Exchange(Statement("PUT a 1", []), read_only=False, request_id="a")
        at = (await self.members[0].execute(None, exchange)).at
        try:
            await self.view.confirmer.confirm(at, "g-0", timeout=1.0)
        except OutcomeUnknown as error:
            assert error.code is ResultCode.CONFIRMATION_TIMEOUT
            return False
        return True

    def close(self) -> None:
        """Cancels all tasks."""
        self.view.close()
        for member in self.members:
            member.stop()


def _short_list(view: GroupView) -> None:
    view.set_servers(SERVERS[:1])


def _short_list_and_record(view: GroupView) -> None:
    view.note_members(["g-0", "g-1", "g-2"], 1)
    view.set_servers(SERVERS[:1])


def _record_after_short_list(view: GroupView) -> None:
    view.set_servers(SERVERS[:1])
    view.note_members(["g-0", "g-1", "g-2"], 1)


def _record_of_earlier_term(view: GroupView) -> None:
    view.note_members(["g-0", "g-1", "g-2"], 2)
    view.note_members(["g-0"], 1)
    view.set_servers(SERVERS[:1])


CHANGES = [_short_list, _short_list_and_record, _record_after_short_list, _record_of_earlier_term]


@pytest.mark.parametrize("change", CHANGES)
class TestShortList:
    """Guards against a write that is acknowledged because the list leaves members out."""

    async def test_partitioned_primary_is_not_confirmed(
        self, change: Callable[[GroupView], None]
    ) -> None:
        group = _Group(3, reached=[])
        change(group.view)
        assert not await group.acknowledges()
        group.close()

    async def test_unlisted_members_still_confirm(
        self, change: Callable[[GroupView], None]
    ) -> None:
        """Guards against an outage of a group whose members are merely missing from the list."""
        group = _Group(3, reached=[2])
        change(group.view)
        assert await group.acknowledges()
        group.close()


class TestLongList:
    """Guards against a confirmation by a majority of the list but not of the record."""

    @pytest.mark.parametrize(("reached", "confirmed"), [([3, 4], False), ([1, 3], True)])
    async def test_recorded_majority_is_required(self, reached: list[int], confirmed: bool) -> None:
        group = _Group(5, reached)
        group.view.note_members(["g-0", "g-1", "g-2"], 1)
        assert await group.acknowledges() is confirmed
        group.close()

    async def test_record_of_same_members_keeps_the_confirmer(self) -> None:
        """Guards against waiting answers that fail although the record names the same members."""
        group = _Group(3, reached=[1, 2])
        confirmer = group.view.confirmer
        group.view.note_members(["g-0", "g-1", "g-2"], 1)
        assert group.view.confirmer is confirmer
        await asyncio.sleep(0)
        group.close()
