"""Configuration feeds of several instances over the fake network and faulty tables."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

from tests.fakes import FakeBackend, FakeNetwork, FakeTransport
from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.platform import Listing, ListingKind, Platform, Put, Row, TableTransaction
from wigeonpoint.process._configuration_feed import ConfigurationFeed
from wigeonpoint.process._topology import Topology
from wigeonpoint.standins import MemoryDirectory, MemoryObjects, MemoryTables
from wigeonpoint.version import InstanceRecord, RowValue

SEED = 20261204
POOL: RowValue = {"group": "signplan-0"}
ROUTE: RowValue = {"pool": "plans"}


@dataclass(slots=True)
class FaultyTables:
    """Memory tables whose calls fail on request and which record accepted documents.

    Attributes:
        unavailable: Every call fails before it takes effect.
        lost_answers: Number of next transactions that take effect and fail all the same.
        land_on_read: The next transaction fails and takes effect at the next read of this table.
        outage_after_loss: A lost answer is followed by an outage.
        commits: Number, document and edit id of every accepted state.
    """

    tables: MemoryTables = field(default_factory=MemoryTables)
    unavailable: bool = False
    lost_answers: int = 0
    outage_after_loss: bool = False
    land_on_read: str = ""
    delayed: TableTransaction | None = None
    commits: list[tuple[int, dict[str, Any], str | None]] = field(default_factory=list)

    async def read(self, table: str, key: str) -> Row | None:
        await self._call()
        if self.delayed is not None and table == self.land_on_read:
            delayed, self.delayed, self.land_on_read = self.delayed, None, ""
            await self.transact(delayed)
        return await self.tables.read(table, key)

    async def scan(self, table: str) -> list[Row]:
        await self._call()
        return await self.tables.scan(table)

    async def transact(self, transaction: TableTransaction) -> None:
        if self.unavailable:
            raise StoreUnavailable("no answer")
        if self.land_on_read:
            self.delayed = transaction
            raise StoreUnavailable("the answer was lost")
        await asyncio.sleep(0.001)
        before = await self.tables.read("configuration", "head")
        await self.tables.transact(transaction)
        self._record(transaction, [] if before is None else before.value["edits"])
        if self.lost_answers:
            self.lost_answers -= 1
            self.unavailable = self.outage_after_loss
            raise StoreUnavailable("the answer was lost")

    async def put(self, table: str, **rows: RowValue) -> None:
        """Writes rows directly, as an operator does without the administration interface."""
        puts = [Put(table, key, value) for key, value in rows.items()]
        await self.tables.transact(TableTransaction(puts=puts))

    async def _call(self) -> None:
        await asyncio.sleep(0.001)
        if self.unavailable:
            raise StoreUnavailable("no answer")

    def _record(self, transaction: TableTransaction, before: list[Any]) -> None:
        puts = {put.table: put.value for put in transaction.puts}
        if "configuration" in puts:
            edits = puts["configuration"]["edits"]
            new = edits[-1]["edit_id"] if edits != before else None
            self.commits.append((puts["configuration"]["number"], puts["configurations"], new))


@dataclass(slots=True)
class CutTables:
    """The tables as one data centre reaches them; fails while `down` is set."""

    shared: FaultyTables
    down: bool = False

    async def read(self, table: str, key: str) -> Row | None:
        self._require()
        return await self.shared.read(table, key)

    async def scan(self, table: str) -> list[Row]:
        self._require()
        return await self.shared.scan(table)

    async def transact(self, transaction: TableTransaction) -> None:
        self._require()
        await self.shared.transact(transaction)

    def _require(self) -> None:
        if self.down:
            raise StoreUnavailable("the data centre is cut off")


class Fleet:
    """Instances with a configuration feed each."""

    def __init__(self, counts: dict[str, int], tables: FaultyTables | None = None) -> None:
        random.seed(SEED)
        self.network = FakeNetwork()
        self.tables = tables or FaultyTables()
        self.objects = MemoryObjects()
        self.directory = MemoryDirectory()
        self.reach = {name: CutTables(self.tables) for name in counts}
        self.feeds: dict[str, ConfigurationFeed] = {}
        self.topologies: dict[str, Topology] = {}
        self._counts = counts

    async def __aenter__(self) -> Fleet:
        for data_centre, count in self._counts.items():
            for index in range(count):
                self.add(f"{data_centre}-{index}", data_centre)
        return self

    async def __aexit__(self, *details: object) -> None:
        for feed in self.feeds.values():
            feed.close()
        await asyncio.sleep(0)

    def add(self, name: str, data_centre: str, peers: list[str] | None = None) -> ConfigurationFeed:
        """Starts an instance, lists it and tells the others of it."""
        self.network.data_centres[name] = data_centre
        record = InstanceRecord(name, name, data_centre)
        topology = Topology(record, FakeBackend(self.network, data_centre))
        dispatcher = PeerDispatcher()
        tables = self.reach[data_centre]
        self.directory.replace(Listing(name, ListingKind.ENTRY, name, data_centre))
        feed = ConfigurationFeed(
            Platform(tables, self.objects, self.directory),
            topology,
            FakeTransport(self.network, name, dispatcher),
            dispatcher,
            peers=peers or [],
        )
        self.feeds[name] = feed
        self.topologies[name] = topology
        records = [one.own for one in self.topologies.values()]
        for one in self.topologies.values():
            one.set_instances(records)
        feed.start()
        return feed

    @property
    def numbers(self) -> set[int]:
        """Numbers in force."""
        return {feed.number for feed in self.feeds.values()}
