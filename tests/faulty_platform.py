"""Services of the platform that fail on request."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.services import (
    Listing,
    Put,
    Row,
    TableTransaction,
)
from wigeonpoint.standins import (
    MemoryDirectory,
    MemoryTables,
)
from wigeonpoint.version import RowValue


@dataclass(slots=True)
class FaultyTables:
    """Memory tables whose calls fail on request and which record accepted documents.

    Attributes:
        unavailable: Every call fails before it takes effect.
        lost_answers: Number of further transactions that take effect but whose answer is lost.
        land_on_read: The next transaction fails and takes effect at the next read of this table.
        outage_after_loss: A lost answer is followed by an outage.
        unconditional: Transactions skip their checks, to show that a test fails without them.
        commits: Number, document and edit id of every accepted state.
    """

    tables: MemoryTables = field(default_factory=MemoryTables)
    unavailable: bool = False
    lost_answers: int = 0
    outage_after_loss: bool = False
    unconditional: bool = False
    land_on_read: str = ""
    delayed: TableTransaction | None = None
    commits: list[tuple[int, dict[str, Any], str | None]] = field(default_factory=list)

    async def read(self, table: str, key: str) -> Row | None:
        """Reads a row."""
        await self._call()
        if self.delayed is not None and table == self.land_on_read:
            delayed, self.delayed, self.land_on_read = self.delayed, None, ""
            await self.transact(delayed)
        return await self.tables.read(table, key)

    async def scan(self, table: str) -> list[Row]:
        """Reads a table."""
        await self._call()
        return await self.tables.scan(table)

    async def transact(self, transaction: TableTransaction) -> None:
        """Applies a transaction."""
        await self._call()
        if self.land_on_read:
            self.delayed = transaction
            raise StoreUnavailable("the answer was lost")
        before = await self.tables.read("configuration", "head")
        checks = [] if self.unconditional else transaction.checks
        await self.tables.transact(TableTransaction(checks, transaction.puts, transaction.deletes))
        self._record(transaction, [] if before is None else before.value["edits"])
        await asyncio.sleep(0.001)
        if self.lost_answers:
            self.lost_answers -= 1
            self.unavailable = self.outage_after_loss
            raise StoreUnavailable("the answer was lost")

    async def put(self, table: str, **rows: RowValue) -> None:
        """Writes rows directly, bypassing the administration interface."""
        puts = [Put(table, key, value) for key, value in rows.items()]
        await self.tables.transact(TableTransaction(puts=puts))

    async def _call(self) -> None:
        await asyncio.sleep(0.001)
        if self.unavailable:
            raise StoreUnavailable("the table service does not answer")

    def _record(self, transaction: TableTransaction, before: list[Any]) -> None:
        puts = {put.table: put.value for put in transaction.puts}
        if "configuration" in puts:
            edits = puts["configuration"]["edits"]
            new = edits[-1]["edit_id"] if edits != before else None
            self.commits.append((puts["configuration"]["number"], puts["configurations"], new))


@dataclass(slots=True)
class PartitionedTables:
    """The tables as accessed from one data centre; calls fail while `down` is set."""

    shared: FaultyTables
    down: bool = False

    def __getattr__(self, name: str) -> Any:
        if self.down:
            raise StoreUnavailable("the data centre is cut off")
        return getattr(self.shared, name)


class FlakyDirectory(MemoryDirectory):
    """The platform's directory, which tests can make unavailable."""

    available = True
    reads = 0

    async def list(self) -> list[Listing]:
        """Reads the directory."""
        if not self.available:
            raise StoreUnavailable("the platform is down")
        self.reads += 1
        return await super().list()
