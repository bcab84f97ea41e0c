"""Client of the platform's store: rows, conditional transactions and the change feed."""

from __future__ import annotations

import base64
import binascii
from math import isfinite
from typing import Any
from urllib.parse import urlencode

import orjson

from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.platform._customers import OPERATOR_TABLE, hide_keys
from wigeonpoint.platform._http import HttpClient, HttpResponse
from wigeonpoint.services import (
    HistoryLost,
    RowKey,
    RowsRead,
    RowTransaction,
    VersionedRow,
    era_of,
    make_version,
    number_of,
)

CALL_TIMEOUT_S = 1.0
FEED_MARGIN_S = 0.75  # added to the time for which the feed may hold its response back
READ_ATTEMPTS = 3  # of a table, when the store is restored between two of its pages
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
        for _ in range(READ_ATTEMPTS):
            read = await self._read_pages(table)
            if read is not None:
                return read
        raise StoreUnavailable(f"the store was restored during each read of the table {table}")

    async def _read_pages(self, table: str) -> RowsRead | None:
        """Reads a table; returns None if its pages come from different eras."""
        rows: list[VersionedRow] = []
        start = ""
        version: int | None = None
        store_s: float | None = None
        while True:
            query = {"table": table, "part": "", **({"from": start} if start else {})}
            page = _Page(await self._get("/rows-get", query, timeout=CALL_TIMEOUT_S))
            # The first page has the oldest version; the feed delivers all changes after it.
            version = page.version if version is None else version
            store_s = page.store_s if store_s is None else store_s
            if era_of(page.version) != era_of(version):
                return None
            rows += [row for row in page.rows if not rows or row.key > rows[-1].key]
            if not page.has_more or not rows:
                return RowsRead(rows, version, store_s)
            start = rows[-1].key  # the next page repeats this row

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowsRead:
        """Waits for changes of a table.

        Args:
            table: Name of the table.
            after: Version after which changes are wanted.
            wait_s: Seconds for which the store may wait for a change.

        Raises:
            HistoryLost: The store does not hold all changes after that version.
            StoreUnavailable: No usable response arrived in time.
        """
        query = {"table": table, "after": number_of(after), "waitMs": int(wait_s * 1000)}
        response = await self._get("/rows-feed", query, timeout=wait_s + FEED_MARGIN_S)
        # In another era the same number stands for another state of the store.
        if response.status == _STATUS_HISTORY_LOST or _era(response) != era_of(after):
            raise HistoryLost
        page = _Page(response)
        return RowsRead(page.rows, page.version, page.store_s)

    async def commit(self, transaction: RowTransaction) -> int:
        """Applies a transaction and returns its version.

        Raises:
            ConditionFailed: A row has another version than expected; nothing was changed.
            StoreUnavailable: No usable response arrived, or the store was restored after the
                expected versions had been read; the transaction may have been applied, or may be
                applied later while its condition still holds.
        """
        body = {
            "expected": [
                {**_encode_key(key), "ver": number_of(version)}
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
        version = _Page(response).version
        expected = {era_of(expected) for expected in transaction.expected.values() if expected}
        if expected - {era_of(version)}:
            raise StoreUnavailable("the store was restored since the expected rows were read")
        return version

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


def _seconds(milliseconds: Any) -> float | None:
    """A time of the store's clock in seconds, None if the response holds none."""
    valid = isinstance(milliseconds, (int, float)) and not isinstance(milliseconds, bool)
    return milliseconds / 1000 if valid and isfinite(milliseconds) else None


class _Page:
    """Rows and version of a response, with all versions in the era of the response."""

    def __init__(self, response: HttpResponse) -> None:
        body = _decode_body(response)
        self._era = _era(response)
        self.version = self._decode_version(body.get("ver"))
        self.has_more = bool(body.get("hasMore"))
        self.store_s = _seconds(body.get("nowMs"))
        rows = body.get("rows")
        decoded = [self._decode_row(entry) for entry in rows] if isinstance(rows, list) else []
        self.rows = [row for row in decoded if row is not None]

    def _decode_version(self, number: Any) -> int:
        if not isinstance(number, int):
            raise StoreUnavailable("the store's answer has no version")
        try:
            return make_version(self._era, number)
        except ValueError as error:
            raise StoreUnavailable(f"the store's answer is not valid: {error}") from error

    def _decode_row(self, entry: Any) -> VersionedRow | None:
        try:
            deleted = bool(entry.get("deleted"))
            value = b"" if deleted else base64.b64decode(entry["value"])
            version = make_version(self._era, int(entry["ver"]))
            table, key = entry["table"], entry["key"]
            if table == OPERATOR_TABLE:
                value = hide_keys(value)
            return VersionedRow(table, key, value, version, deleted)
        except (AttributeError, KeyError, TypeError, ValueError, binascii.Error) as error:
            row = entry.get("key") if isinstance(entry, dict) else None
            log_event(Event.ROW_UNREADABLE, row=repr(row)[:200], problem=type(error).__name__)
            return None
