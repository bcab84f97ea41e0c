"""Pings the other gateways, with one task per peer, and copies newer tables from them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import replace
from functools import partial
from math import ceil

from wigeonpoint.connection import PeerDispatcher, PeerTransport
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._background import start_loop
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.process.gateway.control._change_watch import ChangeWatch
from wigeonpoint.process.gateway.control._control_state import (
    QUORUM_LEASES_WITHOUT_STORE_S,
    ControlState,
)
from wigeonpoint.process.gateway.control._lease import LEASE_DURATION_S
from wigeonpoint.process.gateway.control._messages import (
    AnnounceLeadership,
    ConfirmedPrimary,
    GatewayPing,
    GatewayState,
    LeadershipAdopted,
)
from wigeonpoint.process.gateway.control._policy import choose_coordinator
from wigeonpoint.process.gateway.control._table_exchange import TableExchange
from wigeonpoint.process.gateway.control._watch_set import (
    FULL_MESH_LIMIT,
    store_reader,
    watch_set,
)
from wigeonpoint.version.catalogue import LeavingMember, RegisteredInstance

PING_INTERVAL_S = 0.15
# In fleets in which not all instances watch each other: by the coordinator, which decides on what
# it hears, and by the others. A peer counts as reached for the lease duration.
COORDINATOR_WATCH_INTERVAL_S = 0.25
LARGE_FLEET_PING_INTERVAL_S = 0.4
STORE_READER_PING_INTERVAL_S = 0.14  # of the instance that reads the store for its data centre
# The coordinator pings all instances this often, to find lost ones and deregister them.
COORDINATOR_PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 0.25
# A later answer has all members in the peer's data centre probed, which costs a connection each.
LATE_ANSWER_S = 0.08
STATE_MAX_AGE_S = 0.8
STORE_CONTACT_S = 2 * LEASE_DURATION_S  # an instance that follows the store reads it more often
# A peer's view of primaries is used for two ping intervals and this margin.
VIEW_AGE_MARGIN_S = 0.05

OwnState = Callable[[], GatewayState]


class GatewayPeers:
    """Pings the peers, copies newer tables from them, and answers their pings and requests.

    Args:
        control: Control state of this instance.
        transport: Sends messages.
        copy_transport: Fetches copies of tables.
        tables: Feeds of all tables by name.
        prompt_table: Name of the table whose changes are copied without waiting for the next pings.
        own_state: Gives the state that is sent to peers.
        seeds: Addresses to ping while no instance is known.
        address: Address of this instance for peers.
        data_centre: Its data centre.
        on_late: Called with the data centre of a peer whose answer is late.
        on_regained: Called with the data centre of a peer that answers again.
        on_unreachable: Called with each group whose primary a peer does not reach.
        on_confirmed_primaries: Called with a peer's confirmed primaries by group, and the time in
            seconds at which the peer was asked.
        on_leaving_members: Called with the leaving members that a peer knows, and the same time.
        on_state: Called with the state of each peer that answers, and the same time.
    """

    def __init__(
        self,
        control: ControlState,
        transport: PeerTransport,
        copy_transport: PeerTransport,
        *,
        tables: Mapping[str, TableFeed],
        prompt_table: str,
        own_state: OwnState,
        seeds: list[str],
        address: str,
        data_centre: str,
        on_late: Callable[[str], None],
        on_regained: Callable[[str], None],
        on_unreachable: Callable[[str], None],
        on_confirmed_primaries: Callable[[dict[str, ConfirmedPrimary], float], None],
        on_leaving_members: Callable[[list[LeavingMember], float], None],
        on_state: Callable[[GatewayState, float], None],
    ) -> None:
        self._control = control
        self._transport = transport
        self._tables = TableExchange(copy_transport, tables)
        self._prompt_table, self._prompt_feed = prompt_table, tables[prompt_table]
        self._changes = ChangeWatch(transport, self._tables, prompt_table, tables[prompt_table])
        self._own_state = own_state
        self._seeds = [seed for seed in seeds if seed != address]
        self._address = address
        self._data_centre = data_centre
        self._on_late = on_late
        self._on_regained = on_regained
        self._on_unreachable = on_unreachable
        self._on_confirmed_primaries = on_confirmed_primaries
        self._on_leaving_members = on_leaving_members
        self._on_state = on_state
        self._ping = GatewayPing(control.name, address, data_centre)
        self._pingers: dict[str, asyncio.Task[None]] = {}
        self._intervals: dict[str, float] = {}
        self._ping_requested = asyncio.Event()
        self._late: set[str] = set()  # addresses whose latest ping was not answered in time
        self._watched_of: Mapping[str, RegisteredInstance] | None = None
        self._watched_active: frozenset[str] = frozenset()
        self._watched: frozenset[str] = frozenset()
        self._states: dict[str, tuple[float, GatewayState]] = {}
        self._update_task: asyncio.Task[None] | None = None

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handlers of pings and of requests for table copies."""
        dispatcher.register(GatewayPing, self._answer_ping)
        self._tables.register(dispatcher)
        self._changes.register(dispatcher)

    def start(self) -> None:
        """Starts pinging."""
        self._update_task = start_loop(self._update_pingers)

    def close(self) -> None:
        """Stops pinging."""
        if self._update_task is not None:
            self._update_task.cancel()
        self._changes.close()
        self._tables.close()
        for task in self._pingers.values():
            task.cancel()

    @property
    def watched(self) -> frozenset[str]:
        """Names of the instances in the watch set of this one."""
        coordinator_record = self._control.records.coordinator_record()
        # A claim is announced before the coordinator record of its claimant is copied.
        active = self._control.claimants
        if coordinator_record is not None:
            active |= {coordinator_record.holder}
        instances = self._control.instances
        if self._watched_of is not instances or self._watched_active != active:
            self._watched_of = instances
            self._watched_active = active
            self._watched = watch_set(self._control.name, instances, active=active)
        return self._watched

    @property
    def reachable(self) -> list[str]:
        """Watched instances that answered within the lease duration."""
        return self._control.lease.reachable(self.watched)

    @property
    def coordinator(self) -> str:
        """The instance that arranges changes of primary and deregisters lost instances."""
        coordinator_record = self._control.records.coordinator_record()
        reachable = self.reachable
        return choose_coordinator(
            own=self._control.name,
            current=coordinator_record.holder if coordinator_record else None,
            reachable=reachable,
            without_store=self._without_store(reachable),
        )

    @property
    def is_coordinator(self) -> bool:
        """Whether this instance is the coordinator."""
        return self.coordinator == self._control.name

    def _without_store(self, reachable: list[str]) -> set[str]:
        """The instances among the reachable ones and this one that the store does not answer."""
        states = {name: self.state(name) for name in reachable}
        names = {
            name for name, state in states.items() if state is not None and state.without_store
        }
        return names | {self._control.name} if self._control.cannot_replace_primaries else names

    def catch_up(self, name: str, changed: int) -> None:
        """Copies the prompt table in the background from a peer that knows a later change of it.

        Args:
            name: Name of the peer.
            changed: Store version of the change.
        """
        peer = self._control.peers.get(name)
        if peer is not None and self._prompt_feed.lacks(changed):
            self._tables.start_fetch(peer.address, self._prompt_table, at_once=True)

    def state(self, name: str) -> GatewayState | None:
        """The last state of a peer, None if it has not answered for `STATE_MAX_AGE_S`."""
        return self._state(name, STATE_MAX_AGE_S)

    @property
    def follows_store(self) -> bool:
        """Whether this instance follows the store's tables itself.

        In a large fleet, one instance of each data centre does, and the others copy what it has.
        They follow the store as well while that one does not answer or does not reach the store,
        unless an instance that precedes them by name already does.
        """
        control = self._control
        if control.fleet.reads_for_others:
            return True
        trusted = {store_reader(control.name, control.instances)}
        trusted.update(name for name in self.watched if name < control.name)
        states = [self.state(name) for name in trusted]
        return not any(state is not None and state.follows_store for state in states)

    @property
    def has_store_contact(self) -> bool:
        """Whether this instance follows the store's tables and the store answers it."""
        contact = self._control.lease.own_store_read_age_s < STORE_CONTACT_S
        return contact and self.follows_store

    def unreachable_from_all_peers(self, name: str) -> bool:
        """Whether no peer that answers reaches an instance."""
        states = [self.state(peer) for peer in self._control.peers if peer != name]
        return not any(state is not None and name in state.in_contact for state in states)

    def ping_now(self) -> None:
        """Pings all instances without waiting for the next interval, before a pending decision."""
        self._ping_requested.set()
        self._ping_requested = asyncio.Event()

    def unreachable_s(self, group: str) -> dict[str, float]:
        """Seconds for which each peer that answers has not reached a group's primary, by peer."""
        peers = self._control.peers
        states = {
            name: self._state(name, self._view_max_age_s)
            for name in self.watched
            if name in peers and peers[name].address not in self._late
        }
        return {
            name: state.unreachable.get(group, 0.0)
            for name, state in states.items()
            if state is not None
        }

    def _state(self, name: str, max_age_s: float) -> GatewayState | None:
        known = self._states.get(name)
        if known is None or self._control.lease.now - known[0] > max_age_s:
            return None
        return known[1]

    async def announce(self, message: AnnounceLeadership, *, timeout: float) -> set[str]:
        """Announces a leadership record to all peers.

        Args:
            message: The announcement.
            timeout: Seconds to wait for their confirmations.

        Returns:
            The peers that confirmed it.
        """
        peers = self._control.peers
        replies = await asyncio.gather(
            *(self._announce_to(peer.address, message, timeout) for peer in peers.values())
        )
        return {name for name, confirmed in zip(peers, replies, strict=True) if confirmed}

    async def _announce_to(self, address: str, message: AnnounceLeadership, timeout: float) -> bool:
        try:
            reply = await self._transport.request(
                address, message, LeadershipAdopted, timeout=timeout
            )
        except WigeonpointError:
            return False  # the claimant logs which peers did not confirm
        announced = message.leadership
        return (reply.era, reply.epoch) >= (announced.era, announced.epoch)

    @property
    def _large_fleet(self) -> bool:
        return len(self._control.instances) > FULL_MESH_LIMIT

    @property
    def _view_max_age_s(self) -> float:
        return 2 * self._watch_interval_s + VIEW_AGE_MARGIN_S

    @property
    def _watch_interval_s(self) -> float:
        if not self._large_fleet:
            return PING_INTERVAL_S
        return COORDINATOR_WATCH_INTERVAL_S if self.is_coordinator else LARGE_FLEET_PING_INTERVAL_S

    def _ping_intervals(self) -> dict[str, float]:
        """Seconds between two pings, by the address of each instance to ping."""
        peers = self._control.peers
        interval = self._watch_interval_s
        intervals: dict[str, float] = {}
        if self.is_coordinator:
            intervals = {peer.address: COORDINATOR_PING_INTERVAL_S for peer in peers.values()}
        intervals |= {peers[name].address: interval for name in self.watched if name in peers}
        if self._large_fleet and self._control.registered:
            reader = peers.get(store_reader(self._control.name, self._control.instances))
            if reader is not None:
                intervals[reader.address] = STORE_READER_PING_INTERVAL_S
        if not self._control.feed.loaded or not intervals:
            intervals |= dict.fromkeys(self._seeds, interval)
        intervals.pop(self._address, None)
        return intervals

    def _watched_addresses(self) -> dict[str, bool]:
        """Whether each watched peer is in the data centre of this instance, by address."""
        peers = [self._control.peers[name] for name in self.watched & self._control.peers.keys()]
        return {peer.address: peer.data_centre == self._data_centre for peer in peers}

    async def _update_pingers(self) -> None:
        while True:
            intervals = self._intervals = self._ping_intervals()
            for address in self._pingers.keys() - intervals:
                self._pingers.pop(address).cancel()
                self._late.discard(address)
                self._transport.disconnect(address)
            for address in intervals.keys() - self._pingers.keys():
                self._pingers[address] = start_loop(partial(self._ping_peer, address))
            self._changes.update(self._watched_addresses() if self._large_fleet else {})
            await asyncio.sleep(self._watch_interval_s)

    async def _ping_peer(self, address: str) -> None:
        reached = True
        while True:
            asked_at = self._control.lease.now
            late = asyncio.get_running_loop().call_later(LATE_ANSWER_S, self._mark_late, address)
            try:
                state = await self._transport.request(
                    address, self._ping, GatewayState, timeout=PING_TIMEOUT_S
                )
                await self._tables.fetch_newer(
                    address, state, first_copies=self._gives_first_copies(address)
                )
            except WigeonpointError as error:
                self._transport.disconnect(address)
                if reached:
                    log_event(Event.PEER_LOST, address=address, reason=error.message)
                self._mark_late(address)
                reached = False
            else:
                self._late.discard(address)
                if not reached:
                    log_event(Event.PEER_REGAINED, address=address, peer=state.name)
                    self._notify_data_centre(address, self._on_regained)
                reached = True
                self._record_state(state, asked_at)
            finally:
                late.cancel()
            await self._wait_for_next_ping(self._intervals.get(address, PING_INTERVAL_S))

    def _gives_first_copies(self, address: str) -> bool:
        """Whether to copy whole tables from a peer at the start.

        Peers in other data centres are asked only once the one that reads the store for this data
        centre has had time to give its copies.
        """
        if not self._control.fleet.settling:
            return True
        return any(
            peer.address == address and peer.data_centre == self._data_centre
            for peer in self._control.peers.values()
        )

    async def _wait_for_next_ping(self, seconds: float) -> None:
        """Waits for the next ping; `ping_now` ends the wait."""
        requested = self._ping_requested
        with suppress(TimeoutError):
            await asyncio.wait_for(requested.wait(), seconds)

    def _mark_late(self, address: str) -> None:
        if address not in self._late:
            self._late.add(address)
            self._notify_data_centre(address, self._on_late)

    def _notify_data_centre(self, address: str, listener: Callable[[str], None]) -> None:
        for peer in self._control.peers.values():
            if peer.address == address:
                listener(peer.data_centre)

    def _record_state(self, state: GatewayState, asked_at: float) -> None:
        self._states[state.name] = (asked_at, state)
        for group in state.unreachable:
            self._on_unreachable(group)
        self._on_confirmed_primaries(state.vouched, asked_at)
        self._on_leaving_members(state.leaving_members, asked_at)
        self._on_state(state, asked_at)
        if not state.knows_sender:
            return  # its claims would not wait for a confirmation by this instance
        self._control.lease.note_peer_answer(
            state.name, asked_at=asked_at, store_read_age_s=state.store_evidence_age_s
        )

    async def _answer_ping(self, ping: GatewayPing) -> GatewayState:
        registered = self._control.fleet.listed.get(ping.sender)
        sender = RegisteredInstance(ping.address, ping.data_centre)
        return replace(self._own_state(), knows_sender=registered == sender)


def store_read_age_s(control: ControlState) -> float | None:
    """Seconds since the latest store read, None if that is too long ago to matter."""
    age = control.lease.store_read_age_s()
    return ceil(age * 1000) / 1000 if age < QUORUM_LEASES_WITHOUT_STORE_S else None
