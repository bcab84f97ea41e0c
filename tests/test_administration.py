"""Administration of real processes through the command line and its HTTP interface."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result
from tools.cluster import CALLER_TOKEN, OPERATOR_TOKEN, Cluster, call, wait_until

from wigeonpoint.cli import main


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    """One instance in each of two data centres, with rows written directly into the tables."""
    with Cluster() as cluster:
        cluster.add_group("signplan-0", ["chur", "chur", "sargans"])
        cluster.put_rows("pools", {"plans": {"group": "signplan-0"}})
        cluster.put_rows("routes", {"closures": {"pool": "plans"}})
        cluster.add_instance("chur-1", "chur")
        cluster.add_instance("sargans-1", "sargans")
        cluster.wait_ready("chur-1", "sargans-1")
        yield cluster


def run(cluster: Cluster, *arguments: str, instance: str = "chur-1") -> Result:
    """Runs a command against an instance."""
    address = cluster.processes[instance].address
    environment = {"WIGEONPOINT_TOKEN": OPERATOR_TOKEN}
    return CliRunner().invoke(main, [*arguments, "--instance", address], env=environment)


def json_output(cluster: Cluster, *arguments: str, instance: str = "chur-1") -> Any:
    """Runs a command with --json and returns its decoded output."""
    result = run(cluster, *arguments, "--json", instance=instance)
    assert result.exit_code == 0, result.output
    return json.loads(result.output)


class TestCommandLine:
    """Commands against running instances."""

    def test_rows_are_set_shown_and_removed(self, cluster: Cluster) -> None:
        """Guards against commands that do not reach the tables or the other instances."""
        assert "accepted as state" in run(cluster, "pool", "set", "rota", "group=signplan-0").output
        number = json_output(cluster, "route", "set", "timetables", "pool=rota", "rank=bulk")[
            "number"
        ]
        changed = json_output(cluster, "route", "set", "timetables", "objective=0.95")
        assert changed["number"] == number + 1
        row = json_output(cluster, "route", "show", "timetables", instance="sargans-1")["row"]
        assert row["row"] == {"pool": "rota", "rank": "bulk", "objective": 0.95}
        wait_until(
            lambda: {one["number"] for one in json_output(cluster, "status")["instances"]}
            == {number + 1},
            "new state active at both instances",
        )
        text = run(cluster, "route", "list").output
        assert "timetables" in text and "closures" in text and "yes" in text
        removed = run(cluster, "route", "remove", "timetables")
        assert removed.output == f"accepted as state {number + 2}\n"
        assert run(cluster, "pool", "remove", "rota").exit_code == 0

    def test_refusals_are_numbered(self, cluster: Cluster) -> None:
        """Guards against a refused command that exits with 0 or hides its reason."""
        refusals = {
            ("pool", "remove", "plans"): "error 405 pool_in_use: pools/plans cannot be removed",
            ("route", "set", "x", "pool=nowhere"): "error 401 unknown_pool: routes/x: there is no",
            ("route", "set", "x", "pol=plans"): "error 402 invalid_row: routes/x: pool",
            ("pool", "set", "x", "group=typo"): "error 403 unknown_group: pools/x: no backend",
            ("route", "show", "x"): "error 404 unknown_row: there is no row routes/x",
            ("route", "remove", "x"): "error 404 unknown_row: there is no row routes/x",
            ("route", "set", "closures", "rank=bulk", "--expected-version", "9"): (
                "error 400 edit_conflict: routes/closures is at version 1"
            ),
        }
        for arguments, message in refusals.items():
            result = run(cluster, *arguments)
            assert (result.exit_code, message in result.output) == (1, True), result.output

    def test_repeated_edit_id_is_recognised(self, cluster: Cluster) -> None:
        """Guards against a repeat on another instance that is treated as a conflict."""
        arguments = ("pool", "set", "once", "group=signplan-0", "--edit-id", "e-once")
        fixed = (*arguments, "--expected-version", "0", "--replace")
        first = json_output(cluster, *fixed)
        again = json_output(cluster, *fixed, instance="sargans-1")
        assert (again["number"], again["repeated"]) == (first["number"], True)

    def test_wrong_row_in_the_table_shows_in_status(self, cluster: Cluster) -> None:
        """Guards against a refused row that is not reported to the operator."""
        cluster.put_rows("routes", {"viewers": {"pool": "plan"}})
        wait_until(
            lambda: "refused 401 unknown_pool: routes/viewers" in run(cluster, "status").output,
            "refused row in status",
        )
        cluster.put_rows("routes", {"viewers": {"pool": "plans"}})
        wait_until(lambda: not json_output(cluster, "status")["refused"], "corrected row")
        assert json_output(cluster, "route", "show", "viewers")["row"]["in_force"] == {
            "pool": "plans"
        }

    def test_check_does_not_apply(self, cluster: Cluster, tmp_path: Path) -> None:
        """Guards against a check that accepts an invalid file or changes the tables."""
        tables = tmp_path / "tables.json"
        rows: dict[str, Any] = {"routes": {"a": {"pool": "p"}}, "pools": {"p": {"group": "g"}}}
        tables.write_text(json.dumps(rows))
        before = json_output(cluster, "status")["number"]
        settings = str(cluster.directory / "chur-1.json")
        arguments = ["check", "--settings", settings, "--tables", str(tables)]
        assert CliRunner().invoke(main, arguments).output == "valid\n"
        listed = run(cluster, "check", "--tables", str(tables))
        assert listed.exit_code == 1 and "403   unknown_group" in listed.output
        rows["routes"]["a"]["pool"] = "q"
        tables.write_text(json.dumps(rows))
        wrong = CliRunner().invoke(main, arguments)
        assert wrong.exit_code == 1
        assert "401   unknown_pool" in wrong.output and "error 406" in wrong.output
        assert json_output(cluster, "status")["number"] == before

    def test_unreachable_instance_is_named(self, cluster: Cluster) -> None:
        """Guards against a status that omits an unreachable instance."""
        cluster.add_instance("chur-9", "chur")
        wait_until(lambda: len(json_output(cluster, "status")["instances"]) == 3, "third instance")
        cluster.processes["chur-9"].kill()
        assert json_output(cluster, "status")["unreachable"] == ["chur-9"]

    def test_outage_of_the_platform(self, cluster: Cluster) -> None:
        """Guards against an outage that hides the active rows or loses an edit silently."""
        faults = f"http://{cluster.platform}/faults"
        call("POST", faults, {"unavailable": True})
        try:
            assert json_output(cluster, "route", "list")["tables_reachable"] is False
            edit = run(cluster, "pool", "set", "late", "group=signplan-0", "--edit-id", "e-late")
            assert edit.exit_code == 1 and "error 500 store_unavailable" in edit.output
            for command in (("set", "plans", "slots=3"), ("remove", "plans")):
                assert "error 500 store_unavailable" in run(cluster, "pool", *command).output
        finally:
            call("POST", faults, {})
        repeated = run(cluster, "pool", "set", "late", "group=signplan-0", "--edit-id", "e-late")
        assert repeated.exit_code == 0, repeated.output


class TestTokens:
    """Authentication of operators."""

    @pytest.mark.parametrize("token", [None, "wrong", CALLER_TOKEN])
    def test_other_tokens_are_refused(self, cluster: Cluster, token: str | None) -> None:
        """Guards against callers who change routes."""
        url = f"http://{cluster.processes['chur-1'].address}/admin/v1/"
        body = {"edit_id": "x", "expected_version": 0, "row": {"group": "signplan-0"}}
        for method, path, sent in (
            ("GET", "status", None),
            ("GET", "routes", None),
            ("PUT", "pools/stolen", body),
            ("DELETE", "routes/closures", {"edit_id": "y", "expected_version": 1}),
            ("POST", "check", {"routes": {}, "pools": {}}),
        ):
            reply = call(method, url + path, sent, token=token)
            assert (reply.status, reply.body["code"]) == (401, 103)
