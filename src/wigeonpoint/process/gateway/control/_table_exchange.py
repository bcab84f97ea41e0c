"""Copies tables of the store between instances.

Messages name a version by its number and its era, as instances of earlier builds know only numbers.
What such an instance sends counts for the era that is known here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from wigeonpoint.connection import PeerDispatcher, PeerTransport
from wigeonpoint.errors import OutcomeUnknown, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.process.gateway.control._messages import (
    FetchTable,
    GatewayState,
    TableCopy,
    TableRow,
)
from wigeonpoint.process.gateway.control._records import CONTROL_TABLE
from wigeonpoint.services import (
    RowsRead,
    VersionedRow,
    era_of,
    make_version,
    number_of,
    version_fields,
)

CONTROL_FETCH_TIMEOUT_S = 0.6
# Of the other tables. A configuration of many routes takes most of a second over a narrow link.
FETCH_TIMEOUT_S = 3.0
BEHIND_PING_LIMIT = 2  # a working feed of the own brings a change within fewer pings


class TableExchange:
    """Fetches tables of which peers know later changes, and gives peers the own copies.

    Args:
        transport: Sends messages; it should carry nothing else, as large copies delay what follows.
        tables: Feeds of all tables by name.
    """

    def __init__(self, transport: PeerTransport, tables: Mapping[str, TableFeed]) -> None:
        self._transport = transport
        self._tables = tables
        self._behind: dict[tuple[str, str], int] = {}
        self._copies: dict[str, asyncio.Task[None]] = {}

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler of requests for copies."""
        dispatcher.register(FetchTable, self._answer_fetch)

    async def fetch_newer(self, address: str, state: GatewayState) -> None:
        """Fetches tables of which a peer knows later changes, most of them in the background.

        Raises:
            WigeonpointError: The control table could not be fetched. Without its newest rows, the
                peer's answer must not renew the lease of this instance.
        """
        for table, feed in self._tables.items():
            number = state.changed.get(table, 0)
            peer_changed = make_version(state.eras.get(table, feed.era), number)
            if not feed.lacks(peer_changed) and (feed.loaded or not number):
                self._behind.pop((address, table), None)
                continue
            behind = self._behind[address, table] = self._behind.get((address, table), 0) + 1
            if table == CONTROL_TABLE:
                await self.fetch(address, table)
            elif behind >= BEHIND_PING_LIMIT or not feed.loaded:
                self.start_fetch(address, table)

    def start_fetch(self, address: str, table: str) -> None:
        """Copies a table in the background, unless such a copy is under way."""
        if table not in self._copies:
            task = self._copies[table] = asyncio.create_task(self._fetch_or_log(address, table))
            task.add_done_callback(lambda finished: self._copies.pop(table, None))

    def close(self) -> None:
        """Ends copies in the background."""
        for task in self._copies.values():
            task.cancel()

    async def _fetch_or_log(self, address: str, table: str) -> None:
        try:
            await self.fetch(address, table)
        except WigeonpointError as error:
            log_event(Event.COPY_FAILED, address=address, table=table, reason=error.message)

    async def fetch(self, address: str, table: str) -> None:
        """Copies a table from a peer, if the peer knows a later change of it.

        Raises:
            WigeonpointError: The peer did not answer.
        """
        feed = self._tables[table]
        timeout = CONTROL_FETCH_TIMEOUT_S if table == CONTROL_TABLE else FETCH_TIMEOUT_S
        try:
            copy = await self._transport.request(
                address, FetchTable(table), TableCopy, timeout=timeout
            )
        except OutcomeUnknown:
            self._transport.disconnect(address)  # it may be silent
            raise
        rows = [
            VersionedRow(
                table, row.key, row.value.encode("latin-1"), _version(row.era, row.version, feed)
            )
            for row in copy.rows
        ]
        read = RowsRead(rows, _version(copy.era, copy.version, feed))
        changed = _version(copy.changed_era, copy.changed, feed)
        if feed.adopt(read, changed, stable=copy.stable):
            fields = version_fields(read.version)
            log_event(Event.TABLE_COPIED, table=table, address=address, **fields)

    async def _answer_fetch(self, request: FetchTable) -> TableCopy:
        feed = self._tables.get(request.table)
        if feed is None or not feed.loaded:
            return TableCopy([], 0, 0)
        rows = [
            TableRow(
                row.key, row.value.decode("latin-1"), number_of(row.version), era_of(row.version)
            )
            for row in feed.rows.values()
        ]
        return TableCopy(
            rows,
            number_of(feed.version),
            number_of(feed.changed),
            feed.stable,
            era=feed.era,
            changed_era=era_of(feed.changed),
        )


def _version(era: int | None, number: int, feed: TableFeed) -> int:
    return make_version(feed.era if era is None else era, number)
