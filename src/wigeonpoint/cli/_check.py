"""`wigeonpoint check`: validates settings and tables before they are applied."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import orjson

from wigeonpoint.cli._admin_client import AdminClient, print_json, print_table
from wigeonpoint.cli._errors import numbered_errors
from wigeonpoint.errors import ConfigurationRefused, ResultCode
from wigeonpoint.process import read_settings
from wigeonpoint.version import state_problems

_PATH = click.Path(path_type=Path)


@click.command()
@click.option("--settings", type=_PATH, help="Settings file of an instance.")
@click.option("--tables", type=_PATH, help='JSON file {"routes": {...}, "pools": {...}}.')
@click.option("--instance", "address", help="Also check against the active state there.")
@click.option("--token", envvar="WIGEONPOINT_TOKEN", help="Bearer token of an operator.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(
    settings: Path | None,
    tables: Path | None,
    address: str | None,
    token: str | None,
    as_json: bool,
) -> None:
    """Check a settings file and a tables file without applying them."""
    if settings is None and tables is None:
        raise click.UsageError("give --settings, --tables or both")
    if address is not None and token is None:
        raise click.UsageError("--instance needs --token or WIGEONPOINT_TOKEN")
    with numbered_errors():
        if settings is not None:
            read_settings(settings)
        problems = [] if tables is None else _problems(_read_tables(tables), address, token)
        _report(problems, as_json)


def _read_tables(path: Path) -> dict[str, Any]:
    try:
        tables = orjson.loads(path.read_bytes())
    except OSError as error:
        raise _tables_error(path, error.strerror or "cannot be read") from error
    except orjson.JSONDecodeError as error:
        raise _tables_error(path, f"is not JSON: {error}") from error
    if not isinstance(tables, dict) or set(tables) != {"routes", "pools"}:
        raise _tables_error(path, 'must hold an object with "routes" and "pools"')
    if not all(isinstance(rows, dict) for rows in tables.values()):
        raise _tables_error(path, "must hold the rows of each table by name")
    return tables


def _problems(
    tables: dict[str, Any], address: str | None, token: str | None
) -> list[dict[str, Any]]:
    if address is not None and token is not None:
        found: list[dict[str, Any]] = AdminClient(address, token).call("POST", "/check", tables)[
            "problems"
        ]
        return found
    return [
        {
            "code": int(problem.code),
            "name": problem.code.label,
            "table": problem.table,
            "key": problem.key,
            "message": problem.message,
        }
        for problem in state_problems(tables["routes"], tables["pools"])
    ]


def _report(problems: list[dict[str, Any]], as_json: bool) -> None:
    if as_json:
        print_json({"valid": not problems, "problems": problems})
    elif problems:
        rows = [[one["code"], one["name"], one["message"]] for one in problems]
        print_table(["code", "name", "problem"], rows)
    else:
        click.echo("valid")
    if problems:
        raise ConfigurationRefused(
            ResultCode.TABLES_INVALID, f"{len(problems)} problem(s) in the tables file"
        )


def _tables_error(path: Path, message: str) -> ConfigurationRefused:
    return ConfigurationRefused(ResultCode.TABLES_INVALID, f"tables {path}: {message}")
