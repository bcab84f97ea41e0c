"""Announces configuration numbers to peers, and chooses the peers."""

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
REMOTE_PEERS = 2  # recipients of an announcement in each other data centre


class ConfigurationPeers:
    """Chooses peers and exchanges configuration numbers with them.

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
        """Whether this instance polls the tables for its data centre."""
        local = [one for one in self._topology.instances if one.data_centre == self.own.data_centre]
        return self.own.id in table_pollers(local)

    @property
    def poller_count(self) -> int:
        """Number of instances that poll the tables, over all data centres."""
        counts = Counter(one.data_centre for one in self._topology.instances)
        return sum(min(count, POLLERS_PER_DATA_CENTRE) for count in counts.values())

    @property
    def peer_addresses(self) -> set[str]:
        """Addresses of the other live instances."""
        return {one.address for one in self._topology.instances} - {self.own.address}

    def record_number(self, address: str, number: int) -> None:
        """Records a number seen at a peer, if it is the highest."""
        self._numbers[address] = max(number, self._numbers.get(address, 0))

    async def announce(self, number: int) -> None:
        """Announces a number to this data centre and two instances of every other one.

        Peers that are known to have the number already are skipped.
        """
        self._numbers = {
            address: seen
            for address, seen in self._numbers.items()
            if address in self.peer_addresses
        }
        outdated = [
            address for address in self._recipients() if self._numbers.get(address, 0) < number
        ]
        await self.exchange(number, outdated)

    async def exchange(self, number: int, addresses: Iterable[str]) -> dict[str, int]:
        """Exchanges numbers with peers; returns the numbers of those that answered."""
        targets = list(addresses)
        numbers = await asyncio.gather(*(self._exchange_one(number, one) for one in targets))
        return {
            address: found
            for address, found in zip(targets, numbers, strict=True)
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
            return None  # a later periodic exchange tries the peer again
        except Exception as error:  # an error at one peer must not stop the exchange with others
            log_event(Event.INTERNAL_ERROR, error=repr(error), peer=address)
            return None
        self.record_number(address, reply.number)
        return reply.number
