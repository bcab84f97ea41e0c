"""State machine test of transactions under lost connections and changes of primary."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import looptime
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tests.fleet import Fleet
from wigeonpoint.errors import NotRun, OutcomeUnknown, WigeonpointError

STAGES = st.sampled_from(["before", "during", "after"])
INSTANCE_INDEXES = st.integers(0, 2)


class TransactionMachine(RuleBasedStateMachine):
    """Transactions that each write two keys of their own.

    Guards against an outcome that the log contradicts: a commit reported as done that is missing,
    one reported as not run that took effect, or one that took effect twice or only in part.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(noop_cycles=0)
        self.open: list[tuple[str, str, str]] = []
        self.outcomes: dict[str, str] = {}
        self.term = 1
        self.number = 0

    @initialize()
    def build(self) -> None:
        async def build() -> Fleet:
            return Fleet.idle()

        self.fleet = self._run(build())

    @rule(instance=INSTANCE_INDEXES)
    def begin(self, instance: int) -> None:
        self.number += 1
        key = f"t{self.number}"

        async def begin() -> None:
            transaction, answer = await self.fleet.instances[instance].begin()
            for part in "xy":
                await self.fleet.instances[instance].put(
                    transaction, f"ADD {key}{part} 1", answer.session
                )
            self.open.append((key, transaction, str(answer.session)))

        self._run(begin())

    @rule(stage=STAGES, call=st.sampled_from(["execute", "commit"]))
    def drop_next_connection(self, stage: str, call: str) -> None:
        self.fleet.lose(stage, call)

    @precondition(lambda self: self.term < 5)
    @rule()
    def change_primary(self) -> None:
        self.term += 1
        self._run(self.fleet.promote((self.term - 1) % 3, self.term))

    @precondition(lambda self: self.open)
    @rule(instance=INSTANCE_INDEXES)
    def commit(self, instance: int) -> None:
        key, transaction, session = self.open.pop(0)

        async def commit() -> str:
            try:
                await self.fleet.instances[instance].commit(transaction, session)
            except OutcomeUnknown:
                return "unknown"
            except (NotRun, WigeonpointError):
                return "not_run"
            return "done"

        self.outcomes[key] = str(self._run(commit()))

    @precondition(lambda self: len(self.open) > 1)
    @rule()
    def foreign_session_is_refused(self) -> None:
        (_, first, _), (_, _, other) = self.open[:2]

        async def is_refused() -> bool:
            try:
                await self.fleet.instances[0].put(first, "ADD intruder 1", other)
            except WigeonpointError:
                return True
            return False

        assert self._run(is_refused())

    @invariant()
    def outcomes_hold(self) -> None:
        for key, outcome in self.outcomes.items():
            runs = [self.fleet.executions(f"{key}{part}") for part in "xy"]
            assert runs[0] == runs[1] <= 1, (key, runs)
            assert outcome == "unknown" or runs[0] == (outcome == "done"), (key, outcome)

    def teardown(self) -> None:
        async def close() -> None:
            if any(instance.owners.open_transactions for instance in self.fleet.instances):
                await asyncio.sleep(
                    15.0
                )  # longer than the idle timeout and the interval of its check
            assert sum(instance.owners.open_transactions for instance in self.fleet.instances) == 0
            self.fleet.close()
            await asyncio.sleep(0.1)

        self._run(close())
        self.outcomes_hold()
        self.loop.close()

    def _run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        async def ignore_errors() -> Any:
            try:
                return await coroutine
            except WigeonpointError:
                return None

        return self.loop.run_until_complete(ignore_errors())


TransactionMachine.TestCase.settings = settings(
    max_examples=15, stateful_step_count=12, deadline=None, derandomize=True
)
TestTransactions = TransactionMachine.TestCase
