"""`wigeonpoint report`."""

from __future__ import annotations

from pathlib import Path

import click
import orjson
from pydantic import TypeAdapter

from wigeonpoint.cli._client import admin_request, instance_options
from wigeonpoint.cli._errors import numbered_errors
from wigeonpoint.report import BurnReport, burn_html, burn_table

_REPORT = TypeAdapter(BurnReport)


@click.group()
def report() -> None:
    """Reports over all instances that can be reached."""


@report.command()
@instance_options
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.option("--html", type=click.Path(path_type=Path), help="Write a page with plots.")
def burn(address: str, token: str, as_json: bool, html: Path | None) -> None:
    """Service-level burn by route, rank and window."""
    with numbered_errors():
        body = admin_request(address, token, "GET", "burn")
    result = _REPORT.validate_python(body)
    if html is not None:
        html.write_text(burn_html(result), encoding="utf-8")
    click.echo(orjson.dumps(result, option=orjson.OPT_INDENT_2) if as_json else burn_table(result))
