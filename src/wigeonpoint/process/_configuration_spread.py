"""Announcements of a new state to peers, and the choice of peers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Iterable

from wigeonpoint.connection import (
    AnnounceConfigurationMessage,
    ConfigurationNumberReply,
    PeerTransport,
)
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._pollers import POLLERS_PER_DATA_CENTRE, table_pollers
from wigeonpoint.process._topology import Topology
from wigeonpoint.version import InstanceRecord

ANNOUNCE_TIMEOUT_S = 1.0
REMOTE_PEERS = 2  # instances of each other data centre that get an announcement


class ConfigurationPeers:
    """Chooses peers and exchanges numbers with them.

    Args:
        topology: Live instances.
        transport: Sends messages to instances.
    """

    def __init__(self, topology: Topology, transport: PeerTransport) -> None:
        self._topology = topology
        self._transport = transport
        self._numbers: dict[str, int] = {}

    @property
    def own(self) -> InstanceRecord:
        """Record of this instance."""
        return self._topology.own

    @property
    def is_poller(self) -> bool:
        """Whether this instance watches the tables for its data centre."""
        local = [one for one in self._topology.instances if one.data_centre == self.own.data_centre]
        return self.own.id in table_pollers(local)

    @property
    def poller_count(self) -> int:
        """Number of instances that watch the tables, over all data centres."""
        counts = Counter(one.data_centre for one in self._topology.instances)
        return sum(min(count, POLLERS_PER_DATA_CENTRE) for count in counts.values())

    @property
    def known(self) -> set[str]:
        """Addresses of the other live instances."""
        return {one.address for one in self._topology.instances} - {self.own.address}

    def note(self, address: str, number: int) -> None:
        """Remembers the highest number seen at a peer."""
        self._numbers[address] = max(number, self._numbers.get(address, 0))

    async def announce(self, number: int) -> None:
        """Announces a number to the own data centre and two instances of every other one.

        Peers that are known to have the number already are left out.
        """
        self._numbers = {one: seen for one, seen in self._numbers.items() if one in self.known}
        waiting = [one for one in self._recipients() if self._numbers.get(one, 0) < number]
        await self.exchange(number, waiting)

    async def exchange(self, number: int, addresses: Iterable[str]) -> dict[str, int]:
        """Exchanges numbers with peers; gives the numbers of those that answered."""
        asked = list(addresses)
        numbers = await asyncio.gather(*(self._exchange_one(number, one) for one in asked))
        return {
            address: found
            for address, found in zip(asked, numbers, strict=True)
            if found is not None
        }

    def random_peer(self) -> str | None:
        """Address of a random peer, half of the time from another data centre."""
        local, remote = self._by_data_centre()
        others = [address for addresses in remote.values() for address in addresses]
        first, second = (local, others) if random.random() < 0.5 else (others, local)
        return random.choice(first or second) if first or second else None

    def _recipients(self) -> list[str]:
        local, remote = self._by_data_centre()
        chosen = [random.sample(one, min(REMOTE_PEERS, len(one))) for one in remote.values()]
        return [*local, *(address for addresses in chosen for address in addresses)]

    def _by_data_centre(self) -> tuple[list[str], dict[str, list[str]]]:
        addresses: dict[str, list[str]] = defaultdict(list)
        for one in self._topology.instances:
            if one.id != self.own.id:
                addresses[one.data_centre].append(one.address)
        local = addresses.pop(self.own.data_centre, [])
        return local, addresses

    async def _exchange_one(self, number: int, address: str) -> int | None:
        message = AnnounceConfigurationMessage(number, self.own.address)
        try:
            reply = await self._transport.request(
                address, message, ConfigurationNumberReply, timeout=ANNOUNCE_TIMEOUT_S
            )
        except WigeonpointError:
            return None  # the periodic exchange reaches the peer later
        except Exception as error:  # a fault at one peer must not end the exchange with others
            log_event(Event.INTERNAL_ERROR, error=repr(error), peer=address)
            return None
        self.note(address, reply.number)
        return reply.number
