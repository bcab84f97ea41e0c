"""Calls of the platform's store over HTTP."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.userplatform._servers import PlatformServer, free_port
from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.platform._http import HttpClient
from wigeonpoint.platform._store import PlatformRowStore
from wigeonpoint.services import HistoryLost, RowKey, RowTransaction


@pytest.fixture
async def server() -> Iterator[PlatformServer]:
    """A store that listens."""
    server = PlatformServer({})
    server.start()
    yield server
    server.stop()


class TestRowStore:
    """Rows, conditions and the feed."""

    async def test_whole_table_is_read_page_by_page(self, server: PlatformServer) -> None:
        """Guards against rows beyond the first page that are never seen."""
        for number in range(5):
            server.store.put("mine", f"k{number}", b"\x00\xff")
        read = await PlatformRowStore(HttpClient(server.address)).read("mine")
        assert [row.key for row in read.rows] == ["k0", "k1", "k2", "k3", "k4"]
        assert {row.value for row in read.rows} == {b"\x00\xff"}

    async def test_failed_condition_changes_nothing(self, server: PlatformServer) -> None:
        """Guards against a second holder."""
        store = PlatformRowStore(HttpClient(server.address))
        key = RowKey("mine", "duty")
        version = await store.commit(RowTransaction({key: 0}, {key: b"one"}))
        with pytest.raises(ConditionFailed):
            await store.commit(RowTransaction({key: 0}, {key: b"two"}))
        assert (await store.read("mine")).rows[0].value == b"one"
        await store.commit(RowTransaction({key: version}, deletes=[key]))
        assert (await store.read("mine")).rows == []

    async def test_feed_gives_changes_and_deletions(self, server: PlatformServer) -> None:
        """Guards against a deleted row that stays in the copies."""
        store = PlatformRowStore(HttpClient(server.address))
        server.store.put("mine", "a", b"1")
        server.store.drop("mine", "a")
        changes = await store.changes("mine", after=0, wait_s=0.1)
        assert [(row.key, row.deleted) for row in changes.rows] == [("a", False), ("a", True)]
        empty = await store.changes("mine", after=changes.version, wait_s=0.05)
        assert empty.rows == []

    async def test_lost_history_is_told_apart_from_an_outage(self, server: PlatformServer) -> None:
        """Guards against a feed that goes on with a gap."""
        server.store.put("mine", "a", b"1")
        server.store.forget_history()
        store = PlatformRowStore(HttpClient(server.address))
        with pytest.raises(HistoryLost):
            await store.changes("mine", after=0, wait_s=0.1)

    @pytest.mark.parametrize("status", [429, 503])
    async def test_refusing_store_is_unavailable(self, server: PlatformServer, status: int) -> None:
        """Guards against a refusal that is taken for an empty table."""
        server.status = status
        with pytest.raises(StoreUnavailable):
            await PlatformRowStore(HttpClient(server.address)).read("mine")

    async def test_missing_store_is_unavailable(self) -> None:
        """Guards against an unhandled socket error."""
        store = PlatformRowStore(HttpClient(f"127.0.0.1:{free_port()}"))
        with pytest.raises(StoreUnavailable):
            await store.read("mine")
