"""Instances of several data centres over the fake network, for tests of membership."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tests.fakes import FakeBackend, FakeNetwork, FakeTransport, add_group
from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.platform import Listing, ListingKind, Platform, Put, TableTransaction
from wigeonpoint.process import InstanceCore, Settings
from wigeonpoint.standins import MemberOptions, MemoryDirectory, MemoryObjects, MemoryTables
from wigeonpoint.version import InstanceRecord


class FlakyDirectory(MemoryDirectory):
    """The platform's list, which tests can take away."""

    available = True
    reads = 0

    async def list(self) -> list[Listing]:
        """Reads the list."""
        if not self.available:
            raise StoreUnavailable("the platform is down")
        self.reads += 1
        return await super().list()


class PausableDispatcher(PeerDispatcher):
    """Leaves messages unanswered while its instance is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.running = asyncio.Event()
        self.running.set()

    async def deliver(self, message: object) -> object:
        """Answers once the instance runs."""
        await self.running.wait()
        return await super().deliver(message)


@dataclass(slots=True)
class Fleet:
    """Instances with one platform, one network and one database group."""

    network: FakeNetwork = field(default_factory=FakeNetwork)
    directory: FlakyDirectory = field(default_factory=FlakyDirectory)
    tables: MemoryTables = field(default_factory=MemoryTables)
    cores: dict[str, InstanceCore] = field(default_factory=dict)

    async def add_group(self, data_centres: list[str], options: MemberOptions) -> None:
        """Starts group `g`, lists it and adds route `r`."""
        for member in add_group(self.network, "g", data_centres, options):
            data_centre = self.network.data_centres[member.name]
            kind = ListingKind.BACKEND_SERVER
            self.directory.replace(Listing(member.name, kind, member.name, data_centre, "g"))
        puts = [Put("pools", "p", {"group": "g"}), Put("routes", "r", {"pool": "p"})]
        await self.tables.transact(TableTransaction(puts=puts))

    def add(
        self,
        name: str,
        data_centre: str,
        *,
        peers: list[str] | None = None,
        address: str | None = None,
    ) -> InstanceCore:
        """Starts and lists an instance; its address is its name unless given."""
        address = address or name
        settings = Settings.model_validate(
            {
                "instance": {"id": name, "data_centre": data_centre},
                "platform": {"address": "127.0.0.1:1"},
                "session_keys": {"active": "k", "keys": {"k": "secret"}},
                "peer_key": "peer-key",
                "peers": peers or [],
            }
        )
        self.network.data_centres[address] = data_centre
        dispatcher = PausableDispatcher()
        core = InstanceCore(
            settings,
            InstanceRecord(name, address, data_centre),
            platform=Platform(self.tables, MemoryObjects(), self.directory),
            backend=FakeBackend(self.network, data_centre),
            transport=FakeTransport(self.network, address, dispatcher),
            dispatcher=dispatcher,
        )
        self.directory.replace(Listing(name, ListingKind.ENTRY, address, data_centre))
        self.cores[name] = core
        core.start()
        return core

    def kill(self, name: str) -> None:
        """Ends an instance without notice; the list keeps it."""
        self.cores.pop(name).close()

    def views(self) -> dict[str, set[str]]:
        """Ids of the instances that each instance holds for live."""
        return {
            name: {record.id for record in core.topology.instances}
            for name, core in self.cores.items()
        }

    def agreed(self, *names: str) -> bool:
        """Whether every instance holds exactly these for live."""
        return all(view == set(names) for view in self.views().values())

    async def wait_agreed(self, *names: str, limit: float) -> float:
        """Waits for agreement; gives the seconds that it took."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not self.agreed(*names):
            assert loop.time() - started < limit, self.views()
            await asyncio.sleep(0.05)
        return loop.time() - started

    def close(self) -> None:
        """Ends everything."""
        for core in self.cores.values():
            core.close()
        for member in self.network.members.values():
            member.stop()
