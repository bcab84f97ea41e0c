"""Errors of the command line, with number, name and exit status."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import IO, Any

import click

from wigeonpoint.errors import WigeonpointError


class NumberedError(click.ClickException):
    """Error that prints `error <number> <name>: <message>` and exits with status 1.

    Args:
        number: Number of the result code.
        name: Name of the result code.
        message: What happened and what to do, for the user.
    """

    def __init__(self, number: int, name: str, message: str) -> None:
        super().__init__(message)
        self._number = number
        self._name = name

    @property
    def number(self) -> int:
        """Number of the result code."""
        return self._number

    def show(self, file: IO[Any] | None = None) -> None:
        """Prints the error to standard error."""
        click.echo(f"error {self._number} {self._name}: {self.message}", file=file, err=True)


@contextmanager
def numbered_errors() -> Iterator[None]:
    """Turns a `WigeonpointError` into a `NumberedError`."""
    try:
        yield
    except WigeonpointError as error:
        raise NumberedError(int(error.code), error.code.label, error.message) from error
