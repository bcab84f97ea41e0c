"""Tests of transactions that lose a statement or its answer while their caller continues."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest

from tests.fleet import Fleet, FleetInstance, after
from wigeonpoint.connection import RollbackMessage, StatementMessage
from wigeonpoint.errors import InvalidRequest, NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.process._owner import OwnedServer
from wigeonpoint.request import Access, Answer, Statement
from wigeonpoint.standins import MemberOptions
from wigeonpoint.version import Durability

pytestmark = pytest.mark.looptime(noop_cycles=0)


@pytest.fixture
async def fleet() -> Iterator[Fleet]:
    """Three data centres with one instance and one member each."""
    fleet = Fleet.idle()
    yield fleet
    fleet.close()


class _Caller:
    """A caller that counts its requests and ignores errors of statements."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.sent = 0
        self.transaction = ""
        self.session: str | None = None

    async def begin(self, index: int) -> None:
        """Opens a transaction."""
        self.transaction, answer = await self.fleet.instances[index].begin()
        self.session = answer.session

    async def put(self, index: int, text: str, access: Access = Access.WRITE) -> Answer | None:
        """Runs a statement; after an error without a transaction id, the previous id is kept."""
        self.sent += 1
        try:
            answer = await self.fleet.instances[index].transactions.execute(
                self.transaction,
                Statement(text),
                access,
                session=self.session,
                deadline=after(2.0),
                sequence=self.sent,
            )
        except WigeonpointError as error:
            self.transaction = error.transaction or self.transaction
            return None
        self.transaction = str(answer.transaction)
        return answer

    async def commit(self, index: int, request_id: str | None = None) -> Answer:
        """Commits; a repeated commit has the same number in the sequence."""
        return await self.fleet.instances[index].transactions.commit(
            self.transaction,
            request_id=request_id,
            session=self.session,
            deadline=after(4.0),
            sequence=self.sent + 1,
        )


def _cut_off_after(fleet: Fleet, stage: str, text: str) -> None:
    """Loses a statement on the way to its owner, or its answer, and every rollback."""

    async def hook(at: str, address: str, message: Any) -> None:
        lost = isinstance(message, StatementMessage) and message.exchange.statement.text == text
        if isinstance(message, RollbackMessage) or (at == stage and lost):
            raise OutcomeUnknown(ResultCode.CONNECTION_LOST, "cut off from the owner")

    fleet.network.on_message = hook


