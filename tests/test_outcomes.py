"""Tests of outcomes after lost messages, answers and servers, and of the limits of retries."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.fleet import Fleet
from wigeonpoint.connection import CancelMessage, CancelReply, ExecuteMessage
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.process._statement_sender import StatementSender
from wigeonpoint.request import RetryBudget
from wigeonpoint.request._retry_budget import RETRY_BURST
from wigeonpoint.standins import DatabaseMemberStandIn, MemberOptions

pytestmark = pytest.mark.looptime(noop_cycles=0)


@pytest.fixture
def fleet(idle_fleet: Fleet) -> Fleet:
    """Three data centres with one instance and one member each."""
    return idle_fleet


class TestLostConnections:
    """Writes whose connection to the primary drops before, during or after execution."""

    @pytest.mark.parametrize("stage", ["before", "during", "after"])
    async def test_write_runs_once(self, fleet: Fleet, stage: str) -> None:
        """Guards against a write that is lost or runs twice when its connection drops."""
        dropped = fleet.lose(stage, "execute")
        answer = await fleet.instances[1].write("ADD n 1")
        assert (dropped, answer.rows) == (["plans-0"], [1])
        assert fleet.executions("n") == 1
        assert answer.request_id is not None

    async def test_answer_lost_between_instances(self, fleet: Fleet) -> None:
        """Guards against a second run when the owner is lost after it ran the write."""
        lost: list[str] = []

        async def hook(stage: str, address: str, message: Any) -> None:
            if stage == "answered" and isinstance(message, ExecuteMessage) and not lost:
                lost.append(address)
                raise OutcomeUnknown(ResultCode.CONNECTION_LOST, "the owner disappeared")

        fleet.network.on_message = hook
        answer = await fleet.instances[1].write("ADD n 1")
        assert (answer.rows, answer.repeated, fleet.executions("n")) == ([1], True, 1)

    async def test_unreachable_owner_leaves_the_outcome_unknown(self, fleet: Fleet) -> None:
        """Guards against "not run" for a write that ran, and an error without the request id."""

        async def hook(stage: str, address: str, message: Any) -> None:
            if stage == "answered":
                fleet.network.down.add("i-chur")
                raise OutcomeUnknown(ResultCode.CONNECTION_LOST, "the owner disappeared")

        fleet.network.on_message = hook
        with pytest.raises(OutcomeUnknown) as raised:
            await fleet.instances[1].write("ADD n 1", deadline=3.0)
        fleet.network.on_message = None
        fleet.network.down.clear()
        request_id = raised.value.request_id
        answer = await fleet.instances[2].write("ADD n 1", request_id=request_id)
        assert (answer.rows, answer.repeated, fleet.executions("n")) == ([1], True, 1)


class TestRepeatedIds:
    """Requests that repeat a request id."""

    async def test_two_instances_at_once(self, fleet: Fleet) -> None:
        """Guards against a second run when an id is repeated while its first request still runs."""
        fleet.network.members["plans-0"].options.statement_ms = 50
        answers = await asyncio.gather(
            *(instance.write("ADD n 1", request_id="r-1") for instance in fleet.instances)
        )
        assert [answer.rows for answer in answers] == [[1]] * 3
        assert sorted(answer.repeated for answer in answers) == [False, True, True]
        assert fleet.executions("n") == 1

    async def test_after_a_change_of_primary(self, fleet: Fleet) -> None:
        """Guards against a second run because the new primary does not know the id."""
        await fleet.instances[0].write("ADD n 1", request_id="r-1")
        await asyncio.sleep(0.1)
        fleet.network.down.add("plans-0")
        await fleet.promote(1, term=2)
        answer = await fleet.instances[2].write("ADD n 1", request_id="r-1", deadline=5.0)
        assert (answer.rows, answer.repeated) == ([1], True)

    async def test_unconfirmed_write_of_a_cut_off_primary_runs_on_the_new_one(
        self, fleet: Fleet
    ) -> None:
        """Guards against acknowledging a write that is only in the old primary's abandoned log."""
        await fleet.instances[1].write("PUT a 1")
        await asyncio.sleep(0.1)
        fleet.network.cut("chur", "sargans")
        fleet.network.cut("chur", "gallen")
        with pytest.raises(OutcomeUnknown):
            await fleet.instances[0].write("ADD n 1", request_id="r-1", deadline=1.0)
        for index in (1, 2):
            fleet.network.members[f"plans-{index}"].fence(2)
        fleet.network.members["plans-1"].promote(2)
        answer = await fleet.instances[2].write("ADD n 1", request_id="r-1", deadline=5.0)
        fleet.network.heal()
        await asyncio.sleep(1.0)
        assert (answer.rows, answer.repeated, fleet.executions("n")) == ([1], False, 1)
        assert all(member.data["n"] == 1 for member in fleet.network.members.values())


