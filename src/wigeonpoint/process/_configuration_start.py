"""Finds the newest configuration for a starting instance."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from wigeonpoint.errors import WigeonpointError
from wigeonpoint.process._configuration_peers import ConfigurationPeers
from wigeonpoint.services import Directory, Listing, ListingKind
from wigeonpoint.version import ConfigurationState, ConfigurationStore

SOURCE_TIMEOUT_S = 4.0  # a source that takes longer counts as unreachable
MAX_LOCAL_PEERS = 20
MAX_REMOTE_PEERS = 2  # in each other data centre


class ConfigurationStart:
    """Queries peers, table service and object store in parallel for the newest state.

    Args:
        peers: Exchanges numbers with peers.
        store: Accepted states.
        directory: The platform's directory, which may list further peers.
        addresses: Addresses of peers from the settings.
        fetch: Fetches the state of a peer.
    """

    def __init__(
        self,
        peers: ConfigurationPeers,
        store: ConfigurationStore,
        directory: Directory,
        addresses: list[str],
        fetch: Callable[[str], Awaitable[ConfigurationState | None]],
    ) -> None:
        self._peers = peers
        self._store = store
        self._directory = directory
        self._addresses = addresses
        self._fetch = fetch

    async def highest_state(self, *, read_directory: bool = True) -> ConfigurationState | None:
        """The state with the highest number among the sources that respond, or None.

        Args:
            read_directory: Whether to read the platform's directory for further peers. It is not
                needed once the instance runs and receives the directory through its feed.
        """
        sources = [self._from_known_peers(), self._from_tables(), self._store.newest_snapshot()]
        if read_directory:
            sources.append(self._from_directory())
        states = await asyncio.gather(*(_with_timeout(source) for source in sources))
        offered = [state for state in states if state is not None]
        return max(offered, key=lambda state: state.number, default=None)

    async def _from_known_peers(self) -> ConfigurationState | None:
        return await self._from_peers({*self._addresses, *self._peers.peer_addresses})

    async def _from_directory(self) -> ConfigurationState | None:
        return await self._from_peers(self._select_peers(await self._directory.list()))

    async def _from_tables(self) -> ConfigurationState | None:
        head = await self._store.head()
        return await self._store.state(head) if head.number else None

    async def _from_peers(self, addresses: set[str]) -> ConfigurationState | None:
        numbers = await self._peers.exchange(0, addresses - {self._peers.own.address})
        for address in sorted(numbers, key=lambda one: numbers[one], reverse=True):
            state = await self._fetch(address) if numbers[address] else None
            if state is not None:
                return state
        return None

    def _select_peers(self, listings: list[Listing]) -> set[str]:
        by_data_centre: dict[str, list[str]] = {}
        for one in listings:
            if one.kind is ListingKind.ENTRY and one.address != self._peers.own.address:
                by_data_centre.setdefault(one.data_centre, []).append(one.address)
        chosen: set[str] = set()
        for data_centre, found in by_data_centre.items():
            local = data_centre == self._peers.own.data_centre
            limit = MAX_LOCAL_PEERS if local else MAX_REMOTE_PEERS
            chosen.update(random.sample(found, min(limit, len(found))))
        return chosen


async def _with_timeout(source: Awaitable[ConfigurationState | None]) -> ConfigurationState | None:
    try:
        return await asyncio.wait_for(source, SOURCE_TIMEOUT_S)
    except (TimeoutError, WigeonpointError):
        return None
