"""This instance's copy of the control rows, and its lease for using primaries."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from wigeonpoint.backend import LogPosition
from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._member_pool import MemberPool
from wigeonpoint.process.gateway._suspension import Clock
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.process.gateway.control._handover import Handover
from wigeonpoint.process.gateway.control._lease import LEASE_DURATION_S, Lease
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.process.gateway.control._quorum_leases import QuorumLeases
from wigeonpoint.process.gateway.control._records import (
    CONTROL_TABLE,
    ControlRecords,
    encode_record,
    instance_row,
)
from wigeonpoint.process.gateway.control._watch_set import FULL_MESH_LIMIT, store_reader
from wigeonpoint.services import RowStore, RowTransaction, VersionedRow
from wigeonpoint.version.catalogue import (
    Leadership,
    LeadershipPhase,
    RegisteredInstance,
)

# The store is read when the lease has become this old, so that answers of peers may renew it first.
STORE_READ_AFTER_S = 0.4 * LEASE_DURATION_S
# In a large fleet one instance per data centre reads the store at that age. The others read it only
# if they do not hear from that instance, at random ages between these two, so that the first read
# makes the others unnecessary.
STORE_READ_EARLIEST_S = 0.65 * LEASE_DURATION_S
STORE_READ_LATEST_S = 0.75 * LEASE_DURATION_S
STORE_LATENCY_FACTOR = 1.3  # allows for an answer that takes longer than the average
STORE_LATENCY_WEIGHT = 0.3  # of the newest measurement in the moving average
STORE_READ_MARGIN_S = 0.1
# Members are asked to confirm primaries when the lease is about to expire.
QUORUM_LEASES_AFTER_S = 0.8 * LEASE_DURATION_S
LEASE_CHECK_INTERVAL_S = 0.02
LOADING_CHECK_INTERVAL_S = 0.01
LEASE_WATCH_INTERVAL_S = 0.05
MAX_LOGGED_AGE_S = 1000.0  # a lease that was never renewed is infinitely old
REGISTRATION_INTERVAL_S = 0.3
# Nothing waits for a registered instance to write its row again, and each store call costs money.
RENEWAL_RETRY_DELAY_S = 1.0


class ControlState:
    """Follows the control rows, sets the groups' primaries, and tells whether they may be used.

    Args:
        name: Name of this instance.
        registration: The row that it writes for itself.
        store: The store.
        group: Gives a group by name.
        members: Control calls to members.
        quorum_leases: Confirmations of primaries by the members of their groups.
        clock: Gives seconds; it must also count the time for which the machine is suspended.
        follows_store: Tells whether to follow the store, not only the copies of other instances.
        on_lease_regained: Called when the lease becomes valid.
        on_instances_changed: Called when instances have been registered or deregistered.
    """

    def __init__(
        self,
        name: str,
        registration: RegisteredInstance,
        *,
        store: RowStore,
        group: Callable[[str], Group],
        members: MemberControl,
        quorum_leases: QuorumLeases,
        clock: Clock,
        follows_store: Callable[[], bool] = lambda: True,
        on_lease_regained: Callable[[], None] = lambda: None,
        on_instances_changed: Callable[[], None] = lambda: None,
    ) -> None:
        self._name = name
        self._registration = registration
        self._store = store
        self._group = group
        self._members = members
        self._quorum_leases = quorum_leases
        self._on_lease_regained = on_lease_regained
        self._on_instances_changed = on_instances_changed
        self._lease_valid_since: float | None = None
        self._leaderships: dict[str, Leadership] = {}
        self._instances: dict[str, RegisteredInstance] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._leaving = False
        self._registration_written = False
        self._random = random.Random()
        self._read_delay_chosen_for = float("-inf")
        self._read_delay_s = STORE_READ_AFTER_S
        self._store_latency_s = 0.0
        self._handovers: dict[str, Handover] = {}
        self.lease = Lease(clock)
        self.feed = TableFeed(store, CONTROL_TABLE, self._apply_rows, follows=follows_store)

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self._name

    @property
    def records(self) -> ControlRecords:
        """The control rows."""
        return ControlRecords(self.feed.rows)

    @property
    def instances(self) -> dict[str, RegisteredInstance]:
        """Registered instances by name, this one included."""
        return self._instances

    @property
    def peers(self) -> dict[str, RegisteredInstance]:
        """Registered instances by name, without this one."""
        return {name: peer for name, peer in self._instances.items() if name != self._name}

    @property
    def registered(self) -> bool:
        """Whether this instance is registered, so that claimants wait for its confirmation."""
        return self._instances.get(self._name) == self._registration

    @property
    def registered_before(self) -> bool:
        """Whether the instance was registered when this process started."""
        return self.registered and not self._registration_written

    @property
    def reads_for_others(self) -> bool:
        """Whether this instance reads the store on behalf of its data centre, or of itself only."""
        if len(self._instances) <= FULL_MESH_LIMIT or not self.registered:
            return True
        return store_reader(self._name, self._instances) == self._name

    @property
    def _lease_renewed_recently(self) -> bool:
        """Whether the store or the peers renewed the lease recently."""
        return self.lease.age_s(self.peers) < QUORUM_LEASES_AFTER_S

    @property
    def isolated(self) -> bool:
        """Whether neither the store nor any instance in another data centre can be reached."""
        if self.lease_valid or not self.feed.loaded:
            return False
        own = self._registration.data_centre
        others = {name for name, peer in self.peers.items() if peer.data_centre != own}
        return bool(others) and not self.lease.reachable(others)

    @property
    def lease_valid(self) -> bool:
        """Whether this instance is registered and has a valid lease."""
        return self.registered and self.lease.is_valid(self.peers)

    @property
    def lease_valid_since(self) -> float | None:
        """Event-loop time in seconds since when the lease has been valid; None while it is not.

        Failures to reach instances and members before that time may have been caused by a network
        partition around this instance.
        """
        return self._lease_valid_since if self.lease_valid else None

    def unreachable_s(self, pool: MemberPool | None) -> float:
        """Seconds for which a member has not been reached, counted from `lease_valid_since`."""
        since = self.lease_valid_since
        if pool is None or since is None:
            return 0.0
        return pool.health.failed_since_s(since)

    def may_send(self, group: str, member_id: str) -> bool:
        """Whether a statement may be sent to a member as the primary of a group."""
        if not self.registered or self._group(group).primary_id != member_id:
            return False
        handover = self._handovers.get(group)
        if handover is not None:
            return self.lease_valid and handover.usable
        return self.lease_valid or self._quorum_leases.holds(group, member_id)

    def leads(self, group: str, member_id: str) -> bool:
        """Whether a member is a usable primary of a group that is not being replaced."""
        return group not in self._handovers and self.may_send(group, member_id)

    async def confirm(
        self, group: str, member_id: str, position: LogPosition | None, *, deadline: float
    ) -> bool:
        """Whether an answer that a member gave as the primary may be passed on."""
        handover = self._handovers.get(group)
        if handover is None or handover.primary_id != member_id:
            return self.may_send(group, member_id)
        return await handover.confirm(position, deadline=deadline) and self.lease_valid

    def leadership(self, group: str) -> Leadership | None:
        """The newest known leadership record of a group."""
        return self._leaderships.get(group)

    def adopt_leadership(self, group: str, leadership: Leadership) -> None:
        """Adopts a leadership record of a group if it is newer than the known one."""
        known = self._leaderships.get(group)
        if known is not None and _precedence(leadership) <= _precedence(known):
            return
        self._leaderships[group] = leadership
        log_event(
            Event.LEADERSHIP_ADOPTED,
            group=group,
            epoch=leadership.epoch,
            phase=str(leadership.phase),
            primary=leadership.primary,
            candidate=leadership.candidate,
            claimant=leadership.claimant,
        )
        self._apply_leadership(self._group(group), leadership)

    def _apply_leadership(self, group: Group, leadership: Leadership) -> None:
        former = self._handovers.pop(group.name, None)
        if former is not None:
            former.close()
        handover = self._start_handover(group, leadership)
        if handover is not None:
            self._handovers[group.name] = handover
        usable = handover is not None or leadership.phase is LeadershipPhase.STABLE
        group.set_primary(leadership.primary if usable else None, known=True)

    def start(self) -> None:
        """Follows the control table, registers this instance and renews the lease."""
        self.feed.start()
        self._quorum_leases.start(lambda: self.registered and not self._lease_renewed_recently)
        self._tasks = [
            asyncio.create_task(self._keep_registered()),
            asyncio.create_task(self._keep_lease()),
            asyncio.create_task(self._watch_lease()),
        ]

    def close(self) -> None:
        """Stops all tasks."""
        self.feed.close()
        self._quorum_leases.close()
        for handover in self._handovers.values():
            handover.close()
        for task in self._tasks:
            task.cancel()

    async def deregister_instance(self, name: str) -> None:
        """Deregisters an instance that has been lost."""
        key = instance_row(name)
        version = self.records.version(key.key)
        try:
            await self._store.commit(RowTransaction({key: version}, deletes=[key]))
        except (StoreUnavailable, ConditionFailed) as error:
            log_event(Event.REGISTRATION_FAILED, instance_withdrawn=name, reason=str(error))
            return
        log_event(Event.INSTANCE_DEREGISTERED, withdrawn=name)

    async def deregister(self, *, timeout: float) -> None:
        """Deregisters this instance; it may use no primary afterwards.

        The deletion is conditional on the version of the row that this process wrote: if it is
        carried out late, it must not delete the row of a process that was started as a replacement.

        Args:
            timeout: Seconds to wait for the store.
        """
        self._leaving = True
        key = instance_row(self._name)
        version = self.records.version(key.key)
        self._instances.pop(self._name, None)
        if not version:
            return
        try:
            async with asyncio.timeout(timeout):
                await self._store.commit(RowTransaction({key: version}, deletes=[key]))
        except (StoreUnavailable, ConditionFailed, TimeoutError) as error:
            log_event(
                Event.REGISTRATION_FAILED, reason=str(error) or "the store did not answer in time"
            )

    def _start_handover(self, group: Group, leadership: Leadership) -> Handover | None:
        """Starts a handover if a record claims a planned change whose two members are known."""
        candidate = group.pool(leadership.candidate or "")
        claimed = leadership.phase is LeadershipPhase.CLAIMED
        if not (claimed and leadership.planned and leadership.primary and candidate):
            return None
        return Handover(
            group.name,
            leadership.primary,
            candidate.record,
            self._members,
            on_change=group.notify,
        )

    def _apply_rows(self) -> None:
        records = self.records
        instances = records.instances()
        if self._leaving:
            instances.pop(self._name, None)
        for name in self._instances.keys() - instances.keys():
            self.lease.forget_peer(name)
        if instances != self._instances:
            self._instances = instances
            self._on_instances_changed()
        for group, leadership in records.leaderships().items():
            self.adopt_leadership(group, leadership)

    async def _keep_registered(self) -> None:
        while True:
            if (
                self.feed.loaded
                and not self._leaving
                and not (self.registered and self._registration_written)
            ):
                await self._register()
            await asyncio.sleep(
                REGISTRATION_INTERVAL_S if self.registered else LOADING_CHECK_INTERVAL_S
            )

    async def _register(self) -> None:
        """Writes this instance's row.

        A process that finds the row of its predecessor counts as registered, and still writes the
        row again: if the predecessor's deletion is carried out late, it then fails its condition.
        """
        key = instance_row(self._name)
        value = encode_record(self._registration)
        try:
            version = await self._store.commit(RowTransaction(puts={key: value}))
        except (StoreUnavailable, ConditionFailed) as error:
            log_event(Event.REGISTRATION_FAILED, reason=str(error))
            await asyncio.sleep(
                RENEWAL_RETRY_DELAY_S if self.registered else REGISTRATION_INTERVAL_S
            )
            return
        self._registration_written = True
        self.feed.apply(VersionedRow(CONTROL_TABLE, key.key, value, version))

    async def _keep_lease(self) -> None:
        while True:
            if self.feed.loaded and self.lease.age_s(self.peers) > self._store_read_due_s():
                await self._read_store()
            # Nothing that needs a primary can be served until the control rows are loaded.
            await asyncio.sleep(
                LEASE_CHECK_INTERVAL_S if self.feed.loaded else LOADING_CHECK_INTERVAL_S
            )

    def _store_read_due_s(self) -> float:
        """Age of the lease, in seconds, at which the store is read next.

        The random part is chosen once for each store read that the lease goes back to.
        """
        read_at = self.lease.store_read_at()
        if read_at != self._read_delay_chosen_for:
            self._read_delay_chosen_for = read_at
            self._read_delay_s = self._random.uniform(STORE_READ_EARLIEST_S, STORE_READ_LATEST_S)
        if self.reads_for_others:
            return STORE_READ_AFTER_S
        latest = (
            LEASE_DURATION_S - STORE_LATENCY_FACTOR * self._store_latency_s - STORE_READ_MARGIN_S
        )
        return max(min(self._read_delay_s, latest), 0.0)

    async def _read_store(self) -> None:
        asked_at = self.lease.now
        try:
            await self.feed.poll()
        except StoreUnavailable:
            await asyncio.sleep(STORE_READ_AFTER_S)  # the feed logs that the store is unavailable
            return
        self.lease.note_store_read(asked_at)
        latency = self.lease.now - asked_at
        self._store_latency_s += STORE_LATENCY_WEIGHT * (latency - self._store_latency_s)

    async def _watch_lease(self) -> None:
        """Logs when the lease is lost and regained."""
        while True:
            if self.lease_valid != (self._lease_valid_since is not None):
                self._record_lease_change()
            await asyncio.sleep(LEASE_WATCH_INTERVAL_S)

    def _record_lease_change(self) -> None:
        regained = self._lease_valid_since is None
        self._lease_valid_since = asyncio.get_running_loop().time() if regained else None
        log_event(
            Event.LEASE_REGAINED if regained else Event.LEASE_LOST,
            age_ms=int(min(self.lease.age_s(self.peers), MAX_LOGGED_AGE_S) * 1000),
            registered=self.registered,
            in_contact=len(self.lease.reachable(self.peers)),
            peers=len(self.peers),
        )
        if regained:
            self._on_lease_regained()


def _precedence(leadership: Leadership) -> tuple[int, bool]:
    return leadership.epoch, leadership.phase is LeadershipPhase.STABLE