class TestNotRun:
    """Requests that are reported as not run."""

    async def test_refused_requests_never_run(self, fleet: Fleet) -> None:
        """Guards against "not run" for requests that ran, under overload and with a lost owner."""
        outcomes: dict[str, WigeonpointError | None] = {}

        async def write(number: int) -> None:
            key = f"k{number}"
            try:
                await fleet.instances[number % 3].write(f"ADD {key} 1", deadline=0.05)
                outcomes[key] = None
            except WigeonpointError as error:
                outcomes[key] = error

        first = [asyncio.create_task(write(number)) for number in range(200)]
        await asyncio.sleep(0.02)
        fleet.network.down.add("i-chur")
        await asyncio.gather(*first, *(write(number) for number in range(200, 260)))
        fleet.network.down.clear()
        await asyncio.sleep(1.0)
        refused = [key for key, error in outcomes.items() if isinstance(error, NotRun)]
        done = [key for key, error in outcomes.items() if error is None]
        assert refused and done
        assert [key for key in refused if fleet.executions(key)] == []
        assert all(fleet.executions(key) == 1 for key in done)

    async def test_passed_deadline_sends_nothing(self, fleet: Fleet) -> None:
        """Guards against sending after the deadline, which would leave the outcome unknown."""
        sent: list[Any] = []

        async def hook(stage: str, address: str, message: Any) -> None:
            sent.append(message)

        fleet.network.on_message = hook
        with pytest.raises(NotRun) as raised:
            await fleet.instances[1].write("ADD n 1", deadline=0)
        assert (raised.value.code, sent) == (ResultCode.DEADLINE_UNREACHABLE, [])
        assert raised.value.retry_after_ms

    @pytest.mark.parametrize("removed", [True, False])
    async def test_only_a_confirmed_cancellation_counts_as_not_run(
        self, fleet: Fleet, removed: bool
    ) -> None:
        """Guards against "not run" for a statement that timed out but may still run."""
        cancelled: list[str] = []

        async def cancel(message: CancelMessage) -> CancelReply:
            cancelled.append(message.message_id)
            return CancelReply(known=True, sent=not removed)

        async def never_answer(message: ExecuteMessage) -> None:
            await asyncio.sleep(60)

        owner = fleet.instances[0].dispatcher
        owner.register(CancelMessage, cancel)
        owner.register(ExecuteMessage, never_answer)
        with pytest.raises(NotRun if removed else OutcomeUnknown) as raised:
            await fleet.instances[1].write("ADD n 1", deadline=0.3)
        assert cancelled
        assert (raised.value.request_id is None) is removed


