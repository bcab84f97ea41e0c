"""Adapter for a platform whose services are called with JSON over HTTP.

Calls are rare (claims, edits, polling by a few instances), so Tornado's own client is enough, which
opens a connection for each request.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import Any
from urllib.parse import quote

import orjson
from pydantic import TypeAdapter
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.services._protocol import DirectoryRead, Listing, Platform, Row, TableTransaction

DEFAULT_TIMEOUT_S = 2.0

_ROW = TypeAdapter(Row)
_ROWS = TypeAdapter(list[Row])
_LISTINGS = TypeAdapter(list[Listing])
_NAMES = TypeAdapter(list[str])


class _HttpService:
    """Sends requests to one platform endpoint.

    A failed call raises `StoreUnavailable`, and a failed condition `ConditionFailed`.
    """

    def __init__(self, address: str, *, timeout: float) -> None:
        self._base = f"http://{address}"
        self._timeout = timeout

    async def call(self, method: str, path: str, body: bytes | None = None) -> bytes | None:
        response = await self.fetch(method, path, body)
        return None if response is None else response.body

    async def fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse | None:
        """Returns the response, or None if it is not modified or not found (304 or 404)."""
        request = HTTPRequest(
            self._base + path,
            method=method,
            body=body,
            headers=headers,
            request_timeout=self._timeout,
            connect_timeout=self._timeout,
        )
        try:
            return await AsyncHTTPClient().fetch(request)
        except HTTPClientError as error:
            if error.code in (304, 404):
                return None
            if error.code == 409:
                raise ConditionFailed(_conflict_message(error)) from error
            raise StoreUnavailable(f"{method} {path} failed: {error}") from error
        except OSError as error:
            raise StoreUnavailable(f"{method} {path} failed: {error}") from error


class HttpTableService:
    """Table service that is called over HTTP."""

    def __init__(self, service: _HttpService) -> None:
        self._service = service

    async def read(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it is absent."""
        data = await self._service.call("GET", f"/tables/{_quoted(table)}/{_quoted(key)}")
        return None if data is None else _ROW.validate_json(data)

    async def scan(self, table: str) -> list[Row]:
        """Returns all rows of a table in the order of their keys."""
        return _ROWS.validate_json(
            await self._service.call("GET", f"/tables/{_quoted(table)}") or b"[]"
        )

    async def transact(self, transaction: TableTransaction) -> None:
        """Applies a transaction.

        Raises:
            ConditionFailed: A row is not at the version that the transaction requires.
            StoreUnavailable: The call failed; the transaction may have taken effect.
        """
        await self._service.call("POST", "/transactions", orjson.dumps(asdict(transaction)))


class HttpObjectStore:
    """Object store that is called over HTTP."""

    def __init__(self, service: _HttpService) -> None:
        self._service = service

    async def put(self, name: str, data: bytes) -> None:
        """Writes an object."""
        await self._service.call("PUT", f"/objects/{_quoted(name)}", data)

    async def get(self, name: str) -> bytes | None:
        """Returns an object, or None if it is absent."""
        return await self._service.call("GET", f"/objects/{_quoted(name)}")

    async def names(self, prefix: str) -> list[str]:
        """Returns the names that begin with a prefix, sorted."""
        data = await self._service.call("GET", f"/objects?prefix={_quoted(prefix)}")
        return _NAMES.validate_json(data or b"[]")


class HttpDirectory:
    """Directory that is called over HTTP."""

    def __init__(self, service: _HttpService) -> None:
        self._service = service

    async def list(self) -> list[Listing]:
        """Returns all listings."""
        return _LISTINGS.validate_json(await self._service.call("GET", "/directory") or b"[]")

    async def list_since(self, version: str | None) -> DirectoryRead | None:
        """Returns version and listings, or None if the platform still has the given version."""
        headers = {} if version is None else {"If-None-Match": version}
        response = await self._service.fetch("GET", "/directory", headers=headers)
        if response is None:
            return None
        etag = response.headers.get("Etag", "")
        return DirectoryRead(etag, _LISTINGS.validate_json(response.body))


def http_platform(address: str, *, timeout: float = DEFAULT_TIMEOUT_S) -> Platform:
    """Builds the adapters for a platform at one address.

    Args:
        address: `host:port` of the platform.
        timeout: Seconds after which a call raises `StoreUnavailable`.
    """
    service = _HttpService(address, timeout=timeout)
    return Platform(HttpTableService(service), HttpObjectStore(service), HttpDirectory(service))


def _quoted(text: str) -> str:
    return quote(text, safe="")


def _conflict_message(error: HTTPClientError) -> str:
    body: Any = error.response.body if error.response is not None else b""
    return body.decode(errors="replace") or "a version check of the transaction failed"
