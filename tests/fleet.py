"""Instances in three data centres before one group, in one event loop."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tests.fakes import FakeBackend, FakeNetwork, FakeTransport, add_group
from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.errors import StoreUnavailable, WigeonpointError
from wigeonpoint.platform import (
    Listing,
    ListingKind,
    ListingState,
    Platform,
    Row,
    TableTransaction,
)
from wigeonpoint.process import InstanceCore, Settings
from wigeonpoint.request import Access, Answer, Rank, Statement, StatementRequest
from wigeonpoint.standins import MemoryDirectory, MemoryObjects, MemoryTables
from wigeonpoint.version import InstanceRecord

DATA_CENTRES = ["chur", "sargans", "gallen"]
GROUP = "signplan-0"


@dataclass
class FaultyTables:
    """Table service that can be down, lose answers or, to prove a test, skip its checks."""

    tables: MemoryTables = field(default_factory=MemoryTables)
    down: bool = False
    answers_to_lose: int = 0
    unconditional: bool = False

    async def read(self, table: str, key: str) -> Row | None:
        """Reads a row."""
        await self._travel()
        return await self.tables.read(table, key)

    async def scan(self, table: str) -> list[Row]:
        """Reads a table."""
        await self._travel()
        return await self.tables.scan(table)

    async def transact(self, transaction: TableTransaction) -> None:
        """Applies a transaction."""
        await self._travel()
        checks = [] if self.unconditional else transaction.checks
        await self.tables.transact(TableTransaction(checks, transaction.puts, transaction.deletes))
        await asyncio.sleep(0.001)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise StoreUnavailable("the answer was lost")

    async def _travel(self) -> None:
        await asyncio.sleep(0.001)
        if self.down:
            raise StoreUnavailable("the table service is down")


class Fleet:
    """One instance in each data centre and one group with a member in each.

    Args:
        detection: Name of the detection method.
    """

    def __init__(self, detection: str = "second_opinion") -> None:
        self.network = FakeNetwork()
        self.members = add_group(self.network, GROUP, DATA_CENTRES)
        self.tables = FaultyTables()
        listings = [
            Listing(name, ListingKind.ENTRY, name, name.removesuffix("-entry"))
            for name in (f"{data_centre}-entry" for data_centre in DATA_CENTRES)
        ]
        for member, data_centre in zip(self.members, DATA_CENTRES, strict=True):
            listings.append(
                Listing(member.name, ListingKind.BACKEND_SERVER, member.name, data_centre, GROUP)
            )
        self.directory = MemoryDirectory(listings)
        self.cores = {name: self._core(name, detection) for name in DATA_CENTRES}

    async def __aenter__(self) -> Fleet:
        """Starts the instances and waits until a write succeeds.

        Fixtures run outside looptime's clock, so tests enter the fleet themselves.
        """
        tables = self.tables.tables
        tables._put("pools", "plans", {"group": GROUP})
        tables._put("routes", "closures", {"pool": "plans"})
        for core in self.cores.values():
            core.start()
        await asyncio.sleep(1.2)
        await self.write("sargans", "first")
        return self

    async def __aexit__(self, *details: object) -> None:
        """Ends all tasks."""
        for core in self.cores.values():
            core.close()
        for member in self.members:
            member.stop()

    def kill_member(self, index: int) -> None:
        """Takes a member off the network for good."""
        self.network.down.add(self.members[index].name)
        self.members[index].stop()

    def cut_off(self, data_centre: str) -> None:
        """Cuts a data centre off from the others."""
        for other in DATA_CENTRES:
            if other != data_centre:
                self.network.cut(data_centre, other)

    def list_leaving(self, index: int) -> None:
        """Marks a member as leaving on the platform's list."""
        member, data_centre = self.members[index], DATA_CENTRES[index]
        kind, state = ListingKind.BACKEND_SERVER, ListingState.LEAVING
        self.directory.replace(Listing(member.name, kind, member.name, data_centre, GROUP, state))

    async def write(self, data_centre: str, key: str, *, within: float = 1.0) -> Answer:
        """Sends one write to the instance of a data centre."""
        request = StatementRequest(
            route="closures",
            statement=Statement("PUT ? 1", [key]),
            access=Access.WRITE,
            request_id=f"id-{key}",
            idempotent=False,
            rank=Rank.URGENT,
            caller="crew",
            deadline=asyncio.get_running_loop().time() + within,
        )
        return await self.cores[data_centre].router.execute(request)

    async def gap(self, data_centre: str) -> float:
        """Seconds until the first acknowledged write."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while True:
            try:
                await self.write(data_centre, f"after-{loop.time()}")
            except WigeonpointError:
                assert loop.time() - started < 20, "no write was acknowledged again"
            else:
                return loop.time() - started

    async def record(self) -> dict[str, object]:
        """The group record."""
        row = await self.tables.tables.read("groups", GROUP)
        return row.value if row is not None else {}

    def _core(self, data_centre: str, detection: str) -> InstanceCore:
        address = f"{data_centre}-entry"
        self.network.data_centres[address] = data_centre
        dispatcher = PeerDispatcher()
        settings = Settings.model_validate(
            {
                "instance": {"id": address, "data_centre": data_centre},
                "platform": {"address": "127.0.0.1:1"},
                "session_keys": {"active": "k", "keys": {"k": "secret"}},
                "peer_key": "peer-key-of-tests",
                "detection": detection,
            }
        )
        return InstanceCore(
            settings,
            InstanceRecord(address, address, data_centre),
            platform=Platform(self.tables, MemoryObjects(), self.directory),
            backend=FakeBackend(self.network, data_centre),
            transport=FakeTransport(self.network, address, dispatcher),
            dispatcher=dispatcher,
        )
