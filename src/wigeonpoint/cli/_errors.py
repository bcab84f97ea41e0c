"""Turns errors of the package into numbered messages and an exit status."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import IO, Any

import click

from wigeonpoint.errors import WigeonpointError


class NumberedError(click.ClickException):
    """An error that is shown as `error <number> <name>: <message>`; exit status 1.

    Args:
        number: Numbered result code.
        name: Name of the code.
        message: A sentence that tells the user what happened and what to do.
    """

    def __init__(self, number: int, name: str, message: str) -> None:
        super().__init__(message)
        self._number = number
        self._name = name

    @property
    def number(self) -> int:
        """Numbered result code."""
        return self._number

    def show(self, file: IO[Any] | None = None) -> None:
        """Prints the error to standard error."""
        click.echo(f"error {self._number} {self._name}: {self.message}", file=file, err=True)


@contextmanager
def numbered_errors() -> Iterator[None]:
    """Reports an error of the package with its number and name."""
    try:
        yield
    except WigeonpointError as error:
        raise NumberedError(int(error.code), error.code.label, error.message) from error
