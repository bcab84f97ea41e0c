"""Instances and a database group in one event loop, connected by fakes.

The test chooses which tasks run: all of an instance (`add`), only its configuration feed
(`Fleet.with_feeds`) or none (`Fleet.idle`), where configuration and live instances are set.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

from tests.fakes import FakeBackend, FakeNetwork, FakeTransport, add_group
from tests.faulty_platform import FaultyTables, FlakyDirectory, PartitionedTables
from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.errors import OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.process import InstanceCore, Settings
from wigeonpoint.process._configuration_feed import ConfigurationFeed
from wigeonpoint.request import Access, Answer, Rank, Statement, StatementRequest
from wigeonpoint.services import (
    Listing,
    ListingKind,
    ListingState,
    Platform,
)
from wigeonpoint.standins import (
    DatabaseMemberStandIn,
    MemberOptions,
    MemoryObjects,
)
from wigeonpoint.version import Durability, InstanceRecord, RowValue, build_state

SEED = 20261204
KEYS = {"k1": "first-secret", "k2": "second-secret"}
DATA_CENTRES = ["chur", "sargans", "gallen"]
GROUP = "plans"
POOL: RowValue = {"group": "signplan-0"}
ROUTE: RowValue = {"pool": "plans"}


def after(seconds: float) -> float:
    """Event-loop time this many seconds from now."""
    return asyncio.get_running_loop().time() + seconds


class PausableDispatcher(PeerDispatcher):
    """Leaves messages unanswered while its instance is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.running = asyncio.Event()
        self.running.set()

    async def deliver(self, message: object) -> object:
        """Answers once the instance is no longer paused."""
        await self.running.wait()
        return await super().deliver(message)


class FleetInstance(InstanceCore):
    """An instance with shortcuts for requests on route `closures`."""

    dispatcher: PausableDispatcher

    async def run(
        self, text: str, access: Access = Access.READ, *, deadline: float = 2.0, **fields: Any
    ) -> Answer:
        """Runs a statement."""
        defaults = {"request_id": None, "idempotent": False, "rank": Rank.STANDARD}
        request = StatementRequest(
            route="closures",
            statement=Statement(text, []),
            access=access,
            caller="crew",
            deadline=after(deadline),
            **(defaults | fields),
        )
        return await self.router.execute(request)

    async def write(self, text: str, **fields: Any) -> Answer:
        """Runs a write."""
        return await self.run(text, Access.WRITE, **fields)

    async def begin(
        self, session: str | None = None, *, deadline: float = 2.0
    ) -> tuple[str, Answer]:
        """Opens a transaction."""
        return await self.transactions.begin(
            "closures", rank=Rank.STANDARD, caller="crew", deadline=after(deadline), session=session
        )

    async def put(self, transaction: str, text: str, session: str | None) -> Answer:
        """Runs a write in a transaction."""
        return await self.transactions.execute(
            transaction, Statement(text), Access.WRITE, session=session, deadline=after(2.0)
        )

    async def commit(
        self, transaction: str, session: str | None, request_id: str | None = None
    ) -> Answer:
        """Commits a transaction."""
        return await self.transactions.commit(
            transaction, request_id=request_id, session=session, deadline=after(4.0)
        )


