"""Random schedules of edits by several operators, direct edits, lost answers and partitions."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import looptime
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.fleet import Fleet
from wigeonpoint.errors import ConfigurationRefused, StoreUnavailable
from wigeonpoint.services import Delete, TableTransaction
from wigeonpoint.version import Edit, RowChange, build_state

NAMES = st.sampled_from(["a", "b", "c"])
TABLES = st.sampled_from(["routes", "pools"])
OPERATORS = st.sampled_from(["chur-0", "chur-1", "sargans-0"])
VALUES = {
    "routes": st.none() | st.builds(lambda pool: {"pool": pool}, NAMES),
    "pools": st.none() | st.builds(lambda slots: {"group": "g", "slots": slots}, st.integers(0, 5)),
}
CHANGES = TABLES.flatmap(lambda table: st.tuples(st.just(table), NAMES, VALUES[table]))


class EditMachine(RuleBasedStateMachine):
    """Three instances with an operator each, and an operator who edits the tables directly."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(noop_cycles=0)
        self.edits: list[Edit] = []
        self.seen: dict[str, int] = {}
        self.fleet = self.run(self.build())
        self.run(self.fleet.tables.put("pools", a={"group": "g"}))

    async def build(self) -> Fleet:
        """Starts the feeds inside the event loop."""
        return Fleet.with_feeds({"chur": 2, "sargans": 1})

    def run(self, coroutine: Any) -> Any:
        """Runs a coroutine on the virtual clock."""
        return self.loop.run_until_complete(coroutine)

    @rule(changes=st.lists(st.tuples(OPERATORS, CHANGES), min_size=1, max_size=3))
    def edit_at_once(self, changes: Any) -> None:
        """Several operators edit rows at the same time."""
        self.run(self._edit_all(changes))

    @rule(change=CHANGES)
    def edit_directly(self, change: Any) -> None:
        """An operator writes a row that may be invalid."""
        table, key, value = change
        if value is None:
            deletes = [Delete(table, key)]
            self.run(self.fleet.tables.tables.transact(TableTransaction(deletes=deletes)))
        else:
            self.run(self.fleet.tables.put(table, **{key: value}))

    @rule(count=st.integers(1, 2), outage=st.booleans())
    def lose_answers(self, count: int, outage: bool) -> None:
        """The next transactions lose their answers."""
        self.fleet.tables.lost_answers = count
        self.fleet.tables.outage_after_loss = outage

    @rule()
    def end_outage(self) -> None:
        """The tables answer again."""
        self.fleet.tables.unavailable = False

    @rule(cut=st.booleans())
    def change_network(self, cut: bool) -> None:
        """The data centres are partitioned, or connected again."""
        if cut:
            self.fleet.network.cut("chur", "sargans")
        else:
            self.fleet.network.heal()

    @rule(index=st.integers(0, 30), operator=OPERATORS)
    def repeat(self, index: int, operator: str) -> None:
        """An operator repeats an edit through any instance."""
        if index < len(self.edits):
            self.run(self._apply(operator, self.edits[index]))

    @rule(seconds=st.sampled_from([0.01, 0.6, 3.0]))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.run(asyncio.sleep(seconds))

    @invariant()
    def numbers_rise_by_one(self) -> None:
        """Accepted states are numbered without a gap."""
        numbers = [number for number, _, _ in self.fleet.tables.commits]
        assert numbers == list(range(1, len(numbers) + 1))

    @invariant()
    def accepted_states_are_valid(self) -> None:
        """No accepted state breaks a rule."""
        for number, document, _ in self.fleet.tables.commits[-4:]:
            build_state(number, document["routes"], document["pools"])

    @invariant()
    def no_edit_is_applied_twice(self) -> None:
        """Each edit produced at most one state."""
        ids = [edit_id for _, _, edit_id in self.fleet.tables.commits if edit_id]
        assert len(ids) == len(set(ids))

    @invariant()
    def no_instance_goes_back(self) -> None:
        """The active number of an instance never falls."""
        for name, feed in self.fleet.feeds.items():
            assert feed.number >= self.seen.get(name, 0)
            self.seen[name] = feed.number

    def teardown(self) -> None:
        """After all faults end, every instance activates the last accepted state."""
        self.fleet.tables.unavailable = False
        self.fleet.tables.lost_answers = 0
        self.fleet.network.heal()
        self.run(asyncio.sleep(8))
        commits = self.fleet.tables.commits
        assert self.fleet.numbers == {commits[-1][0] if commits else 0}
        self.run(self.fleet.__aexit__())
        self.loop.close()

    async def _edit_all(self, changes: Any) -> None:
        applications = []
        for operator, (table, key, value) in changes:
            row = await self.fleet.tables.tables.read(table, key)
            change = RowChange(table, key, 0 if row is None else row.version, value)
            edit = Edit(f"e-{len(self.edits)}", [change])
            self.edits.append(edit)
            applications.append(self._apply(operator, edit))
        await asyncio.gather(*applications)

    async def _apply(self, operator: str, edit: Edit) -> None:
        with contextlib.suppress(ConfigurationRefused, StoreUnavailable):
            await self.fleet.feeds[operator].edit(edit)


class TestEditMachine(EditMachine.TestCase):  # type: ignore[name-defined,misc]
    """Guards against lost, repeated, invalid or reverted states under any order of events."""

    settings = settings(max_examples=25, stateful_step_count=25, deadline=None, derandomize=True)
