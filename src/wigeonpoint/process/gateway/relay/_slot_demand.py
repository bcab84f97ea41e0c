"""Tells the relays of a member the demand at each of them, so that they divide its slots."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress

from wigeonpoint.errors import WigeonpointError
from wigeonpoint.process.gateway._background import start_loop
from wigeonpoint.process.gateway.pool import MemberPool
from wigeonpoint.process.gateway.relay._links import RelayLinks, RelayUnavailable
from wigeonpoint.process.gateway.relay._messages import SlotDemand
from wigeonpoint.process.policy import RelayDemand, SlotShares
from wigeonpoint.request import Rank
from wigeonpoint.version.catalogue import MemberRecord

INTERVAL_S = 0.1
TIMEOUT_S = 0.2


class SlotDemands:
    """Sends and receives the demand at the relays of members.

    Args:
        address: Address of this instance for peers.
        links: Links to relays.
        pools: Returns the pools of this relay by member id.
        relays: Returns the addresses of a member's regular relays.
    """

    def __init__(
        self,
        address: str,
        links: RelayLinks,
        pools: Callable[[], Mapping[str, MemberPool]],
        relays: Callable[[MemberRecord], list[str]],
    ) -> None:
        self._address = address
        self._links = links
        self._pools = pools
        self._relays = relays
        self._shares: dict[str, SlotShares] = {}
        self._own: dict[str, RelayDemand] = {}
        self._sending: set[asyncio.Task[None]] = set()
        self._loop_task: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Stops telling them."""
        if self._loop_task is not None:
            self._loop_task.cancel()
        for task in self._sending:
            task.cancel()

    def share(self, record: MemberRecord) -> int:
        """Statements that this relay may run at a member at the same time."""
        shares, pool = self._shares.get(record.id), self._pools().get(record.id)
        if shares is None or pool is None:
            return record.slots
        now = asyncio.get_running_loop().time()
        return shares.share(record.slots, self._weight(pool), now)

    def note_request(self, member_id: str, rank: Rank) -> None:
        """Records that a statement for a member has arrived.

        From the first one on, other relays are told the demand here while statements wait.
        """
        if self._loop_task is None:
            self._loop_task = start_loop(self._run)
        demand = self._own.setdefault(member_id, RelayDemand())
        demand.note_request(rank, asyncio.get_running_loop().time())

    async def answer(self, message: SlotDemand) -> SlotDemand:
        """Records the demand at another relay; returns that here."""
        pool = self._pools().get(message.member_id)
        if pool is None:
            return SlotDemand(self._address, message.member_id, 0.0)
        self._note(message)
        return SlotDemand(self._address, message.member_id, self._weight(pool))

    def _note(self, message: SlotDemand) -> None:
        shares = self._shares.setdefault(message.member_id, SlotShares())
        now = asyncio.get_running_loop().time()
        shares.note_demand(message.relay, message.weight, now)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            pools = self._pools()
            for known in (self._shares, self._own):
                for member_id in known.keys() - pools.keys():
                    del known[member_id]
            for pool in pools.values():
                if pool.waiting:
                    self._tell(pool)

    def _tell(self, pool: MemberPool) -> None:
        message = SlotDemand(self._address, pool.record.id, self._weight(pool))
        for relay in self._relays(pool.record):
            if relay != self._address and self._links.usable(relay):
                task = asyncio.create_task(self._send(relay, message))
                self._sending.add(task)
                task.add_done_callback(self._sending.discard)

    async def _send(self, relay: str, message: SlotDemand) -> None:
        # A relay that does not get it uses more slots for a moment.
        with suppress(RelayUnavailable, WigeonpointError):
            self._note(await self._links.request(relay, message, SlotDemand, timeout=TIMEOUT_S))

    def _weight(self, pool: MemberPool) -> float:
        demand = self._own.get(pool.record.id)
        if demand is None:
            return 0.0
        waiting = {rank: pool.waiting_of(rank) for rank in Rank}
        now = asyncio.get_running_loop().time()
        return round(demand.weight(waiting, pool.latency.mean_s, now), 2)
