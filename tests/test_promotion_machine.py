"""Random schedules of competing changes of primary, also without single safety mechanisms."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import looptime
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tests.fakes import FakeBackend, FakeMember, FakeNetwork, add_group
from tests.faulty_platform import FaultyTables
from wigeonpoint.backend import Exchange, MemberRole, MemberStatus
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.request import Statement
from wigeonpoint.services import Row, TableTransaction
from wigeonpoint.standins import MemberOptions
from wigeonpoint.version import (
    BackendServer,
    GroupConfirmer,
    GroupPhase,
    GroupRecords,
    GroupView,
    Promotion,
    _promotion,
)

DATA_CENTRES = ["chur", "sargans", "gallen"]
CLAIMANTS = st.sampled_from(range(3))
STEP_S = 0.0015
DELAYS_MS = st.sampled_from([0, 1, 2, 3, 5, 10, 40])
MEMBERS = st.sampled_from(range(3))
SETTINGS = settings(
    max_examples=40,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class Gate:
    """Delays a paused claimant's calls before they are sent, and their results afterwards."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()

    async def call(self, send: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
        """Sends a call once the claimant runs, and returns its result once it runs again."""
        await self.open.wait()
        try:
            result = await send()
        except WigeonpointError:
            await self.open.wait()
            raise
        await self.open.wait()
        return result


class GatedMember:
    """Control interface of a member, whose calls pass a claimant's gate."""

    def __init__(self, gate: Gate, member: FakeMember, delay: float) -> None:
        self._gate, self._member, self._delay = gate, member, delay

    async def status(self, *, timeout: float) -> MemberStatus:
        """Reports the status."""
        status: MemberStatus = await self._gate.call(lambda: self._member.status(timeout=timeout))
        return status

    async def fence(self, term: int, *, timeout: float) -> MemberStatus:
        """Fences the member."""
        await asyncio.sleep(self._delay)
        status: MemberStatus = await self._gate.call(
            lambda: self._member.fence(term, timeout=timeout)
        )
        return status

    async def promote(self, term: int, *, timeout: float) -> MemberStatus:
        """Promotes the member."""
        status: MemberStatus = await self._gate.call(
            lambda: self._member.promote(term, timeout=timeout)
        )
        return status


class GatedBackend(FakeBackend):
    """Backend whose control calls pass a claimant's gate."""

    def __init__(self, gate: Gate, network: FakeNetwork, data_centre: str) -> None:
        super().__init__(network, data_centre)
        self._gate = gate
        self._index = DATA_CENTRES.index(data_centre)

    def member(self, address: str) -> GatedMember:  # type: ignore[override]
        """Control interface of a member; each claimant reaches another majority first."""
        distance = (int(address[-1]) - self._index) % len(DATA_CENTRES)
        return GatedMember(self._gate, super().member(address), distance * STEP_S)


class GatedTables:
    """Table service whose calls pass a claimant's gate."""

    def __init__(self, gate: Gate, tables: FaultyTables) -> None:
        self._gate, self._tables = gate, tables

    async def read(self, table: str, key: str) -> Row | None:
        """Reads a row."""
        row: Row | None = await self._gate.call(lambda: self._tables.read(table, key))
        return row

    async def scan(self, table: str) -> list[Row]:
        """Reads a table."""
        return await self._tables.scan(table)

    async def transact(self, transaction: TableTransaction) -> None:
        """Applies a transaction."""
        await self._gate.call(lambda: self._tables.transact(transaction))


class Claimant:
    """An instance that starts or resumes a change of primary on demand."""

    def __init__(self, data_centre: str, network: FakeNetwork, tables: FaultyTables) -> None:
        self.gate = Gate()
        backend = GatedBackend(self.gate, network, data_centre)
        servers = [BackendServer(f"g-{i}", f"g-{i}", at, "g") for i, at in enumerate(DATA_CENTRES)]
        self._records = GroupRecords(GatedTables(self.gate, tables))
        self._promotion = Promotion(
            GroupView("g", servers, backend),
            self._records,
            backend,
            instance_id=data_centre,
            announce=lambda primary: None,
        )
        self.task: asyncio.Task[None] | None = None

    async def act(self, seen_term: int) -> None:
        """Claims a term, or resumes the change of primary that the record shows."""
        with suppress(WigeonpointError):
            stored = await self._records.read("g")
            if stored.record.phase is GroupPhase.STABLE:
                await self._promotion.replace_primary(stored, seen_term=seen_term)
                return
            try:
                await self._promotion.resume(stored)
            except _promotion.CandidateLost:
                await self._promotion.replace_primary(stored, seen_term=seen_term)


class PromotionMachine(RuleBasedStateMachine):
    """Claimants that pause, end or lose answers, partitioned members, and writes."""

    unconditional = False

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(noop_cycles=0)
        self.run(self._set_up())

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Runs the event loop until a coroutine has ended."""
        return self.loop.run_until_complete(coroutine)

    async def _set_up(self) -> None:
        self.network = FakeNetwork()
        options = MemberOptions(statement_ms=0, replication_ms=5)
        self.members = add_group(self.network, "g", DATA_CENTRES, options)
        self.tables = FaultyTables(unconditional=self.unconditional)
        self.claimants = [
            Claimant(data_centre, self.network, self.tables) for data_centre in DATA_CENTRES
        ]
        servers = [BackendServer(f"g-{i}", f"g-{i}", at, "g") for i, at in enumerate(DATA_CENTRES)]
        self.confirmers = [
            GroupConfirmer(servers, FakeBackend(self.network, data_centre))
            for data_centre in DATA_CENTRES
        ]
        self.acknowledged: dict[str, tuple[int, int]] = {}  # key: term, member
        self.terms = [1, 1, 1]
        self.writes: set[asyncio.Task[None]] = set()
        self.count = 0

    @rule(index=CLAIMANTS, wait_ms=DELAYS_MS)
    def claim(self, index: int, wait_ms: int) -> None:
        """Lets a claimant act on the record."""
        claimant = self.claimants[index]
        if claimant.task is None or claimant.task.done():
            seen = max(member.status().fenced_term for member in self.members)
            claimant.task = self.loop.create_task(claimant.act(seen))
        self.wait(wait_ms)

    @rule(pair=st.permutations(range(3)), delay_ms=DELAYS_MS, cut=st.sampled_from([None, 0, 1, 2]))
    def race(self, pair: list[int], delay_ms: int, cut: int | None) -> None:
        """Lets two claimants act shortly after each other amid writes, maybe in a partition."""
        self.network.heal()
        if cut is not None:
            self.cut_off(cut)
        self.claim(pair[0], delay_ms)
        self.write(0)
        self.claim(pair[1], 20)
        self.write(20)

    @rule(index=CLAIMANTS, milliseconds=st.sampled_from([2, 10, 50, 800]))
    def pause(self, index: int, milliseconds: int) -> None:
        """Pauses a claimant, which later continues with stale knowledge."""
        gate = self.claimants[index].gate.open
        gate.clear()
        self.loop.call_later(milliseconds / 1000, gate.set)

    @rule(index=CLAIMANTS)
    def kill_claimant(self, index: int) -> None:
        """Ends a claimant's change of primary."""
        task = self.claimants[index].task
        if task is not None:
            task.cancel()

    @rule()
    def lose_answer(self) -> None:
        """Loses the answer to the next change of the record."""
        self.tables.lost_answers = 1

    @rule(index=MEMBERS)
    def cut_off(self, index: int) -> None:
        """Partitions one data centre from the other two."""
        self.network.heal()
        for data_centre in DATA_CENTRES:
            if data_centre != DATA_CENTRES[index]:
                self.network.cut(DATA_CENTRES[index], data_centre)

    @rule()
    def heal(self) -> None:
        """Ends all partitions."""
        self.network.heal()

    @rule(wait_ms=DELAYS_MS)
    def write(self, wait_ms: int) -> None:
        """Writes to each member that acts as primary, confirmed from its data centre."""
        for index, member in enumerate(self.members):
            if member.status().role is MemberRole.PRIMARY:
                self.count += 1
                task = self.loop.create_task(self._write(index, f"k{self.count}"))
                self.writes.add(task)
                task.add_done_callback(self.writes.discard)
        self.wait(wait_ms)

    @rule(milliseconds=st.sampled_from([20, 600]))
    def wait(self, milliseconds: int) -> None:
        """Lets time pass."""
        self.run(asyncio.sleep(milliseconds / 1000))

    @invariant()
    def one_member_acknowledges_in_a_term(self) -> None:
        """At most one primary acknowledges in each term."""
        by_term: dict[int, set[int]] = {}
        for term, member in self.acknowledged.values():
            by_term.setdefault(term, set()).add(member)
        assert all(len(members) == 1 for members in by_term.values()), by_term

    @invariant()
    def later_primaries_hold_acknowledged_writes(self) -> None:
        """No acknowledged write is missing after a promotion."""
        for member in self.members:
            status = member.status()
            if status.role is MemberRole.PRIMARY:
                for key, (term, _) in self.acknowledged.items():
                    assert term > status.fenced_term or key in member.data, (key, term, status)

    @invariant()
    def terms_only_rise(self) -> None:
        """No member obeys a lower term than before."""
        terms = [member.status().fenced_term for member in self.members]
        assert all(new >= old for new, old in zip(terms, self.terms, strict=True))
        self.terms = terms

    async def _write(self, index: int, key: str) -> None:
        member, term = self.members[index], self.members[index].status().fenced_term
        exchange = Exchange(Statement("PUT ? 1", [key]), read_only=False, request_id=key)
        with suppress(WigeonpointError):
            answer = await member.execute(None, exchange)
            await self.confirmers[index].confirm(answer.at, member.name, timeout=0.5)
            self.acknowledged[key] = (term, index)

    def teardown(self) -> None:
        """Cancels all tasks of the run."""
        self.run(self._end())
        self.loop.close()

    async def _end(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class TestPromotionMachine:
    """Guards against two primaries in a term, lost acknowledged writes and falling terms."""

    def test_random_schedules(self) -> None:
        run_state_machine_as_test(PromotionMachine, settings=SETTINGS)

    def test_schedules_reach_acknowledged_writes_after_promotions(self) -> None:
        """Guards against schedules that acknowledge no writes in later terms."""
        seen: set[int] = set()

        class Observed(PromotionMachine):
            def teardown(self) -> None:
                seen.update(term for term, _ in self.acknowledged.values())
                super().teardown()

        run_state_machine_as_test(Observed, settings=SETTINGS)
        assert len(seen) >= 3


class TestSwitchedOffMechanism:
    """Guards against schedules that miss the loss of a safety mechanism."""

    def _expect_violation(self, machine: type[PromotionMachine]) -> None:
        with pytest.raises(AssertionError):
            run_state_machine_as_test(machine, settings=settings(SETTINGS, max_examples=150))

    def test_fence_of_one_member_is_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_promotion, "_has_both_majorities", lambda found, record: bool(found))
        self._expect_violation(PromotionMachine)

    def test_confirmation_by_one_member_is_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(GroupConfirmer, "majority", 1)
        self._expect_violation(PromotionMachine)

    def test_unconditional_record_update_is_detected(self) -> None:
        class Unconditional(PromotionMachine):
            unconditional = True

        self._expect_violation(Unconditional)
