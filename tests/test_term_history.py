"""Which log positions of earlier terms survive changes of primary."""

from __future__ import annotations

import pytest

from tests.fakes import FakeBackend, FakeNetwork
from wigeonpoint.backend import LogPosition
from wigeonpoint.version import GroupView, TermHistory


class TestCarriedOverPositions:
    """Guards against answers to a session from a log that lacks the session's writes."""

    def _group(self) -> GroupView:
        group = GroupView("g", [], FakeBackend(FakeNetwork(), "chur"))
        history = TermHistory().extended(2, LogPosition(1, 10))
        history = history.extended(3, LogPosition(2, 20))
        group.note_history(history.extended(4, LogPosition(2, 18)))  # drops the whole of term 3
        return group

    @pytest.mark.parametrize(
        ("at", "required", "contained"),
        [
            ((4, 30), (4, 30), True),
            ((4, 29), (4, 30), False),
            ((2, 30), (4, 10), False),
            ((4, 30), (1, 10), True),
            ((4, 30), (1, 11), False),
            ((4, 30), (2, 18), True),
            ((4, 30), (2, 19), False),
            ((4, 30), (3, 12), False),
            ((3, 30), (2, 12), False),
            ((2, 30), (1, 10), True),
            ((5, 30), (4, 25), True),
        ],
    )
    def test_contains(
        self, at: tuple[int, int], required: tuple[int, int], contained: bool
    ) -> None:
        group = self._group()
        assert group.contains(LogPosition(*at), LogPosition(*required)) is contained

    def test_only_dropped_positions_are_abandoned(self) -> None:
        group = self._group()
        dropped = [(1, 11), (2, 19), (3, 5)]
        kept = [(1, 10), (2, 18), (4, 99), (5, 1)]
        assert all(group.is_abandoned(LogPosition(*at)) for at in dropped)
        assert not any(group.is_abandoned(LogPosition(*at)) for at in kept)
