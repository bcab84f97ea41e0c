"""Root of the command line."""

from __future__ import annotations

import click

from wigeonpoint import __version__
from wigeonpoint.cli._check import check
from wigeonpoint.cli._gateway import gateway
from wigeonpoint.cli._load import load
from wigeonpoint.cli._report import report
from wigeonpoint.cli._rows import row_commands
from wigeonpoint.cli._serve import serve
from wigeonpoint.cli._standin import standin
from wigeonpoint.cli._status import status


@click.group()
@click.version_option(__version__)
def main() -> None:
    """A database proxy with session consistency and urgent-first service."""


main.add_command(report)
main.add_command(check)
main.add_command(row_commands("route", "routes", "pool"))
main.add_command(row_commands("pool", "pools", "group"))
main.add_command(gateway)
main.add_command(load)
main.add_command(serve)
main.add_command(status)
main.add_command(standin)