@dataclass(slots=True)
class Fleet:
    """Instances with one platform, one network and at most one database group.

    Attributes:
        tables_by_data_centre: The tables as accessed from each data centre.
    """

    network: FakeNetwork = field(default_factory=FakeNetwork)
    directory: FlakyDirectory = field(default_factory=FlakyDirectory)
    tables: FaultyTables = field(default_factory=FaultyTables)
    objects: MemoryObjects = field(default_factory=MemoryObjects)
    tables_by_data_centre: dict[str, PartitionedTables] = field(default_factory=dict)
    cores: dict[str, FleetInstance] = field(default_factory=dict)

    @classmethod
    def idle(
        cls,
        *,
        options: MemberOptions | None = None,
        durability: Durability = Durability.MAJORITY,
    ) -> Fleet:
        """One instance and one member in each data centre; the instances run no tasks."""
        fleet = cls()
        fleet.add_members(DATA_CENTRES, options)
        pools: dict[str, RowValue] = {"plans": {"group": GROUP, "durability": durability}}
        state = build_state(1, {"closures": ROUTE}, pools)
        for number, name in enumerate(DATA_CENTRES):
            core = fleet.build(f"i-{name}", name, source=random.Random(SEED + number))
            core.feed._state = state
        for core in fleet.instances:
            core.topology.set_instances([other.record for other in fleet.instances])
            core.topology.apply_listings(fleet.directory.listings)
        return fleet

    @classmethod
    def with_feeds(cls, counts: dict[str, int]) -> Fleet:
        """Instances of which only the configuration feeds run."""
        random.seed(SEED)
        fleet = cls()
        for data_centre, count in counts.items():
            for index in range(count):
                fleet.add_feed(f"{data_centre}-{index}", data_centre)
        return fleet

    @classmethod
    async def serving(cls, detection: str = "second_opinion") -> Fleet:
        """One running instance and one member in each data centre, after a first write."""
        fleet = cls()
        fleet.add_members(DATA_CENTRES)
        await fleet.put_rows()
        for name in DATA_CENTRES:
            fleet.add(name, name, detection=detection)
        await asyncio.sleep(1.2)
        await fleet.write("sargans", "first")
        return fleet

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(self, *details: object) -> None:
        self.close()

    @property
    def instances(self) -> list[FleetInstance]:
        """The instances in the order in which they were built."""
        return list(self.cores.values())

    @property
    def members(self) -> list[DatabaseMemberStandIn]:
        """The members of the group."""
        return list(self.network.members.values())

    @property
    def feeds(self) -> dict[str, ConfigurationFeed]:
        """Configuration feeds by instance."""
        return {name: core.feed for name, core in self.cores.items()}

    @property
    def numbers(self) -> set[int]:
        """Active configuration numbers."""
        return {feed.number for feed in self.feeds.values()}

    def add_members(self, data_centres: list[str], options: MemberOptions | None = None) -> None:
        """Starts and lists the members of the group."""
        for member in add_group(self.network, GROUP, data_centres, options):
            self.list_member(member.name)

    def list_member(self, name: str, state: ListingState = ListingState.LIVE) -> None:
        """Sets the state of a member in the platform's directory."""
        data_centre, kind = self.network.data_centres[name], ListingKind.BACKEND_SERVER
        self.directory.replace(Listing(name, kind, name, data_centre, GROUP, state))

    async def put_rows(self) -> None:
        """Writes the route `closures` and its pool."""
        await self.tables.put("pools", plans={"group": GROUP})
        await self.tables.put("routes", closures=ROUTE)

    def build(
        self,
        name: str,
        data_centre: str,
        *,
        address: str | None = None,
        source: random.Random | None = None,
        **settings: Any,
    ) -> FleetInstance:
        """Builds and lists an instance without tasks; its address is its name unless given."""
        address = address or name
        self.network.data_centres[address] = data_centre
        tables = self.tables_by_data_centre.setdefault(data_centre, PartitionedTables(self.tables))
        dispatcher = PausableDispatcher()
        core = self.cores[name] = FleetInstance(
            Settings.model_validate(
                {
                    "instance": {"id": name, "data_centre": data_centre},
                    "platform": {"address": "127.0.0.1:1"},
                    "session_keys": {"active": "k1", "keys": KEYS},
                    "peer_key": "peer-key",
                }
                | settings
            ),
            InstanceRecord(name, address, data_centre),
            platform=Platform(tables, self.objects, self.directory),
            backend=FakeBackend(self.network, data_centre),
            transport=FakeTransport(self.network, address, dispatcher),
            dispatcher=dispatcher,
            source=source,
        )
        self.directory.replace(Listing(name, ListingKind.ENTRY, address, data_centre))
        return core

    def add(self, name: str, data_centre: str, **settings: Any) -> FleetInstance:
        """Starts an instance with all its tasks."""
        core = self.build(name, data_centre, **settings)
        core.start()
        return core

    def add_feed(self, name: str, data_centre: str, **settings: Any) -> ConfigurationFeed:
        """Starts only the configuration feed of an instance, known to all others as live."""
        self.build(name, data_centre, **settings)
        for core in self.instances:
            core.topology.set_instances([other.record for other in self.instances])
        self.cores[name].feed.start()
        return self.cores[name].feed

    def kill(self, name: str) -> None:
        """Stops an instance without an announcement; the directory still lists it."""
        self.cores.pop(name).close()

    def kill_member(self, index: int) -> None:
        """Stops a member and makes it unreachable."""
        self.network.down.add(self.members[index].name)
        self.members[index].stop()

    def isolate(self, data_centre: str) -> None:
        """Isolates a data centre from the others."""
        for other in DATA_CENTRES:
            if other != data_centre:
                self.network.cut(data_centre, other)

    def lose(self, stage: str, call: str) -> list[str]:
        """Drops the next connection at a stage of a call; its address is added to the result."""
        dropped: list[str] = []

        async def hook(at: str, address: str, kind: str) -> None:
            if (at, kind) == (stage, call) and not dropped:
                dropped.append(address)
                raise OutcomeUnknown(ResultCode.CONNECTION_LOST, "dropped by the test")

        self.network.on_exchange = hook
        return dropped

    async def promote(self, index: int, term: int) -> None:
        """Makes a member primary of a term, after fencing every reachable member."""
        for member in self.members:
            if member.name not in self.network.down:
                member.fence(term)
        self.members[index].promote(term)

    def executions(self, key: str) -> int:
        """Number of entries that change a key, in the most advanced member's log."""
        log = max(self.members, key=lambda m: m.status().at)._log
        return sum(key in entry.changes for entry in log)

    async def write(self, data_centre: str, key: str, *, within: float = 1.0) -> Answer:
        """Sends one urgent write to the instance of a data centre."""
        fields = {"request_id": f"id-{key}", "rank": Rank.URGENT}
        return await self.cores[data_centre].write(f"PUT {key} 1", deadline=within, **fields)

    async def time_to_write(self, data_centre: str) -> float:
        """Seconds until the first acknowledged write."""
        started = after(0)
        while True:
            try:
                await self.write(data_centre, f"after-{after(0)}")
            except WigeonpointError:
                assert after(0) - started < 20, "no write was acknowledged again"
            else:
                return after(0) - started

    async def record(self) -> dict[str, Any]:
        """The group record."""
        row = await self.tables.tables.read("groups", GROUP)
        return row.value if row is not None else {}

    def views(self) -> dict[str, set[str]]:
        """Ids of the instances that each instance considers live."""
        return {
            name: {record.id for record in core.topology.instances}
            for name, core in self.cores.items()
        }

    def agreed(self, *names: str) -> bool:
        """Whether every instance considers exactly these live."""
        return all(view == set(names) for view in self.views().values())

    async def wait_agreed(self, *names: str, limit: float) -> float:
        """Waits for agreement; returns the seconds that it took."""
        started = after(0)
        while not self.agreed(*names):
            assert after(0) - started < limit, self.views()
            await asyncio.sleep(0.05)
        return after(0) - started

    def close(self) -> None:
        """Stops all instances and members."""
        for core in self.instances:
            core.close()
        for member in self.members:
            member.stop()
