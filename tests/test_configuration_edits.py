"""Validation of rows, and edits that are committed on condition of the head."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.faulty_platform import FaultyTables
from tests.fleet import POOL, ROUTE, Fleet
from wigeonpoint.errors import ConfigurationRefused, ResultCode, StoreUnavailable
from wigeonpoint.request import Rank
from wigeonpoint.services import Delete, Platform, TableTransaction
from wigeonpoint.standins import MemoryDirectory, MemoryObjects
from wigeonpoint.version import (
    ConfigurationState,
    ConfigurationStore,
    Edit,
    EditConflict,
    Editor,
    RowChange,
    TableAcceptance,
    build_state,
    state_problems,
)

pytestmark = pytest.mark.looptime(noop_cycles=0)


def put(edit_id: str, table: str, key: str, version: int, value: dict[str, Any] | None) -> Edit:
    return Edit(edit_id, [RowChange(table, key, version, value)])


def editor(tables: FaultyTables) -> Editor:
    store = ConfigurationStore(Platform(tables, MemoryObjects(), MemoryDirectory()))
    return Editor(store, ConfigurationState)


async def prepared() -> tuple[FaultyTables, Editor]:
    """Tables with pool `plans` and route `closures`, accepted as states 1 and 2."""
    tables = FaultyTables()
    first = editor(tables)
    await first.apply(put("e-1", "pools", "plans", 0, POOL))
    await first.apply(put("e-2", "routes", "closures", 0, ROUTE))
    return tables, first


class TestRows:
    """Validation and defaults of rows."""

    def test_rows_with_names_only_get_defaults(self) -> None:
        """Guards against a field without a default."""
        state = build_state(1, {"closures": ROUTE}, {"plans": POOL})
        route, pool = state.configuration.resolve("closures")
        assert (route.rank, pool.shares[Rank.BULK]) == (Rank.STANDARD, 0.05)

    def test_stated_fields_keep_the_defaults_of_the_others(self) -> None:
        """Guards against a partial target or share that removes the other defaults."""
        routes = {"r": {"pool": "p", "targets": {"urgent": {"target_ms": 50, "worth": 7}}}}
        state = build_state(1, routes, {"p": {"group": "g", "shares": {"bulk": 0.2}}})
        route, pool = state.configuration.resolve("r")
        assert (route.targets[Rank.URGENT].target_ms, route.targets[Rank.BULK].worth) == (50, 1.0)
        assert (pool.shares[Rank.BULK], pool.shares[Rank.STANDARD]) == (0.2, 0.10)

    @pytest.mark.parametrize(
        ("routes", "pools", "code", "name"),
        [
            ({"r": {"pool": "p", "color": 1}}, {"p": POOL}, 402, "routes/r: color"),
            ({"r": {}}, {}, 402, "routes/r: pool"),
            ({"r": {"pool": "p", "rank": "vip"}}, {"p": POOL}, 402, "routes/r: rank"),
            ({}, {"p": {"group": "g", "slots": 0}}, 402, "pools/p: slots"),
            ({}, {"p": {"group": "g", "shares": {"bulk": 0.95}}}, 402, "pools/p: shares"),
            ({}, {"a/b": POOL}, 402, "pools/a/b: the name"),
            ({"r": {"pool": "x"}}, {"p": POOL}, 401, "routes/r: there is no pool 'x'"),
            ({"r": {"pool": "x"}, "s": {}}, {}, 406, "routes/s"),
        ],
    )
    def test_invalid_row_is_refused_with_its_code(
        self, routes: Any, pools: Any, code: int, name: str
    ) -> None:
        """Guards against a refusal that does not name the row and the field."""
        with pytest.raises(ConfigurationRefused) as refusal:
            build_state(1, routes, pools)
        assert refusal.value.code == code
        assert name in refusal.value.message

    def test_new_name_of_an_unlisted_group_is_refused(self) -> None:
        """Guards against a misspelt group; accepted rows stay valid if the list lacks theirs."""
        known = build_state(1, {}, {"p": {"group": "gone"}})
        pools = {"p": {"group": "gone"}, "q": {"group": "typo"}}
        problems = state_problems({}, pools, known=known, groups=["signplan-0"])
        assert [(problem.code, problem.key) for problem in problems] == [(403, "q")]


class TestEdits:
    """Edits with lost answers and by concurrent operators."""

    async def test_lost_answer_is_recognised(self) -> None:
        """Guards against an edit that is applied again because its first answer was lost."""
        tables, first = await prepared()
        tables.lost_answers = 1
        result = await first.apply(put("e-3", "pools", "rota", 0, POOL))
        assert (result.number, result.repeated, len(tables.commits)) == (3, True, 3)

    async def test_change_committed_during_the_retry_is_recognised(self) -> None:
        """Guards against a conflict with the operator's own edit, which took effect late."""
        tables, first = await prepared()
        tables.land_on_read = "pools"
        result = await first.apply(put("e-3", "pools", "rota", 0, POOL))
        assert (result.number, result.repeated, len(tables.commits)) == (3, True, 3)

    @pytest.mark.parametrize("value", [{"group": "other"}, None])
    async def test_retry_after_other_edits_is_recognised(self, value: Any) -> None:
        """Guards against a retry that undoes edits accepted since the first attempt."""
        tables, first = await prepared()
        await first.apply(put("e-3", "pools", "rota", 0, POOL))
        change = put("e-4", "pools", "rota", 1, value)
        tables.lost_answers, tables.outage_after_loss = 1, True
        with pytest.raises(StoreUnavailable):
            await first.apply(change)
        tables.unavailable = False
        version = 0 if value is None else 2
        await editor(tables).apply(put("e-5", "pools", "rota", version, {"group": "third"}))
        result = await first.apply(change)
        assert (result.number, result.repeated) == (4, True)
        row = await tables.read("pools", "rota")
        assert row is not None and row.value == {"group": "third"}

    async def test_reused_edit_id_is_refused(self) -> None:
        """Guards against a different edit that is mistaken for a retry and lost."""
        _, first = await prepared()
        with pytest.raises(ConfigurationRefused) as refusal:
            await first.apply(put("e-1", "pools", "rota", 0, POOL))
        assert refusal.value.code == ResultCode.EDIT_ID_REUSED

    async def test_same_row_gives_one_operator_a_conflict(self) -> None:
        """Guards against a lost update, and a conflict that does not show the current row."""
        tables, first = await prepared()
        values = [{"group": "a"}, {"group": "b"}]
        results = await asyncio.gather(
            *(
                operator.apply(put(f"x-{index}", "pools", "plans", 1, value))
                for index, (operator, value) in enumerate(
                    zip((first, editor(tables)), values, strict=True)
                )
            ),
            return_exceptions=True,
        )
        conflicts = [result for result in results if isinstance(result, EditConflict)]
        row = await tables.read("pools", "plans")
        assert len(conflicts) == 1
        assert conflicts[0].code == ResultCode.EDIT_CONFLICT
        assert conflicts[0].current == row
        assert len(tables.commits) == 3

    async def test_direct_edit_between_check_and_commit_gives_a_conflict(self) -> None:
        """Guards against an edit that overwrites a row just written by another operator."""
        tables, first = await prepared()
        edit = asyncio.create_task(first.apply(put("e-3", "pools", "plans", 1, {"group": "a"})))
        await asyncio.sleep(0.0035)  # head, document and row are read
        await tables.put("pools", plans={"group": "b"})
        with pytest.raises(EditConflict):
            await edit
        row = await tables.read("pools", "plans")
        assert row is not None and row.value == {"group": "b"}

    async def test_different_rows_both_succeed(self) -> None:
        """Guards against an edit that fails because another one was committed first."""
        tables, first = await prepared()
        operators = [first, *(editor(tables) for _ in range(4))]
        results = await asyncio.gather(
            *(
                operator.apply(put(f"x-{index}", "pools", f"p-{index}", 0, POOL))
                for index, operator in enumerate(operators)
            )
        )
        assert sorted(result.number for result in results) == [3, 4, 5, 6, 7]

    async def test_rename_of_a_pool_against_a_route(self) -> None:
        """Guards against a route without its pool, also when both are edited at once."""
        tables, first = await prepared()
        rename = [RowChange("pools", "plans", 1, None), RowChange("pools", "sketches", 0, POOL)]
        with pytest.raises(ConfigurationRefused) as refusal:
            await first.apply(Edit("x-1", rename))
        assert refusal.value.code == ResultCode.POOL_IN_USE
        assert "pools/plans" in refusal.value.message and "closures" in refusal.value.message
        whole = [*rename, RowChange("routes", "closures", 1, {"pool": "sketches"})]
        results = await asyncio.gather(
            first.apply(Edit("x-2", whole)),
            editor(tables).apply(put("x-3", "routes", "viewers", 0, ROUTE)),
            return_exceptions=True,
        )
        assert sum(isinstance(result, ConfigurationRefused) for result in results) == 1
        _, document, _ = tables.commits[-1]
        build_state(9, document["routes"], document["pools"])

    async def test_old_documents_are_pruned(self) -> None:
        """Guards against documents that accumulate without limit."""
        tables = FaultyTables()
        first = editor(tables)
        for index in range(25):
            await first.apply(put(f"e-{index}", "pools", "plans", index, {"group": f"g-{index}"}))
        kept = sorted(int(row.key) for row in await tables.scan("configurations"))
        assert kept == list(range(6, 26))


