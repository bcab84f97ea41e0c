"""End-to-end tests of a gateway over the platform's own protocols, on loopback."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.userplatform._deployment import SERVICE, Deployment


class TestStatements:
    """Statements without a fault."""

    async def test_write_and_read_return_the_members_proof(self, deployment: Deployment) -> None:
        """Guards against ids, texts, rows or proofs that are altered in transit."""
        caller = await deployment.connect_caller()
        assert await caller.send("CONNECT orders u1") == ["READY I -"]
        assert await caller.send("QUERY aa01 WRITE item some data") == [
            "COMPLETE i-chur.aa01",
            "READY I -",
        ]
        assert await caller.send("QUERY aa02 READ item") == [
            "ROW some data",
            "COMPLETE i-chur.aa02",
            "READY I -",
        ]
        assert "QUERY aa01 WRITE item some data" in deployment.members["chur"].received_lines

    async def test_session_state_is_answered_without_a_member(self, deployment: Deployment) -> None:
        """Guards against a session that holds a member connection only to keep its state."""
        caller = await deployment.connect_caller()
        await caller.send("CONNECT orders u1")
        assert await caller.send("QUERY a1 SET colour red") == ["COMPLETE -", "READY I -"]
        assert await caller.send("QUERY a2 PREPARE s1 READ q2c") == ["COMPLETE -", "READY I -"]
        answer = await caller.send("QUERY a3 EXECUTE s1 1a4")
        assert answer == ["ROW q2c", "COMPLETE i-chur.a3", "READY I -"]
        lines = deployment.members["chur"].received_lines
        assert lines[-3:] == [
            "QUERY - SET colour red",
            "QUERY - PREPARE p1 READ q2c",
            "QUERY a3 EXECUTE p1 1a4",
        ]

    async def test_transaction_is_bound_to_one_connection(self, deployment: Deployment) -> None:
        """Guards against statements of one transaction that run on different connections."""
        caller = await deployment.connect_caller()
        await caller.send("CONNECT orders u1")
        assert await caller.send("QUERY b1 BEGIN") == ["COMPLETE -", "READY T -"]
        assert (await caller.send("QUERY b2 WRITE x 1"))[-1] == "READY T -"
        assert await caller.send("QUERY b3 COMMIT") == ["COMPLETE i-chur.b3", "READY I -"]
        assert [e.statement_id for e in deployment.group.members["i-chur"].log] == ["b2"]

    async def test_replica_read_names_the_required_position(self, deployment: Deployment) -> None:
        """Guards against replica reads that do not say which writes they must see."""
        caller = await deployment.connect_caller()
        await caller.send("CONNECT plans u1")
        for number in range(30):
            await caller.send(f"QUERY w{number} WRITE item {number}")
            assert (await caller.send(f"QUERY r{number} READ item"))[0] == f"ROW {number}"
            await asyncio.sleep(0.02)
        replicas = [deployment.members[name] for name in ("stgallen", "sargans")]
        reads = [
            line for server in replicas for line in server.received_lines if " READ item" in line
        ]
        assert all(" AFTER " in line for line in reads)


class TestInvalidInput:
    """Malformed messages, unreadable rows and addresses of other members."""

    @pytest.mark.parametrize("line", ["HELLO", "QUERY onlyid", "QUERY a1 FROBNICATE x"])
    async def test_malformed_message_is_refused_and_the_session_continues(
        self, deployment: Deployment, line: str
    ) -> None:
        """Guards against a malformed line that ends the session."""
        caller = await deployment.connect_caller()
        await caller.send("CONNECT orders u1")
        answer = await caller.send(line)
        assert answer[0].startswith("ERROR MALFORMED ")
        assert answer[1] == "READY I -"
        assert (await caller.send("QUERY a2 READ item"))[-1] == "READY I -"

    async def test_oversized_message_is_refused_and_the_session_continues(
        self, deployment: Deployment
    ) -> None:
        """Guards against a receive buffer that grows without bound."""
        caller = await deployment.connect_caller()
        await caller.send("CONNECT orders u1")
        answer = await caller.send("QUERY a1 WRITE item " + "x" * (1 << 20))
        assert answer[0].startswith("ERROR TOOBIG ")
        assert (await caller.send("QUERY a2 READ item"))[-1] == "READY I -"

    async def test_unknown_database_is_refused(self, deployment: Deployment) -> None:
        """Guards against a session for a database without a route."""
        caller = await deployment.connect_caller()
        assert (await caller.send("CONNECT nowhere u1"))[0].startswith("ERROR NODB ")

    async def test_unreadable_rows_are_skipped(self, deployment: Deployment) -> None:
        """Guards against one invalid row that hides the valid ones."""
        assert deployment.gateway is not None
        view = deployment.gateway.view
        assert sorted(view.catalogue().routes) == ["orders", "plans"]
        assert {pool.record.id for pool in view.group(SERVICE).pools} == {
            "i-chur",
            "i-stgallen",
            "i-sargans",
        }

    async def test_member_that_the_row_does_not_name_gets_no_statement(
        self, deployment: Deployment
    ) -> None:
        """Guards against statements to another member that has taken over an address."""
        group = deployment.group
        record = group.members["i-stgallen"].record
        other = group.add("i-new", "stgallen")
        object.__setattr__(other.record, "address", record.address)
        deployment.platform.put_member(other)
        await asyncio.sleep(0.3)
        assert not any("READ" in line for line in deployment.members["stgallen"].received_lines)


class TestFaults:
    """Failures over the platform's protocols."""

    async def test_crashed_primary_is_replaced_through_the_promotion_call(
        self, deployment: Deployment
    ) -> None:
        """Guards against a promotion call that the platform cannot parse."""
        caller = await deployment.connect_caller()
        await caller.send("CONNECT orders u1")
        await caller.send("QUERY a1 WRITE item before")
        await asyncio.sleep(0.1)
        deployment.members["chur"].crash()
        end = time.monotonic() + 10
        answer = ["ERROR"]
        while answer[0].startswith("ERROR") and time.monotonic() < end:
            answer = await caller.send("QUERY a2 WRITE item after")
            await asyncio.sleep(0.02)
        assert answer[0].startswith("COMPLETE i-s")
        assert [promotion[1:] for promotion in deployment.platform.promotions] == [
            ("front-chur-1", "1")
        ]

    async def test_statements_run_during_a_store_outage(self, deployment: Deployment) -> None:
        """Guards against statements that wait for the store."""
        caller = await deployment.connect_caller()
        await caller.send("CONNECT orders u1")
        deployment.platform.forced_status = 503
        for number in range(20):
            answer = await caller.send(f"QUERY a{number} WRITE item {number}")
            assert answer[0].startswith("COMPLETE")
            await asyncio.sleep(0.05)

    async def test_shutdown_answers_statements_and_ends_idle_sessions(
        self, deployment: Deployment
    ) -> None:
        """Guards against a shutdown that interrupts a statement."""
        caller = await deployment.connect_caller()
        await caller.send("CONNECT orders u1")
        assert deployment.gateway is not None
        draining = asyncio.create_task(deployment.gateway.drain())
        await asyncio.sleep(0.1)
        assert (await caller.send("QUERY a1 WRITE item 1"))[0] == "COMPLETE i-chur.a1"
        await draining
        assert await caller.read() == []
