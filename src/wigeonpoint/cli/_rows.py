"""`wigeonpoint route` and `wigeonpoint pool`: show and change rows of the tables."""

from __future__ import annotations

import uuid
from typing import Any

import click
import orjson

from wigeonpoint.cli._admin_client import (
    AdminClient,
    instance_options,
    print_json,
    print_table,
)
from wigeonpoint.cli._errors import NumberedError
from wigeonpoint.errors import ResultCode


def row_commands(name: str, table: str, reference: str) -> click.Group:
    """Builds the commands of one table.

    Args:
        name: Name of the command group.
        table: `routes` or `pools`.
        reference: Field that names the pool of a route or the group of a pool.
    """

    @click.group(name, help=f"Show and change rows of the table {table}.")
    def group() -> None:
        pass

    @group.command("list")
    @instance_options
    def list_rows(address: str, token: str, as_json: bool) -> None:
        """List all rows."""
        answer = AdminClient(address, token).call("GET", f"/{table}")
        if as_json:
            print_json(answer)
            return
        rows = [
            [one["name"], one["version"], one["row"].get(reference), _other_fields(one, reference)]
            for one in answer["rows"]
        ]
        print_table(
            ["name", "version", reference, "fields", "in force"], _add_in_force_column(rows, answer)
        )

    @group.command("show")
    @click.argument("row_name", metavar="NAME")
    @instance_options
    def show(row_name: str, address: str, token: str, as_json: bool) -> None:
        """Show one row."""
        client = AdminClient(address, token)
        answer = client.call("GET", client.row_path(table, row_name))
        if as_json:
            print_json(answer)
            return
        row = answer["row"]
        fields = [[field, value] for field, value in row["row"].items()]
        in_force = _in_force_text(row)
        print_table(
            ["field", "value"],
            [["name", row["name"]], ["version", row["version"]], *fields, ["in force", in_force]],
        )

    @group.command("set")
    @click.argument("row_name", metavar="NAME")
    @click.argument("fields", nargs=-1, metavar="FIELD=VALUE...")
    @click.option("--replace", is_flag=True, help="Remove the fields that are not given.")
    @click.option("--edit-id", help="Id of the edit; repeat the edit with it to learn the outcome.")
    @click.option("--expected-version", type=int, help="Row version to change; 0 for a new row.")
    @instance_options
    def set_row(
        row_name: str,
        fields: tuple[str, ...],
        replace: bool,
        edit_id: str | None,
        expected_version: int | None,
        address: str,
        token: str,
        as_json: bool,
    ) -> None:
        """Add a row or change its fields.

        A value is JSON or plain text; an empty value removes the field.
        """
        client = AdminClient(address, token)
        path = client.row_path(table, row_name)
        current = _current(client, path)
        row = {} if replace or current is None else dict(current["row"])
        _assign(row, fields)
        if expected_version is None:
            expected_version = 0 if current is None else current["version"]
        body = {
            "edit_id": edit_id or str(uuid.uuid4()),
            "expected_version": expected_version,
            "row": row,
        }
        _report(client.call("PUT", path, body), as_json)

    @group.command("remove")
    @click.argument("row_name", metavar="NAME")
    @click.option("--edit-id", help="Id of the edit; repeat the edit with it to learn the outcome.")
    @click.option("--expected-version", type=int, help="Row version to remove.")
    @instance_options
    def remove(
        row_name: str,
        edit_id: str | None,
        expected_version: int | None,
        address: str,
        token: str,
        as_json: bool,
    ) -> None:
        """Remove a row."""
        client = AdminClient(address, token)
        path = client.row_path(table, row_name)
        if expected_version is None:
            current = _current(client, path)
            # With a version above 0, the instance answers UNKNOWN_ROW.
            expected_version = 1 if current is None else current["version"]
        body = {"edit_id": edit_id or str(uuid.uuid4()), "expected_version": expected_version}
        _report(client.call("DELETE", path, body), as_json)

    return group


def _current(client: AdminClient, path: str) -> dict[str, Any] | None:
    try:
        row: dict[str, Any] = client.call("GET", path)["row"]
    except NumberedError as error:
        if error.number == ResultCode.UNKNOWN_ROW:
            return None
        raise
    if row["version"] is None:
        code = ResultCode.STORE_UNAVAILABLE
        message = "the table service does not answer; edits are possible once it does"
        raise NumberedError(int(code), code.label, message)
    return row


def _assign(row: dict[str, Any], fields: tuple[str, ...]) -> None:
    for field in fields:
        name, separator, text = field.partition("=")
        if not separator:
            raise click.UsageError(f"{field!r} is not of the form FIELD=VALUE")
        if text == "":
            row.pop(name, None)
            continue
        try:
            row[name] = orjson.loads(text)
        except orjson.JSONDecodeError:
            row[name] = text


def _report(answer: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_json(answer)
    elif answer["repeated"]:
        click.echo(f"already accepted as state {answer['number']}")
    else:
        click.echo(f"accepted as state {answer['number']}")


def _other_fields(row: dict[str, Any], reference: str) -> dict[str, Any]:
    return {field: value for field, value in row["row"].items() if field != reference}


def _add_in_force_column(rows: list[list[Any]], answer: dict[str, Any]) -> list[list[Any]]:
    return [[*row, _in_force_text(one)] for row, one in zip(rows, answer["rows"], strict=True)]


def _in_force_text(row: dict[str, Any]) -> str:
    if row["in_force"] is None:
        return "no"
    return "yes" if row["in_force"] == row["row"] else "an earlier version"


route = row_commands("route", "routes", "pool")
pool = row_commands("pool", "pools", "group")