class TestLostStatement:
    """Guards against a commit that lacks a lost statement or holds one reported as lost."""

    @pytest.mark.parametrize("stage", ["sent", "answered"])
    @pytest.mark.parametrize("position", [0, 1, 2])
    async def test_commit_through_another_instance_is_refused(
        self, fleet: Fleet, stage: str, position: int
    ) -> None:
        caller = _Caller(fleet)
        await caller.begin(1)
        _cut_off_after(fleet, stage, f"ADD n{position} 1")
        for number in range(3):
            await caller.put(1 if number == position else 2, f"ADD n{number} 1")
        with pytest.raises(InvalidRequest) as refused:
            await caller.commit(2)
        assert refused.value.code in (
            ResultCode.TRANSACTION_SEQUENCE,
            ResultCode.UNKNOWN_TRANSACTION,  # a later statement was refused, which rolled it back
        )
        assert [fleet.executions(f"n{number}") for number in range(3)] == [0, 0, 0]
        assert fleet.instances[0].owners.open_transactions == 0

    async def test_refused_statement_leaves_the_transaction_open(self, fleet: Fleet) -> None:
        """Guards against a rollback because the backend server refused a statement."""
        caller = _Caller(fleet)
        await caller.begin(1)
        await caller.put(1, "ADD n 1")
        assert await caller.put(2, "DROP n") is None
        await caller.put(0, "ADD m 1")
        await caller.commit(2)
        assert (fleet.executions("n"), fleet.executions("m")) == (1, 1)

    async def test_statement_refused_by_the_queue_is_repeated(
        self, fleet: Fleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a transaction that ends because its owner was briefly overloaded."""
        caller = _Caller(fleet)
        await caller.begin(1)

        def refuse(*_: object, **__: object) -> None:
            raise NotRun(ResultCode.QUEUE_FULL, "busy")

        with monkeypatch.context() as busy:
            busy.setattr(OwnedServer, "slot", refuse)
            assert await caller.put(1, "ADD n 1") is None
        caller.sent -= 1
        assert await caller.put(2, "ADD n 1") is not None
        await caller.commit(0)
        assert fleet.executions("n") == 1

    async def test_concurrent_second_commit_is_not_sent(self, fleet: Fleet) -> None:
        """Guards against a second commit on a connection that the first one has released."""
        caller = _Caller(fleet)
        await caller.begin(1)
        await caller.put(1, "ADD n 1")
        calls: list[str] = []

        async def hook(stage: str, address: str, kind: str) -> None:
            if (stage, kind) == ("before", "commit"):
                calls.append(address)

        fleet.network.on_exchange = hook
        first, second = await asyncio.gather(caller.commit(1, "c-1"), caller.commit(2, "c-1"))
        assert (first.request_id, second.request_id, calls) == ("c-1", "c-1", ["plans-0"])
        assert fleet.executions("n") == 1


class TestLostInstance:
    """Guards against writes lost or run twice when the receiving instance is lost."""

    async def test_in_the_middle_of_a_request(self, fleet: Fleet) -> None:
        write = asyncio.create_task(fleet.instances[1].write("ADD n 1", request_id="r-1"))
        await asyncio.sleep(0.0025)  # the statement is on its way
        _lose_instance(fleet, fleet.instances[1], write)
        answer = await fleet.instances[2].write("ADD n 1", request_id="r-1")
        assert (answer.rows, fleet.executions("n")) == ([1], 1)

    @pytest.mark.parametrize("delay", [0.0, 0.0006, 0.002, 0.01])
    async def test_in_the_middle_of_a_commit(self, fleet: Fleet, delay: float) -> None:
        caller = _Caller(fleet)
        await caller.begin(1)
        await caller.put(1, "ADD n 1")
        commit = asyncio.create_task(caller.commit(1, "c-1"))
        await asyncio.sleep(delay)
        _lose_instance(fleet, fleet.instances[1], commit)
        answer = await caller.commit(2, "c-1")
        assert (answer.request_id, fleet.executions("n")) == ("c-1", 1)

    async def test_in_the_middle_of_a_statement(self, fleet: Fleet) -> None:
        caller = _Caller(fleet)
        await caller.begin(1)
        put = asyncio.create_task(caller.put(1, "ADD n 1"))
        await asyncio.sleep(0.0006)
        _lose_instance(fleet, fleet.instances[1], put)
        with pytest.raises(WigeonpointError):
            await caller.commit(2)
        assert fleet.executions("n") == 0


def _lose_instance(fleet: Fleet, instance: FleetInstance, request: asyncio.Task[Any]) -> None:
    request.cancel()
    fleet.network.down.add(instance.record.address)


class TestCommit:
    """Commits of transactions that only read, and the durability of the pool."""

    async def test_of_reads_only(self, fleet: Fleet) -> None:
        """Guards against a commit that fails because the transaction changed nothing."""
        written = await fleet.instances[1].write("PUT n 1")
        caller = _Caller(fleet)
        await caller.begin(1)
        read = await caller.put(2, "GET n", Access.READ)
        answer = await caller.commit(0, "c-1")
        assert read is not None
        assert (read.rows, answer.outcome) == (["1"], "done")
        assert fleet.executions("n") == 1
        again = await fleet.instances[1].run("GET n", session=answer.session)
        assert (again.rows, written.outcome) == (["1"], "done")

    @pytest.mark.parametrize("durability", list(Durability))
    async def test_uses_the_pools_durability(self, durability: Durability) -> None:
        """Guards against a commit that waits for more or fewer members than the pool requires."""
        options = MemberOptions(replication_ms=500)
        fleet = Fleet.idle(options=options, durability=durability)
        caller = _Caller(fleet)
        await caller.begin(1)
        await caller.put(1, "ADD n 1")
        started = asyncio.get_running_loop().time()
        await caller.commit(1)
        waited = asyncio.get_running_loop().time() - started
        assert (waited > 0.2) is (durability is Durability.MAJORITY)
        fleet.close()
