"""Requests of the command line to the administration API of an instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

import click
import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from wigeonpoint.errors import (
    InvalidRequest,
    NotRun,
    ResultCode,
    WigeonpointError,
    error_for,
)

REQUEST_TIMEOUT_S = 15.0

CommandT = TypeVar("CommandT", bound=Callable[..., Any])


def instance_options(command: CommandT) -> CommandT:
    """Adds the options that name an instance and authenticate the operator."""
    command = click.option(
        "--token",
        envvar="WIGEONPOINT_TOKEN",
        required=True,
        help="Operator token; also read from WIGEONPOINT_TOKEN.",
    )(command)
    return click.option("--instance", "address", required=True, help="host:port of any instance.")(
        command
    )


def admin_request(address: str, token: str, method: str, path: str, body: Any = None) -> Any:
    """Sends a request to an instance.

    Args:
        address: `host:port` of the instance.
        token: Operator token.
        method: HTTP method.
        path: Path below `/admin/v1/`.
        body: JSON value, or None.

    Returns:
        The decoded body of the answer.

    Raises:
        WigeonpointError: The instance refused, or could not be reached (PEER_UNREACHABLE).
    """
    return asyncio.run(_request(address, token, method, path, body))


async def _request(address: str, token: str, method: str, path: str, body: Any) -> Any:
    request = HTTPRequest(
        f"http://{address}/admin/v1/{path}",
        method=method,
        headers={"Authorization": f"Bearer {token}"},
        body=None if body is None else orjson.dumps(body),
        allow_nonstandard_methods=True,
        request_timeout=REQUEST_TIMEOUT_S,
    )
    try:
        response = await AsyncHTTPClient().fetch(request)
    except HTTPClientError as error:
        raise _refusal(error) from error
    except OSError as error:
        raise NotRun(
            ResultCode.PEER_UNREACHABLE, f"cannot reach instance {address}: {error}"
        ) from error
    return orjson.loads(response.body or b"null")


def _refusal(error: HTTPClientError) -> WigeonpointError:
    try:
        body = orjson.loads(error.response.body if error.response is not None else b"")
        code, message = ResultCode(body["code"]), str(body["message"])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return InvalidRequest(ResultCode.INTERNAL, f"unexpected answer: {error}")
    return error_for(code, message)
