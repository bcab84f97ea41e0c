"""Keeps the topology in step with the platform's list."""

from __future__ import annotations

import asyncio

from wigeonpoint.errors import PlatformError
from wigeonpoint.platform import Directory, Listing, ListingKind, ListingState
from wigeonpoint.process._topology import Topology
from wigeonpoint.version import InstanceRecord

POLL_S = 0.5


class DirectoryFeed:
    """Reads the platform's list and applies it to the topology.

    Args:
        directory: The platform's list.
        topology: Live instances and groups.
    """

    def __init__(self, directory: Directory, topology: Topology) -> None:
        self._directory = directory
        self._topology = topology
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts polling."""
        self._task = asyncio.create_task(self._poll())

    def close(self) -> None:
        """Ends polling."""
        if self._task is not None:
            self._task.cancel()

    async def _poll(self) -> None:
        while True:
            try:
                listings = await self._directory.list()
            except PlatformError:
                pass  # the last list stays in use
            else:
                self._topology.apply_listings(listings)
                self._topology.set_instances(_instances(listings))
            await asyncio.sleep(POLL_S)


def _instances(listings: list[Listing]) -> list[InstanceRecord]:
    return [
        InstanceRecord(listing.id, listing.address, listing.data_centre)
        for listing in listings
        if listing.kind is ListingKind.ENTRY and listing.state is ListingState.LIVE
    ]
