"""Tests of the copies of tables that instances fetch from one another."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.gateway.test_table_feed import LaggingStore
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.process.gateway.control._messages import GatewayState, TableCopy, TableRow
from wigeonpoint.process.gateway.control._table_exchange import BEHIND_PING_LIMIT, TableExchange
from wigeonpoint.services import RowsRead, VersionedRow, era_of, make_version, number_of

pytestmark = pytest.mark.looptime(noop_cycles=0)


class PeerWithCopy:
    """A transport to one peer, which answers every request with its copy."""

    def __init__(self, copy: TableCopy) -> None:
        self.copy = copy
        self.requests = 0

    async def request(self, address: str, message: Any, reply: Any, *, timeout: float) -> Any:
        """Gives the copy."""
        self.requests += 1
        await asyncio.sleep(0)
        return self.copy


class TestFetch:
    """Which copies of peers are fetched, and which versions they have here."""

    @staticmethod
    async def hear(
        copy: TableCopy, state: GatewayState, *, announced: VersionedRow | None = None
    ) -> tuple[TableFeed, int]:
        """Hears a peer's state often enough to fetch its copy; gives the feed and the requests."""
        feed = TableFeed(LaggingStore(0), "t", lambda: None)
        feed.adopt(RowsRead([], make_version(1, 10)), make_version(1, 10))
        if announced is not None:
            feed.apply(announced)
        peer = PeerWithCopy(copy)
        exchange = TableExchange(peer, {"t": feed})
        for _ in range(BEHIND_PING_LIMIT):
            await exchange.fetch_newer("peer:1", state)
        await asyncio.sleep(0.1)  # copies are fetched in the background
        return feed, peer.requests

    async def test_later_era_is_newer_than_a_higher_number(self) -> None:
        """Guards against an instance that ignores its peers after a restore of the store."""
        copy = TableCopy([TableRow("a", "", 4, 2)], 4, 4, era=2, changed_era=2)
        feed, requests = await self.hear(copy, GatewayState("p", {"t": 4}, None, eras={"t": 2}))
        assert requests == 1
        assert (era_of(feed.version), number_of(feed.version)) == (2, 4)

    async def test_table_of_a_later_era_is_fetched_after_a_row_of_it_was_announced(self) -> None:
        """Guards against an instance that knows one row written after a restore and no other."""
        rows = [TableRow("a", "", 3, 2), TableRow("b", "", 4, 2)]
        feed, requests = await self.hear(
            TableCopy(rows, 4, 4, era=2, changed_era=2),
            GatewayState("p", {"t": 4}, None, eras={"t": 2}),
            announced=VersionedRow("t", "b", b"", make_version(2, 4)),
        )
        assert requests == 1
        assert feed.era == 2
        assert feed.rows.keys() == {"a", "b"}

    async def test_earlier_era_is_not_fetched(self) -> None:
        """Guards against an instance that goes back to the tables of before a restore."""
        copy = TableCopy([TableRow("a", "", 99, 0)], 99, 99, era=0, changed_era=0)
        _, requests = await self.hear(copy, GatewayState("p", {"t": 99}, None, eras={"t": 0}))
        assert requests == 0

    @pytest.mark.parametrize(("number", "fetched"), [(9, False), (12, True)])
    async def test_peer_of_an_earlier_build_counts_for_the_known_era(
        self, number: int, fetched: bool
    ) -> None:
        """Guards against a rolling upgrade during which instances do not copy from one another."""
        copy = TableCopy([TableRow("a", "", number)], number, number)
        feed, requests = await self.hear(copy, GatewayState("p", {"t": number}, None))
        assert (requests == 1) == fetched
        assert feed.version == make_version(1, 12 if fetched else 10)
