"""Tests of the copy of one table, against a store that answers as it is told."""

from __future__ import annotations

import asyncio

import pytest

from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.services import HistoryLost, RowsRead, RowTransaction, VersionedRow

pytestmark = pytest.mark.looptime(noop_cycles=0)


class LaggingStore:
    """A store without history, whose reads of whole tables are behind."""

    def __init__(self, version: int) -> None:
        self.version = version
        self.calls = 0

    async def read(self, table: str) -> RowsRead:
        """Reads the table as of the version."""
        self.calls += 1
        await asyncio.sleep(0.004)
        return RowsRead([VersionedRow(table, "a", b"", self.version)], self.version)

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowsRead:
        """Has no changes after any version."""
        self.calls += 1
        await asyncio.sleep(0.004)
        raise HistoryLost

    async def commit(self, transaction: RowTransaction) -> int:
        """Is not called."""
        raise NotImplementedError


class TestLostHistory:
    """A store that drops its history while its reads are behind."""

    async def test_read_that_is_behind_renews_no_lease(self) -> None:
        """Guards against a lease that rests on control rows from before a change of primary."""
        feed = TableFeed(LaggingStore(5), "t", lambda: None)
        feed.adopt(RowsRead([], 10), 10)
        with pytest.raises(StoreUnavailable):
            await feed.poll()

    async def test_store_is_not_called_without_a_pause(self) -> None:
        """Guards against a feed that repeats its calls while the reads are behind."""
        store = LaggingStore(5)
        feed = TableFeed(store, "t", lambda: None)
        feed.adopt(RowsRead([], 10), 10)
        feed.start()
        await asyncio.sleep(5.0)
        feed.close()
        assert store.calls <= 5.0 / 0.1


class TestCopiesOfPeers:
    """Copies of other instances, which may be behind in some rows."""

    async def test_deleted_row_does_not_return_with_the_copy_of_a_peer(self) -> None:
        """Guards against a registration that a peer has not yet seen deleted."""
        feed = TableFeed(LaggingStore(0), "t", lambda: None)
        feed.adopt(RowsRead([VersionedRow("t", "kept", b"", 3)], 12), 12)
        behind = [VersionedRow("t", "deleted", b"", 5), VersionedRow("t", "added", b"", 15)]
        feed.adopt(RowsRead(behind, 10), 15)
        assert feed.rows.keys() == {"kept", "added"}

    async def test_single_row_of_before_a_deletion_is_ignored(self) -> None:
        """Guards against a late announcement that brings a deleted row back."""
        feed = TableFeed(LaggingStore(0), "t", lambda: None)
        feed.adopt(RowsRead([], 12), 12)
        feed.apply(VersionedRow("t", "deleted", b"", 5))
        assert not feed.rows


class TurningAwayStore(LaggingStore):
    """A store that answers waiting calls at their end, and may turn new calls away meanwhile."""

    def __init__(self) -> None:
        super().__init__(0)
        self.turns_away = False

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowsRead:
        """Has no changes; a call that has begun is answered in any case."""
        if self.turns_away:
            raise StoreUnavailable("turned away")
        await asyncio.sleep(wait_s)
        return RowsRead([], after)


class TestReachability:
    """Whether the store answers this instance."""

    async def test_failed_poll_tells_of_an_outage_while_a_call_waits(self) -> None:
        """Guards against an outage that is noticed only when a waiting call ends."""
        store = TurningAwayStore()
        feed = TableFeed(store, "t", lambda: None)
        feed.start()
        await asyncio.sleep(0.1)
        store.turns_away = True
        with pytest.raises(StoreUnavailable):
            await feed.poll()
        await asyncio.sleep(0.6)
        assert feed.unreachable_s >= 0.5
        store.turns_away = False
        await asyncio.sleep(0.6)
        assert feed.reachable
        feed.close()
