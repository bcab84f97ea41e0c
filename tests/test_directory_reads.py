"""Conditional reads of the platform's directory."""

from __future__ import annotations

import asyncio

import orjson
import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from tests.fakes import FakeNetwork, FakeTransport
from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.embedded import http_platform
from wigeonpoint.process._directory_feed import (
    POLL_INTERVAL_S,
    UNCONDITIONAL_POLL_INTERVAL_S,
    DirectoryFeed,
    FetchDirectoryMessage,
    FetchDirectoryReply,
)
from wigeonpoint.process._pollers import directory_pollers, table_pollers
from wigeonpoint.process._swim_messages import DirectoryVersion
from wigeonpoint.services import (
    ConditionalDirectory,
    DirectoryRead,
    Listing,
    ListingKind,
)
from wigeonpoint.standins import MemoryDirectory, PlatformStandIn
from wigeonpoint.version import InstanceRecord

OWN = InstanceRecord("a", "a", "chur")


def listing(name: str, data_centre: str = "chur") -> Listing:
    """An entry instance at an address of the same name."""
    return Listing(name, ListingKind.ENTRY, name, data_centre)


class CountingDirectory(MemoryDirectory):
    """Counts reads and the bytes of the listings that they return."""

    reads = 0
    bytes = 0

    async def list_since(self, version: str | None) -> DirectoryRead | None:
        """Reads the directory unless it is unchanged."""
        self.reads += 1
        read = await super().list_since(version)
        self.bytes += len(orjson.dumps(read.listings)) if read is not None else 0
        return read


class PlainDirectory:
    """A directory without conditional reads."""

    def __init__(self, listings: list[Listing]) -> None:
        self.listings = listings
        self.reads = 0

    async def list(self) -> list[Listing]:
        """Reads the directory."""
        self.reads += 1
        return self.listings


def feed_of(
    directory: MemoryDirectory | PlainDirectory,
    applied: list[list[Listing]],
    peer: PeerDispatcher | None = None,
) -> DirectoryFeed:
    """A feed of the only instance that polls, with an optional peer at address `p`."""
    network = FakeNetwork(data_centres={"a": "chur", "p": "chur"})
    transport = FakeTransport(network, "a", PeerDispatcher())
    if peer is not None:
        network.dispatchers["p"] = peer
    return DirectoryFeed(
        directory, own=OWN, live=lambda: [OWN], transport=transport, apply=applied.append
    )


class TestPolling:
    """Guards against polls that transfer all listings twice a second, or that miss a change."""

    @pytest.mark.looptime
    async def test_unchanged_directory_is_transferred_once(self) -> None:
        """Without the version in the read, 20 polls would transfer the listings 20 times."""
        directory = CountingDirectory([listing("a"), listing("b")])
        applied: list[list[Listing]] = []
        feed = feed_of(directory, applied)
        feed.start()
        await asyncio.sleep(20 * POLL_INTERVAL_S - 0.1)
        assert directory.reads == 20
        assert directory.bytes == len(orjson.dumps(directory.listings))
        directory.replace(listing("c"))
        await asyncio.sleep(POLL_INTERVAL_S)
        assert [one.id for one in applied[-1]] == ["a", "b", "c"]
        assert len(applied) == 2
        feed.close()

    @pytest.mark.looptime
    async def test_directory_without_conditional_reads_is_polled_less_often(self) -> None:
        """An adapter that only has `list` works, at a tenth of the reads."""
        directory = PlainDirectory([listing("a")])
        applied: list[list[Listing]] = []
        feed = feed_of(directory, applied)
        feed.start()
        await asyncio.sleep(2 * UNCONDITIONAL_POLL_INTERVAL_S - 0.1)
        assert directory.reads == 2
        directory.listings = [listing("a"), listing("b")]
        await asyncio.sleep(UNCONDITIONAL_POLL_INTERVAL_S)
        assert [one.id for one in applied[-1]] == ["a", "b"]
        feed.close()

    @pytest.mark.looptime
    async def test_listings_of_a_peer_are_not_mistaken_for_the_last_read(self) -> None:
        """The directory may return to what was last read here while a peer's listings are used."""
        directory = CountingDirectory([listing("a")])
        applied: list[list[Listing]] = []
        newer = FetchDirectoryReply(DirectoryVersion(9, 1), [], [listing("a"), listing("b")])
        peer = PeerDispatcher()

        async def answer(message: FetchDirectoryMessage) -> FetchDirectoryReply:
            return newer

        peer.register(FetchDirectoryMessage, answer)
        feed = feed_of(directory, applied, peer)
        feed.start()
        await asyncio.sleep(0.1)
        feed.fetch_if_newer(newer.version, "p")
        await asyncio.sleep(0.1)
        assert [one.id for one in applied[-1]] == ["a", "b"]
        await asyncio.sleep(POLL_INTERVAL_S)
        assert [one.id for one in applied[-1]] == ["a"]
        feed.close()


class TestPollers:
    """Guards against an instance that polls both the directory and the tables."""

    @pytest.mark.parametrize("count", [1, 2, 3, 4, 5, 20, 131])
    def test_directory_and_tables_have_different_pollers(self, count: int) -> None:
        """Two pollers each, and no instance polls both where there are at least four."""
        local = [InstanceRecord(f"i{number}", "", "chur") for number in range(count)]
        directory, tables = directory_pollers(local), table_pollers(local)
        assert len(directory) == len(tables) == min(2, count)
        assert count < 4 or not directory & tables


class TestHttpAdapter:
    """Guards against an adapter that ignores the version, or treats 304 as an empty directory."""

    async def test_unchanged_directory_is_answered_with_304(self) -> None:
        """A read with the version of the last one returns None until the directory changes."""
        standin = PlatformStandIn([listing(f"instance-{number}") for number in range(50)])
        server = HTTPServer(standin.application())
        socket, port = bind_unused_port()
        server.add_socket(socket)
        directory = http_platform(f"127.0.0.1:{port}").directory
        assert isinstance(directory, ConditionalDirectory)
        first = await directory.list_since(None)
        assert first is not None
        assert first.listings == standin.directory.listings
        assert await directory.list_since(first.version) is None
        standin.directory.remove("instance-7")
        second = await directory.list_since(first.version)
        assert second is not None
        assert len(second.listings) == 49
        assert second.version != first.version
        server.stop()
