"""Copies tables of the store between instances.

Messages name a version by its number and its era, as instances of earlier builds know only numbers.
What such an instance sends counts for the era that is known here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from contextlib import suppress

from wigeonpoint.connection import PeerDispatcher, PeerTransport
from wigeonpoint.errors import OutcomeUnknown, StoreUnavailable, WigeonpointError
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
# A peer may answer pings and give no copy, as when its link is full; then another one is asked. A
# copy of many routes takes most of this time over a narrow link.
SECOND_COPY_AFTER_S = 1.0
AVOID_FAILED_S = 5.0
# The peers that have a change may all be slow, or be behind themselves.
STORE_READ_AFTER_S = 2.0
MIN_WAIT_S = 0.001
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
        self._copies: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._started: dict[str, dict[str, float]] = {}  # times by table and address
        self._failed_at: dict[tuple[str, str], float] = {}
        self._store_reads: dict[str, asyncio.Task[None]] = {}
        self._finished = asyncio.Event()

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler of requests for copies."""
        dispatcher.register(FetchTable, self._answer_fetch)

    async def fetch_newer(
        self, address: str, state: GatewayState, *, first_copies: bool = True
    ) -> None:
        """Fetches tables of which a peer knows later changes, most of them in the background.

        Args:
            address: Address of the peer.
            state: Its state.
            first_copies: Whether to fetch from it tables of which there is no copy here yet.

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
            elif (behind >= BEHIND_PING_LIMIT) if feed.loaded else first_copies:
                self.start_fetch(address, table)

    def start_fetch(self, address: str, table: str, *, at_once: bool = False) -> None:
        """Copies a table in the background, unless a copy is under way.

        Args:
            address: Address of the peer.
            table: Name of the table.
            at_once: Whether only a copy from this peer counts. Otherwise others count too, for
                `SECOND_COPY_AFTER_S`.
        """
        copying = address in self._started.get(table, {}) or (address, table) in self._copies
        if copying or (not at_once and self._wait_for_others_s(address, table) > 0):
            return
        task = asyncio.create_task(self._fetch_or_log(address, table))
        self._copies[address, table] = task
        task.add_done_callback(lambda finished: self._copies.pop((address, table), None))

    async def copy_change(self, address: str, table: str, changed: int) -> None:
        """Copies a table from a peer unless another copy brings the change meanwhile.

        Args:
            address: Address of the peer.
            table: Name of the table.
            changed: Store version of the change that the peer knows.

        Raises:
            WigeonpointError: The peer did not answer.
        """
        feed = self._tables[table]
        while feed.lacks(changed):
            wait_s = self._wait_for_others_s(address, table)
            if wait_s <= 0:
                await self.fetch(address, table)
                return
            finished = self._finished
            with suppress(TimeoutError):
                await asyncio.wait_for(finished.wait(), max(wait_s, MIN_WAIT_S))

    def _wait_for_others_s(self, address: str, table: str) -> float:
        """Seconds until a copy may be begun at a peer; at each peer there is one at a time.

        A peer that failed a short time ago lets others go first.
        """
        now = asyncio.get_running_loop().time()
        started = self._started.get(table, {})
        if address in started:
            return SECOND_COPY_AFTER_S
        failed_at = self._failed_at.get((address, table), float("-inf"))
        if now - failed_at >= AVOID_FAILED_S:
            self._failed_at.pop((address, table), None)
            return max(started.values(), default=failed_at) + SECOND_COPY_AFTER_S - now
        return max(started.values(), default=failed_at) + 2 * SECOND_COPY_AFTER_S - now

    def close(self) -> None:
        """Ends copies in the background."""
        for task in [*self._copies.values(), *self._store_reads.values()]:
            task.cancel()

    async def _fetch_or_log(self, address: str, table: str) -> None:
        began = asyncio.get_running_loop().time()
        try:
            await self.fetch(address, table)
        except WigeonpointError as error:
            self._log_failure(address, table, error, began=began)

    def _log_failure(
        self, address: str, table: str, error: WigeonpointError, *, began: float
    ) -> None:
        """Logs a copy that failed, what this instance has, and which other copies are under way.

        Args:
            address: Address of the peer.
            table: Name of the table.
            error: Why it failed.
            began: Event-loop time in seconds at which it was begun.
        """
        now = asyncio.get_running_loop().time()
        feed = self._tables[table]
        log_event(
            Event.COPY_FAILED,
            address=address,
            table=table,
            reason=error.message,
            seconds=round(now - began, 3),
            changed=number_of(feed.changed),
            unchanged_s=round(now - feed.changed_at, 3),
            copying_from=sorted(self._started.get(table, {})),
        )

    async def fetch(self, address: str, table: str) -> None:
        """Copies a table from a peer, if the peer knows a later change of it.

        Raises:
            WigeonpointError: The peer did not answer.
        """
        loop = asyncio.get_running_loop()
        started = self._started.setdefault(table, {})
        started[address] = loop.time()
        if table not in self._store_reads:
            reading = self._store_reads[table] = asyncio.create_task(self._read_store(table))
            reading.add_done_callback(lambda finished: self._store_reads.pop(table, None))
        try:
            await self._fetch(address, table)
        except WigeonpointError:
            self._failed_at[address, table] = loop.time()
            raise
        else:
            self._failed_at.pop((address, table), None)
        finally:
            started.pop(address, None)
            self._finished.set()
            self._finished = asyncio.Event()

    async def _read_store(self, table: str) -> None:
        """Reads the changes of a table from the store if no copy brings one in time."""
        feed = self._tables[table]
        known = feed.changed
        await asyncio.sleep(STORE_READ_AFTER_S)
        if feed.changed == known and self._started.get(table):
            with suppress(StoreUnavailable):  # the feed logs that the store does not answer
                await feed.poll()

    async def _fetch(self, address: str, table: str) -> None:
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
