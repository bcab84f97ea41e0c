"""Entry instances over the fake network, without feeds and HTTP."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

from tests.fakes import FakeBackend, FakeNetwork, FakeTransport, add_group
from wigeonpoint.connection import (
    PeerDispatcher,
    SessionTokens,
    TokenSigner,
    TransactionIds,
)
from wigeonpoint.errors import OutcomeUnknown, ResultCode
from wigeonpoint.platform import Listing, ListingKind, ListingState
from wigeonpoint.process._owner_service import OwnerService
from wigeonpoint.process._position_samples import PositionSampleService
from wigeonpoint.process._router import Router
from wigeonpoint.process._topology import Topology
from wigeonpoint.process._transaction_router import TransactionRouter
from wigeonpoint.request import Access, Answer, Rank, Statement, StatementRequest
from wigeonpoint.standins import MemberOptions
from wigeonpoint.version import Configuration, Durability, InstanceRecord, Pool, Route

SEED = 20261204
KEYS = {"k1": "first-secret", "k2": "second-secret"}


@dataclass(slots=True)
class Entry:
    """One instance and its parts."""

    record: InstanceRecord
    topology: Topology
    dispatcher: PeerDispatcher
    owners: OwnerService
    router: Router
    transactions: TransactionRouter

    async def run(
        self, text: str, access: Access = Access.READ, *, deadline: float = 2.0, **fields: Any
    ) -> Answer:
        """Runs a statement."""
        request = StatementRequest(
            route="closures",
            statement=Statement(text),
            access=access,
            request_id=fields.pop("request_id", None),
            idempotent=False,
            rank=Rank.STANDARD,
            caller="crew",
            deadline=asyncio.get_running_loop().time() + deadline,
            **fields,
        )
        return await self.router.execute(request)

    async def write(self, text: str, **fields: Any) -> Answer:
        """Runs a write."""
        return await self.run(text, Access.WRITE, **fields)

    async def begin(self, session: str | None = None) -> tuple[str, Answer]:
        """Opens a transaction."""
        return await self.transactions.begin(
            "closures", rank=Rank.STANDARD, caller="crew", deadline=after(2.0), session=session
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
    """Instances and one group whose first member is primary."""

    network: FakeNetwork
    durability: Durability = Durability.MAJORITY
    entries: list[Entry] = field(default_factory=list)

    @classmethod
    def build(
        cls,
        data_centres: tuple[str, ...] = ("chur", "sargans", "gallen"),
        *,
        options: MemberOptions | None = None,
        durability: Durability = Durability.MAJORITY,
    ) -> Fleet:
        """Builds one instance and one member in each data centre."""
        fleet = cls(FakeNetwork(), durability)
        add_group(fleet.network, "plans", list(data_centres), options)
        records = [InstanceRecord(f"i-{name}", f"i-{name}", name) for name in data_centres]
        listings = [
            Listing(
                id=address,
                kind=ListingKind.BACKEND_SERVER,
                address=address,
                data_centre=fleet.network.data_centres[address],
                group="plans",
                state=ListingState.LIVE,
            )
            for address in fleet.network.members
        ]
        for record in records:
            fleet.network.data_centres[record.address] = record.data_centre
        for number, record in enumerate(records):
            entry = fleet._entry(record, number)
            entry.topology.set_instances(records)
            entry.topology.apply_listings(listings)
            fleet.entries.append(entry)
        return fleet

    def executions(self, key: str) -> int:
        """Log entries of the current primary that change a key."""
        log = max(self.network.members.values(), key=lambda m: m.status().at)._log
        return sum(key in entry.changes for entry in log)

    def lose(self, stage: str, call: str) -> list[str]:
        """Drops the next connection at a stage of a call; gives the list of dropped ones."""
        dropped: list[str] = []

        async def hook(at: str, address: str, kind: str) -> None:
            if (at, kind) == (stage, call) and not dropped:
                dropped.append(address)
                raise OutcomeUnknown(ResultCode.CONNECTION_LOST, "dropped by the test")

        self.network.on_exchange = hook
        return dropped

    async def promote(self, index: int, term: int) -> None:
        """Makes a member primary of a term, fencing every member that can be reached."""
        addresses = list(self.network.members)
        for address in addresses:
            if address not in self.network.down:
                self.network.members[address].fence(term)
        self.network.members[addresses[index]].promote(term)

    def close(self) -> None:
        """Ends all tasks."""
        for entry in self.entries:
            entry.router.close()
            entry.owners.close()
            entry.topology.close()
        for member in self.network.members.values():
            member.stop()

    def _entry(self, record: InstanceRecord, number: int) -> Entry:
        backend = FakeBackend(self.network, record.data_centre)
        dispatcher = PeerDispatcher()
        transport = FakeTransport(self.network, record.address, dispatcher)
        topology = Topology(record, backend)
        pool = Pool("plans", "plans", durability=self.durability)
        configuration = Configuration(1, {"closures": Route("closures", "plans")}, {"plans": pool})
        owners = OwnerService(topology, backend, configuration.pools.get)
        owners.register(dispatcher)
        PositionSampleService(topology, backend).register(dispatcher)
        tokens = SessionTokens(TokenSigner(KEYS, "k1", purpose="session"))
        ids = TransactionIds(TokenSigner(KEYS, "k1", purpose="transaction"))
        router = Router(
            topology,
            transport,
            tokens,
            lambda: configuration,
            source=random.Random(SEED + number),
        )
        transactions = TransactionRouter(
            topology, transport, tokens, ids, lambda: configuration, budgets=router.budgets
        )
        return Entry(record, topology, dispatcher, owners, router, transactions)


def after(seconds: float) -> float:
    """Event-loop time in some seconds."""
    return asyncio.get_running_loop().time() + seconds
