"""Turns errors of the package into numbered messages and an exit status."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import click

from wigeonpoint.errors import WigeonpointError


@contextmanager
def numbered_errors() -> Iterator[None]:
    """Reports an error of the package as `error <number> <name>: <message>`, exit status 1."""
    try:
        yield
    except WigeonpointError as error:
        raise click.ClickException(
            f"{int(error.code)} {error.code.label}: {error.message}"
        ) from error
