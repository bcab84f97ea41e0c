"""Root of the command line."""

from __future__ import annotations

import click

from wigeonpoint import __version__
from wigeonpoint.cli._load import load
from wigeonpoint.cli._serve import serve
from wigeonpoint.cli._standin import standin


@click.group()
@click.version_option(__version__)
def main() -> None:
    """A database proxy with session consistency and urgent-first service."""


main.add_command(load)
main.add_command(serve)
main.add_command(standin)
