"""The platform's store: rows, conditional transactions and the change feed."""

from __future__ import annotations

import base64
import binascii
from typing import Any
from urllib.parse import urlencode

import orjson

from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.platform._http import HttpAnswer, HttpClient
from wigeonpoint.services import (
    HistoryLost,
    RowKey,
    RowsRead,
    RowTransaction,
    VersionedRow,
)

CALL_TIMEOUT_S = 1.0
FEED_MARGIN_S = 1.0  # beyond the time for which the feed holds an answer back
_HISTORY_LOST = 410
_CONDITION_FAILED = 412


class PlatformRowStore:
    """Calls of the store.

    All rows of the system lie in the empty part, so that one transaction may hold any of them.

    Args:
        client: Client of the store's address.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def read(self, table: str) -> RowsRead:
        """Reads all rows of a table, page by page."""
        rows: list[VersionedRow] = []
        start = ""
        version: int | None = None
        while True:
            query = {"table": table, "part": "", **({"from": start} if start else {})}
            answer = await self._get("/rows-get", query, timeout=CALL_TIMEOUT_S)
            page = _decode(answer)
            rows += [row for row in _rows(page) if not rows or row.key > rows[-1].key]
            # The oldest page decides: changes after it are read from the feed.
            version = _version(page) if version is None else version
            if not page.get("hasMore") or not rows:
                return RowsRead(rows, version)
            start = rows[-1].key  # the next page begins with this row again

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowsRead:
        """Waits for changes of a table."""
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        answer = await self._get("/rows-feed", query, timeout=wait_s + FEED_MARGIN_S)
        if answer.status == _HISTORY_LOST:
            raise HistoryLost
        body = _decode(answer)
        return RowsRead(_rows(body), _version(body))

    async def commit(self, transaction: RowTransaction) -> int:
        """Applies a transaction."""
        body = {
            "expected": [
                {**_place(key), "ver": version} for key, version in transaction.expected.items()
            ],
            "puts": [
                {**_place(key), "value": base64.b64encode(value).decode()}
                for key, value in transaction.puts.items()
            ],
            "remove": [_place(key) for key in transaction.deletes],
        }
        answer = await self._client.request(
            "POST", "/rows-tx", body=orjson.dumps(body), timeout=CALL_TIMEOUT_S
        )
        if answer.status == _CONDITION_FAILED:
            raise ConditionFailed("a row has another version than expected")
        return _version(_decode(answer))

    async def _get(self, path: str, query: dict[str, Any], *, timeout: float) -> HttpAnswer:
        return await self._client.request("GET", f"{path}?{urlencode(query)}", timeout=timeout)


def _place(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": "", "key": key.key}


def _decode(answer: HttpAnswer) -> dict[str, Any]:
    if answer.status != 200:
        raise StoreUnavailable(f"the store answered {answer.status}")
    try:
        body = orjson.loads(answer.body)
    except orjson.JSONDecodeError as error:
        raise StoreUnavailable(f"the store's answer is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise StoreUnavailable("the store's answer is no object")
    return body


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
