"""Client of the platform's store: rows, conditional transactions and the change feed."""

from __future__ import annotations

import base64
import binascii
from typing import Any
from urllib.parse import urlencode

import orjson

from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.platform._http import HttpClient, HttpResponse
from wigeonpoint.services import (
    HistoryLost,
    RowKey,
    RowsRead,
    RowTransaction,
    VersionedRow,
)

CALL_TIMEOUT_S = 1.0
FEED_MARGIN_S = 1.0  # added to the time for which the feed may hold its response back
_STATUS_HISTORY_LOST = 410
_STATUS_CONDITION_FAILED = 412
_ERA_HEADER = "Store-Era"  # raised each time the store is restored from an older copy


class PlatformRowStore:
    """Row store over the platform's HTTP calls.

    All rows lie in the part with the empty name, so that one transaction can cover any of them.

    Args:
        client: Client of the store's address.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._era: int | None = None  # the newest that the store has named

    async def read(self, table: str) -> RowsRead:
        """Reads all rows of a table, page by page.

        Raises:
            StoreUnavailable: No usable response arrived in time.
        """
        rows: list[VersionedRow] = []
        start = ""
        version: int | None = None
        while True:
            query = {"table": table, "part": "", **({"from": start} if start else {})}
            response = await self._get("/rows-get", query, timeout=CALL_TIMEOUT_S)
            page = _decode_body(response)
            rows += [row for row in _rows(page) if not rows or row.key > rows[-1].key]
            # The first page has the oldest version; the feed delivers all changes after it.
            version = _version(page) if version is None else version
            if not page.get("hasMore") or not rows:
                return RowsRead(rows, version)
            start = rows[-1].key  # the next page repeats this row

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowsRead:
        """Waits for changes of a table.

        Args:
            table: Name of the table.
            after: Version after which changes are wanted.
            wait_s: Seconds for which the store may wait for a change.

        Raises:
            HistoryLost: The store no longer holds all changes after that version.
            StoreUnavailable: No usable response arrived in time.
        """
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        response = await self._get("/rows-feed", query, timeout=wait_s + FEED_MARGIN_S)
        if response.status == _STATUS_HISTORY_LOST:
            raise HistoryLost
        body = _decode_body(response)
        return RowsRead(_rows(body), _version(body))

    async def commit(self, transaction: RowTransaction) -> int:
        """Applies a transaction and returns its version.

        Raises:
            ConditionFailed: A row has another version than expected; nothing was changed.
            StoreUnavailable: No usable response arrived; the transaction may have been applied,
                or may be applied later while its condition still holds.
        """
        body = {
            "expected": [
                {**_encode_key(key), "ver": version}
                for key, version in transaction.expected.items()
            ],
            "puts": [
                {**_encode_key(key), "value": base64.b64encode(value).decode()}
                for key, value in transaction.puts.items()
            ],
            "remove": [_encode_key(key) for key in transaction.deletes],
        }
        response = await self._request(
            "POST", "/rows-tx", body=orjson.dumps(body), timeout=CALL_TIMEOUT_S
        )
        if response.status == _STATUS_CONDITION_FAILED:
            raise ConditionFailed("a row has another version than expected")
        return _version(_decode_body(response))

    async def _get(self, path: str, query: dict[str, Any], *, timeout: float) -> HttpResponse:
        return await self._request("GET", f"{path}?{urlencode(query)}", timeout=timeout)

    async def _request(
        self, method: str, path: str, *, body: bytes = b"", timeout: float
    ) -> HttpResponse:
        response = await self._client.request(method, path, body=body, timeout=timeout)
        era = _era(response)
        if self._era is not None and era > self._era:
            log_event(Event.STORE_RESTORED, era=era, known_era=self._era)
        self._era = era if self._era is None else max(era, self._era)
        return response


def _encode_key(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": "", "key": key.key}


def _decode_body(response: HttpResponse) -> dict[str, Any]:
    if response.status != 200:
        raise StoreUnavailable(f"the store answered with HTTP status {response.status}")
    try:
        body = orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise StoreUnavailable(f"the store's answer is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise StoreUnavailable("the store's answer is not a JSON object")
    return body


def _era(response: HttpResponse) -> int:
    """Number of times that the store has been restored, 0 if it does not tell."""
    value = response.headers.get(_ERA_HEADER, "0")
    if not value.isdecimal():
        raise StoreUnavailable(f"the store's {_ERA_HEADER} header is not a number: {value!r}")
    return int(value)


def _version(body: dict[str, Any]) -> int:
    version = body.get("ver")
    if not isinstance(version, int):
        raise StoreUnavailable("the store's answer has no version")
    return version


def _rows(body: dict[str, Any]) -> list[VersionedRow]:
    rows = body.get("rows")
    decoded = [_row(entry) for entry in rows] if isinstance(rows, list) else []
    return [row for row in decoded if row is not None]


def _row(entry: Any) -> VersionedRow | None:
    try:
        deleted = bool(entry.get("deleted"))
        value = b"" if deleted else base64.b64decode(entry["value"])
        return VersionedRow(entry["table"], entry["key"], value, int(entry["ver"]), deleted)
    except (AttributeError, KeyError, TypeError, ValueError, binascii.Error) as error:
        log_event(Event.ROW_UNREADABLE, row=repr(entry)[:200], problem=repr(error))
        return None
