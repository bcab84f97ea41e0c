"""`wigeonpoint report`: prints reports over several instances."""

from __future__ import annotations

from pathlib import Path

import click
from pydantic import TypeAdapter

from wigeonpoint.cli._admin_client import AdminClient, instance_options, print_json
from wigeonpoint.report import BurnReport, burn_html, burn_table

_REPORT = TypeAdapter(BurnReport)


@click.group()
def report() -> None:
    """Print reports over all instances that can be reached."""


@report.command()
@instance_options
@click.option("--html", type=click.Path(path_type=Path), help="Also write an HTML page with plots.")
def burn(address: str, token: str, as_json: bool, html: Path | None) -> None:
    """Show error-budget burn by route, rank and window."""
    body = AdminClient(address, token).call("GET", "/burn")["report"]
    result = _REPORT.validate_python(body)
    if html is not None:
        html.write_text(burn_html(result), encoding="utf-8")
    if as_json:
        print_json(body)
    else:
        click.echo(burn_table(result))
