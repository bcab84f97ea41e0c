"""Client of the administration interface, for the command line."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar, cast
from urllib.parse import quote

import click
import orjson
from tornado.httpclient import HTTPClient, HTTPRequest

from wigeonpoint.cli._errors import NumberedError
from wigeonpoint.errors import ResultCode

REQUEST_TIMEOUT_S = 15.0
ATTEMPTS = 3  # safe for edits, because a retry sends the same edit id

CommandT = TypeVar("CommandT", bound=Callable[..., Any])


class AdminClient:
    """Calls the administration interface of one instance.

    Args:
        address: `host:port` of the instance.
        token: Bearer token of the operator.
    """

    def __init__(self, address: str, token: str) -> None:
        self._base = f"http://{address}/admin/v1"
        self._token = token

    def call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """Sends a request, with retries, and returns the JSON object of the answer.

        Raises:
            NumberedError: The instance answered with an error, or could not be reached.
        """
        answer: dict[str, Any] = {}
        for attempt in range(1, ATTEMPTS + 1):
            try:
                answer = self._send(method, path, body)
            except (OSError, orjson.JSONDecodeError) as error:
                if attempt == ATTEMPTS:
                    code = ResultCode.PEER_UNREACHABLE
                    message = f"no answer from {self._base}: {error}"
                    raise NumberedError(int(code), code.label, message) from error
                continue
            if answer.get("code") != ResultCode.STORE_UNAVAILABLE:
                break
        if answer.get("code") != 0:
            raise NumberedError(
                answer.get("code", int(ResultCode.INTERNAL)),
                answer.get("name", ResultCode.INTERNAL.label),
                answer.get("message", "the instance gave no reason"),
            )
        return answer

    def row_path(self, table: str, name: str) -> str:
        """Returns the path of a row."""
        return f"/{table}/{quote(name, safe='')}"

    def _send(self, method: str, path: str, body: Any) -> dict[str, Any]:
        request = HTTPRequest(
            self._base + path,
            method=method,
            body=None if body is None else orjson.dumps(body),
            headers={"Authorization": f"Bearer {self._token}", "Content-Type": "application/json"},
            connect_timeout=REQUEST_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            allow_nonstandard_methods=True,
        )
        client = HTTPClient()
        try:
            response = client.fetch(request, raise_error=False)
        finally:
            client.close()
        if response.error is not None and not response.body:
            raise OSError(str(response.error))
        return cast(dict[str, Any], orjson.loads(response.body))


def instance_options(command: CommandT) -> CommandT:
    """Adds the options `--instance`, `--token` and `--json` to a command."""
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print JSON."),
        click.option(
            "--token",
            envvar="WIGEONPOINT_TOKEN",
            required=True,
            help="Bearer token of an operator.",
        ),
        click.option("--instance", "address", required=True, help="Instance as host:port."),
    ):
        command = option(command)
    return command


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def print_table(titles: list[str], rows: list[list[Any]]) -> None:
    """Prints rows as a table with aligned columns."""
    cells = [titles, *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(titles))]
    for row in cells:
        line = "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True))
        click.echo(line.rstrip())


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    return value if isinstance(value, str) else orjson.dumps(value).decode()
