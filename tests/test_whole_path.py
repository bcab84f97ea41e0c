"""The whole path through separate processes on loopback."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest
from tools.cluster import CALLER_TOKEN, OPERATOR_TOKEN, Cluster, call
from tools.keep_alive_http import KeepAliveConnection

MEMBERSHIP_S = 10.0  # an instance is ready before gossip has told all others of it


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    """Two data centres with two instances each before one group of three members."""
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
        """Guards against a session that does not see its own write elsewhere."""
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
        """Guards against a repeat on another instance that runs a second time."""
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
    def test_wrong_input_gets_its_number(
        self, cluster: Cluster, body: dict[str, str], code: int
    ) -> None:
        """Guards against wrong input that runs or gets an unnumbered error."""
        reply = cluster.statement("chur-1", **body)
        assert (reply.body["code"], reply.body["outcome"]) == (code, "not_run")

    async def test_wrong_bodies_harm_nothing_else_on_the_connection(self, cluster: Cluster) -> None:
        """Guards against a connection that is lost or answers out of step after a wrong body."""
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
    """Transactions that roam between instances."""

    def test_transaction_commits_through_other_instances(self, cluster: Cluster) -> None:
        """Guards against a transaction that is bound to its entry instance."""

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
    """What an operator sees of the service."""

    def test_burn_report_merges_instances(self, cluster: Cluster) -> None:
        """Guards against a report with the counts of one instance only."""
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
        """Guards against callers that read the operators' report."""
        address = cluster.processes["chur-2"].address
        reply = call("GET", f"http://{address}/admin/v1/burn", token=CALLER_TOKEN)
        assert (reply.status, reply.body["name"]) == (401, "unauthorised")

    def test_wrong_paths_and_methods_get_numbers(self, cluster: Cluster) -> None:
        """Guards against answers of the framework without a number."""
        address = cluster.processes["chur-2"].address
        found = [
            call("GET", f"http://{address}/nowhere").body["code"],
            call("GET", f"http://{address}/v1/statements").body["code"],
        ]
        assert found == [111, 112]
