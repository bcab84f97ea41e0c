"""A cluster with more instances than a member takes connections, which relays share."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.gateway._cluster import DATA_CENTRES, Caller, GatewayCluster
from wigeonpoint.process.gateway.relay import RelayStatement

FLEET_SIZE = 24
LIMIT = 16  # connections that a member accepts
SETTLE_S = 2.0
PRIMARY_DATA_CENTRE = "chur"


class RelayedFleet(GatewayCluster):
    """The cluster with `FLEET_SIZE` instances and unchanged limits of the members."""

    async def __aenter__(self) -> RelayedFleet:
        """Starts all instances, and waits until they know each other."""
        await super().__aenter__()
        for number in range(FLEET_SIZE - len(DATA_CENTRES)):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.start(f"h-{data_centre}-{number}", data_centre)
        await asyncio.sleep(SETTLE_S)
        return self

    @property
    def asker(self) -> str:
        """Name of an instance in another data centre that is no relay of the primary."""
        record = self.member(PRIMARY_DATA_CENTRE).record
        return next(
            name
            for name, node in self.nodes.items()
            if name.startswith("h-sargans") and not node.gateway._sharing.is_relay(record, LIMIT)
        )

    @property
    def open_transactions(self) -> int:
        """Number of transactions that are open at relays."""
        return sum(node.gateway.relay.transactions for node in self.nodes.values())

    def relays(self) -> list[str]:
        """Names of the relays that the asker uses for the primary, in its order."""
        sharing = self.nodes[self.asker].gateway._sharing
        addresses = sharing.relays(self.member(PRIMARY_DATA_CENTRE).record, LIMIT)
        return [address.removesuffix(":1") for address in addresses]

    def transaction_relay(self) -> str:
        """Name of the relay at which a transaction is open."""
        return next(name for name, node in self.nodes.items() if node.gateway.relay.transactions)

    def cut_off(self, name: str, *, reached_by: str) -> None:
        """Cuts an instance off from the store and from all other instances but one."""
        self.nodes[name].platform.store.cut_off = True
        others = self.nodes.keys() - {name, reached_by}
        self.network.cut_peers |= {frozenset((f"{name}:1", f"{other}:1")) for other in others}

    async def asker_session(self, database: str = "current") -> Caller:
        """Opens a session at the asker."""
        return await self.caller(self.asker, database)

    async def open_transaction(self) -> Caller:
        """Opens a session at the asker with a transaction that has written."""
        caller = await self.asker_session()
        await caller.query("BEGIN")
        assert (await caller.query("WRITE a x")).served
        return caller


class Interception:
    """Holds the next message of a type between its sender and the relay, or its answer.

    Attributes:
        addresses: Addresses of the relays that such messages were sent to, in order.
        seen: Set when the message is held.
    """

    def __init__(self, fleet: RelayedFleet, kind: type[Any], stage: str) -> None:
        self._kind = kind
        self._stage = stage
        self._continue = asyncio.Event()
        self.addresses: list[str] = []
        self.seen = asyncio.Event()
        fleet.network.on_message = self._on_message

    @property
    def relay(self) -> str:
        """Name of the relay whose message was held."""
        return self.addresses[0].removesuffix(":1")

    def let_through(self) -> None:
        """Delivers the message."""
        self._continue.set()

    async def _on_message(self, stage: str, address: str, message: Any) -> None:
        if stage != self._stage or not isinstance(message, self._kind):
            return
        self.addresses.append(address)
        if self.seen.is_set():
            return
        self.seen.set()
        await self._continue.wait()


class RelayedStatements:
    """Records which relays answer statements.

    Attributes:
        relays: Names of the relays.
    """

    def __init__(self, fleet: RelayedFleet) -> None:
        self.relays: set[str] = set()
        fleet.network.on_message = self._on_message

    async def _on_message(self, stage: str, address: str, message: Any) -> None:
        if stage == "answered" and isinstance(message, RelayStatement):
            self.relays.add(address.removesuffix(":1"))