class TestRetryBudget:
    """Limits of the number of retries."""

    async def test_attempts_are_limited_in_an_outage(
        self, fleet: Fleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against retries that multiply the load while every attempt fails."""
        sent = 0

        async def refuse(*args: Any, **options: Any) -> None:
            nonlocal sent
            sent += 1
            raise NotRun(ResultCode.CONNECTION_LIMIT, "the server is full")

        monkeypatch.setattr(StatementSender, "send", refuse)
        instance = fleet.instances[0]
        results = await asyncio.gather(
            *(instance.write("ADD n 1", deadline=2.0) for _ in range(500)), return_exceptions=True
        )
        codes = {result.code for result in results if isinstance(result, WigeonpointError)}
        assert ResultCode.RETRY_BUDGET_EXHAUSTED in codes
        assert all(isinstance(result, NotRun) for result in results)
        assert 500 < sent <= 500 + RETRY_BURST + 500 * 0.1 + 2 * 3
        assert instance.router.budgets.retries == sent - 500

    async def test_quiet_route_may_retry(self) -> None:
        """Guards against a route with little traffic that can never retry."""
        budget = RetryBudget("closures")
        while budget.take():
            pass
        await asyncio.sleep(1.0)
        assert [budget.take() for _ in range(5)] == [True, True, True, False, False]


class TestTransactions:
    """Transactions whose connection, owner or answers are lost."""

    @pytest.mark.parametrize("stage", ["before", "during", "after"])
    async def test_lost_answer_to_a_commit(self, fleet: Fleet, stage: str) -> None:
        """Guards against a wrong outcome for a commit whose answer is lost."""
        transaction, begun = await fleet.instances[1].begin()
        await fleet.instances[2].put(transaction, "ADD n 1", begun.session)
        fleet.lose(stage, "commit")
        try:
            answer = await fleet.instances[1].commit(transaction, begun.session)
        except NotRun as error:
            assert stage == "before" and error.code is ResultCode.TRANSACTION_LOST
            assert fleet.executions("n") == 0
        else:
            assert stage != "before" and answer.repeated
            assert fleet.executions("n") == 1

    async def test_commit_that_is_missing_in_a_later_term(self, fleet: Fleet) -> None:
        """Guards against an unknown outcome when the new primary proves that nothing committed."""
        transaction, begun = await fleet.instances[1].begin()
        await fleet.instances[1].put(transaction, "ADD n 1", begun.session)
        fleet.network.down.add("plans-0")
        fleet.network.members["plans-0"].fence(2)
        await fleet.promote(1, term=2)
        with pytest.raises(NotRun) as raised:
            await fleet.instances[2].commit(transaction, begun.session)
        assert raised.value.code is ResultCode.TRANSACTION_LOST

    async def test_commit_after_its_primary_was_elected_again(self, fleet: Fleet) -> None:
        """Guards against a commit that takes effect after it was reported as not run."""
        transaction, begun = await fleet.instances[1].begin()
        await fleet.instances[1].put(transaction, "ADD n 1", begun.session)
        await fleet.promote(0, term=2)
        with pytest.raises(NotRun) as raised:
            await fleet.instances[1].commit(transaction, begun.session)
        assert raised.value.code is ResultCode.TRANSACTION_LOST
        assert fleet.executions("n") == 0

    async def test_refused_commit_cannot_run_later(self, fleet: Fleet) -> None:
        """Guards against "not run" while the commit is still on its way to the server."""
        transaction, begun = await fleet.instances[1].begin()
        await fleet.instances[1].put(transaction, "ADD n 1", begun.session)
        late_errors: list[BaseException] = []
        commit = DatabaseMemberStandIn.commit

        def commit_and_record_error(member: DatabaseMemberStandIn, *arguments: Any) -> Any:
            try:
                return commit(member, *arguments)
            except NotRun as error:
                late_errors.append(error)
                raise

        async def delay(stage: str, address: str, kind: str) -> None:
            if (stage, kind) == ("before", "commit"):
                await asyncio.sleep(6.0)

        fleet.network.on_exchange = delay
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(DatabaseMemberStandIn, "commit", commit_and_record_error)
            with pytest.raises(NotRun) as raised:
                await fleet.instances[1].commit(transaction, begun.session)
            await asyncio.sleep(6.0)
        assert raised.value.code is ResultCode.TRANSACTION_LOST
        assert len(late_errors) == 1  # the commit reached the server after all
        assert fleet.executions("n") == 0

    async def test_repeated_commit_gets_the_recorded_answer(self, fleet: Fleet) -> None:
        """Guards against an error for a repeated commit that has taken effect."""
        transaction, begun = await fleet.instances[1].begin()
        await fleet.instances[1].put(transaction, "ADD n 1", begun.session)
        await fleet.instances[1].commit(transaction, begun.session, "c-1")
        again = await fleet.instances[2].commit(transaction, begun.session, "c-1")
        assert again.repeated and fleet.executions("n") == 1

    @pytest.mark.parametrize("stage", ["before", "during", "after"])
    async def test_lost_statement_ends_the_transaction(self, fleet: Fleet, stage: str) -> None:
        """Guards against a commit that lacks a statement whose answer was lost."""
        transaction, begun = await fleet.instances[1].begin()
        await fleet.instances[1].put(transaction, "ADD n 1", begun.session)
        fleet.lose(stage, "execute")
        with pytest.raises(NotRun) as raised:
            await fleet.instances[1].put(transaction, "ADD m 1", begun.session)
        assert raised.value.code is ResultCode.TRANSACTION_LOST
        with pytest.raises(WigeonpointError):
            await fleet.instances[1].commit(transaction, begun.session)
        assert (fleet.executions("n"), fleet.executions("m")) == (0, 0)

    async def test_answer_lost_between_instances_rolls_back(self, fleet: Fleet) -> None:
        """Guards against a transaction that stays open after its caller was told it rolled back."""
        transaction, begun = await fleet.instances[1].begin()

        async def hook(stage: str, address: str, message: Any) -> None:
            if stage == "answered":
                fleet.network.on_message = None
                raise OutcomeUnknown(ResultCode.CONNECTION_LOST, "lost")

        fleet.network.on_message = hook
        with pytest.raises(NotRun):
            await fleet.instances[1].put(transaction, "ADD n 1", begun.session)
        assert fleet.instances[0].owners.open_transactions == 0

    async def test_other_session_is_refused(self, fleet: Fleet) -> None:
        """Guards against another session that writes in a transaction or commits it."""
        transaction, _ = await fleet.instances[1].begin()
        _, other = await fleet.instances[1].begin()
        for instance in fleet.instances:
            with pytest.raises(WigeonpointError) as raised:
                await instance.put(transaction, "ADD n 1", other.session)
            assert raised.value.code is ResultCode.FOREIGN_TRANSACTION
            with pytest.raises(WigeonpointError) as raised:
                await instance.commit(transaction, other.session, "c-2")
            assert raised.value.code is ResultCode.FOREIGN_TRANSACTION

    async def test_begin_is_retried_on_the_new_primary(self, fleet: Fleet) -> None:
        """Guards against a failing begin although it could be retried on the new primary."""
        await fleet.instances[1].write("PUT a 1")
        await asyncio.sleep(0.1)
        await fleet.promote(1, term=2)
        transaction, begun = await fleet.instances[1].begin()
        await fleet.instances[1].put(transaction, "ADD n 1", begun.session)
        await fleet.instances[1].commit(transaction, begun.session)
        assert fleet.executions("n") == 1


class TestConnectionLimits:
    """The connection limit after lost answers."""

    async def test_lost_connections_are_removed_from_the_pool(self) -> None:
        """Guards against a pool that counts closed connections until it can open none."""
        fleet = Fleet.idle(options=MemberOptions(connection_limit=2))
        for _ in range(6):
            fleet.lose("during", "execute")
            await fleet.instances[1].write("ADD n 1")
            await asyncio.sleep(1.0)
        assert fleet.executions("n") == 6
        fleet.close()
