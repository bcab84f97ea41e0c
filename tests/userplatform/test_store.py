"""Tests of the store client over HTTP."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from tests.userplatform._servers import PlatformServer, free_port
from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event
from wigeonpoint.platform._http import HttpClient
from wigeonpoint.platform._store import PlatformRowStore
from wigeonpoint.services import HistoryLost, RowKey, RowTransaction


@pytest.fixture
async def server() -> Iterator[PlatformServer]:
    """A running store."""
    server = PlatformServer({})
    server.start()
    yield server
    server.stop()


class TestRowStore:
    """Reads, conditional transactions and the change feed."""

    async def test_whole_table_is_read_page_by_page(self, server: PlatformServer) -> None:
        """Guards against reads that miss the rows after the first page."""
        for number in range(5):
            server.store.put("mine", f"k{number}", b"\x00\xff")
        read = await PlatformRowStore(HttpClient(server.address)).read("mine")
        assert [row.key for row in read.rows] == ["k0", "k1", "k2", "k3", "k4"]
        assert {row.value for row in read.rows} == {b"\x00\xff"}

    async def test_failed_condition_changes_nothing(self, server: PlatformServer) -> None:
        """Guards against two instances that both claim the coordinator record."""
        store = PlatformRowStore(HttpClient(server.address))
        key = RowKey("mine", "duty")
        version = await store.commit(RowTransaction({key: 0}, {key: b"one"}))
        with pytest.raises(ConditionFailed):
            await store.commit(RowTransaction({key: 0}, {key: b"two"}))
        assert (await store.read("mine")).rows[0].value == b"one"
        await store.commit(RowTransaction({key: version}, deletes=[key]))
        assert (await store.read("mine")).rows == []

    async def test_feed_delivers_changes_and_deletions(self, server: PlatformServer) -> None:
        """Guards against a deleted row that stays in the instances' copies of the table."""
        store = PlatformRowStore(HttpClient(server.address))
        server.store.put("mine", "a", b"1")
        server.store.drop("mine", "a")
        changes = await store.changes("mine", after=0, wait_s=0.1)
        assert [(row.key, row.deleted) for row in changes.rows] == [("a", False), ("a", True)]
        empty = await store.changes("mine", after=changes.version, wait_s=0.05)
        assert empty.rows == []

    async def test_lost_history_is_not_reported_as_an_outage(self, server: PlatformServer) -> None:
        """Guards against a feed that skips changes which the store no longer holds."""
        server.store.put("mine", "a", b"1")
        server.store.forget_history()
        store = PlatformRowStore(HttpClient(server.address))
        with pytest.raises(HistoryLost):
            await store.changes("mine", after=0, wait_s=0.1)

    @pytest.mark.parametrize("status", [429, 503])
    async def test_error_status_is_reported_as_unavailable(
        self, server: PlatformServer, status: int
    ) -> None:
        """Guards against an error response that is read as an empty table."""
        server.forced_status = status
        with pytest.raises(StoreUnavailable):
            await PlatformRowStore(HttpClient(server.address)).read("mine")

    async def test_unreachable_store_is_reported_as_unavailable(self) -> None:
        """Guards against an unhandled socket error."""
        store = PlatformRowStore(HttpClient(f"127.0.0.1:{free_port()}"))
        with pytest.raises(StoreUnavailable):
            await store.read("mine")

    async def test_restored_store_is_logged(
        self, server: PlatformServer, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against a restore of the store that no log line shows."""
        store = PlatformRowStore(HttpClient(server.address))
        copied_at = server.store.version
        server.store.put("mine", "a", b"1")
        await store.read("mine")
        server.store.restore(copied_at)
        with caplog.at_level(logging.WARNING):
            await store.read("mine")
            await store.read("mine")
        assert [record.event for record in caplog.records] == [Event.STORE_RESTORED.number]