class TestDirectEdits:
    """Rows that operators write directly into the tables."""

    async def test_first_start_accepts_the_rows_as_state_one(self) -> None:
        """Guards against a new deployment whose tables never become active."""
        async with Fleet.with_feeds({"chur": 3, "sargans": 3}) as fleet:
            await fleet.tables.put("pools", plans=POOL)
            await fleet.tables.put("routes", closures=ROUTE)
            await asyncio.sleep(5)
            assert fleet.numbers == {1}
            assert len(fleet.tables.commits) == 1

    async def test_invalid_row_is_refused_then_corrected(self) -> None:
        """Guards against an invalid row that becomes active or blocks all later edits."""
        async with Fleet.with_feeds({"chur": 3}) as fleet:
            await fleet.tables.put("pools", plans=POOL)
            await fleet.tables.put("routes", closures=ROUTE)
            await asyncio.sleep(5)
            await fleet.tables.put("routes", viewers={"pool": "plan"})
            await asyncio.sleep(5)
            problems = [one for feed in fleet.feeds.values() for one in feed.status.problems]
            assert {(one.code, one.key) for one in problems} == {(401, "viewers")}
            assert fleet.numbers == {1}
            edit = put("e-1", "pools", "rota", 0, POOL)
            assert (await fleet.feeds["chur-0"].edit(edit)).number == 2
            await fleet.tables.put("routes", viewers=ROUTE)
            await asyncio.sleep(5)
            assert fleet.numbers == {3}
            assert not any(feed.status.problems for feed in fleet.feeds.values())

    async def test_rows_changed_after_the_scan_are_not_mixed(self) -> None:
        """Guards against a state with rows from before and after a change of both tables."""
        tables, _ = await prepared()
        store = ConfigurationStore(Platform(tables, MemoryObjects(), MemoryDirectory()))
        acceptance = TableAcceptance(store, ConfigurationState)
        await tables.put("routes", viewers=ROUTE)
        examination = asyncio.create_task(acceptance.examine())
        await asyncio.sleep(0.0035)  # head, document and routes are read, the pools are not
        await tables.tables.transact(TableTransaction(deletes=[Delete("routes", "viewers")]))
        await tables.put("pools", plans={"group": "signplan-1"})
        assert await examination is None
        state = await acceptance.examine()
        assert state is not None
        assert (sorted(state.routes), state.pools["plans"]["group"]) == (["closures"], "signplan-1")
