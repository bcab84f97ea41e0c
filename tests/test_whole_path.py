"""Statements, transactions and reports through separate processes on loopback."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest
from tools.cluster import CALLER_TOKEN, OPERATOR_TOKEN, Cluster, call
from tools.keep_alive_http import KeepAliveConnection

MEMBERSHIP_S = 10.0  # an instance is ready before all others know it by gossip


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    """Two data centres with two instances each, and one group of three members."""
    with Cluster() as cluster:
        cluster.add_group("signplan-0", ["chur", "chur", "sargans"])
        cluster.put_rows("pools", {"plans": {"group": "signplan-0"}})
        cluster.put_rows("routes", {"closures": {"pool": "plans"}})
        for name in ("chur-1", "chur-2"):
            cluster.add_instance(name, "chur")
        for name in ("sargans-1", "sargans-2"):
            cluster.add_instance(name, "sargans")
        cluster.wait_ready("chur-1", "chur-2", "sargans-1", "sargans-2")
        yield cluster


class TestStatements:
    """Single statements from end to end."""

    def test_write_is_read_on_an_instance_of_another_data_centre(self, cluster: Cluster) -> None:
        """Guards against a session that does not see its own write on another instance."""
        written = cluster.statement(
            "chur-1", route="closures", text="PUT a ?", parameters=["closed"], access="write"
        )
        assert (written.status, written.body["outcome"]) == (200, "done")
        read = cluster.statement(
            "sargans-2",
            route="closures",
            text="GET a",
            access="read",
            session=written.body["session"],
        )
        assert read.body["rows"] == ["closed"]

    def test_repeated_request_id_runs_once(self, cluster: Cluster) -> None:
        """Guards against running a repeated request a second time on another instance."""
        body = {"route": "closures", "text": "ADD n 1", "access": "write", "request_id": "r-1"}
        first = cluster.statement("chur-2", **body)
        second = cluster.statement("sargans-1", **body)
        assert first.body["rows"] == second.body["rows"] == [1]
        assert (first.body["repeated"], second.body["repeated"]) == (False, True)

    @pytest.mark.parametrize(
        ("body", "code"),
        [
            ({"route": "nowhere", "text": "GET a", "access": "read"}, 104),
            ({"route": "closures", "text": "GET a", "access": "look"}, 101),
            ({"route": "closures", "text": "PUT a 1", "access": "read"}, 109),
            ({"route": "closures", "text": "DROP a", "access": "write"}, 110),
            ({"route": "closures", "text": "GET a", "access": "read", "session": "x"}, 107),
        ],
    )
    def test_invalid_request_gets_its_result_code(
        self, cluster: Cluster, body: dict[str, str], code: int
    ) -> None:
        """Guards against invalid requests that run or get an error without a code."""
        reply = cluster.statement("chur-1", **body)
        assert (reply.body["code"], reply.body["outcome"]) == (code, "not_run")

    async def test_connection_survives_invalid_bodies(self, cluster: Cluster) -> None:
        """Guards against a connection that closes or mixes up answers after an invalid body."""
        connection = await KeepAliveConnection.open(cluster.processes["chur-1"].address)
        codes = []
        for body in (b"{", b"[]", b'"' + b"a" * 1_100_000 + b'"', b'{"route": "closures"}'):
            _, answer = await connection.request_raw("/v1/statements", body, token=CALLER_TOKEN)
            codes.append(answer["code"])
        statement = b'{"route": "closures", "text": "GET none", "access": "read"}'
        _, answer = await connection.request_raw("/v1/statements", statement, token="unknown")
        codes.append(answer["code"])
        _, answer = await connection.request_raw("/v1/statements", statement, token=CALLER_TOKEN)
        connection.close()
        assert codes == [100, 101, 102, 101, 103]
        assert answer["outcome"] == "done"


class TestTransactions:
    """Transactions whose requests go to several instances."""

    def test_transaction_commits_through_other_instances(self, cluster: Cluster) -> None:
        """Guards against a transaction that works only on the instance where it began."""

        def post(instance: str, path: str, **body: object) -> dict[str, object]:
            address = cluster.processes[instance].address
            reply = call("POST", f"http://{address}{path}", body, token=CALLER_TOKEN)
            assert isinstance(reply.body, dict)
            return reply.body

        begun = post("chur-1", "/v1/transactions", route="closures")
        base, session = f"/v1/transactions/{begun['transaction']}", begun["session"]
        put = post(
            "sargans-1",
            f"{base}/statements",
            text="PUT t 7",
            access="write",
            session=session,
            sequence=1,
        )
        assert put["outcome"] == "done"
        foreign = post("chur-2", "/v1/transactions", route="closures")
        refused = post(
            "chur-2",
            f"{base}/statements",
            text="PUT t 8",
            access="write",
            session=foreign["session"],
            sequence=2,
        )
        assert refused["name"] == "foreign_transaction"
        base = f"/v1/transactions/{put['transaction']}"
        done = post("sargans-2", f"{base}/commit", session=session, sequence=2)
        assert done["outcome"] == "done"
        read = cluster.statement(
            "chur-2", route="closures", text="GET t", access="read", session=done["session"]
        )
        assert read.body["rows"] == ["7"]


class TestReports:
    """Burn report of the admin API, and errors for unknown paths and methods."""

    def test_burn_report_merges_instances(self, cluster: Cluster) -> None:
        """Guards against a report that counts the answers of one instance only."""
        for name in ("chur-1", "sargans-1"):
            cluster.statement(name, route="closures", text="GET a", access="read", rank="bulk")
        address = cluster.processes["chur-2"].address
        end = time.monotonic() + MEMBERSHIP_S
        while True:
            reply = call("GET", f"http://{address}/admin/v1/burn", token=OPERATOR_TOKEN)
            if len(reply.body["report"]["instances"]) == 4 or time.monotonic() > end:
                break
            time.sleep(0.1)
        rows = reply.body["report"]["rows"]
        bulk = [row for row in rows if (row["rank"], row["window"]) == ("bulk", "1h")]
        assert [row["total"] for row in bulk] == [2]
        assert len(reply.body["report"]["instances"]) == 4

    def test_burn_report_needs_an_operator(self, cluster: Cluster) -> None:
        """Guards against callers that can read the operators' report."""
        address = cluster.processes["chur-2"].address
        reply = call("GET", f"http://{address}/admin/v1/burn", token=CALLER_TOKEN)
        assert (reply.status, reply.body["name"]) == (401, "unauthorised")

    def test_unknown_paths_and_methods_get_result_codes(self, cluster: Cluster) -> None:
        """Guards against error pages of the web framework, which have no result code."""
        address = cluster.processes["chur-2"].address
        found = [
            call("GET", f"http://{address}/nowhere").body["code"],
            call("GET", f"http://{address}/v1/statements").body["code"],
        ]
        assert found == [111, 112]
