"""This instance's copy of the control rows, and the evidence that it is complete."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from wigeonpoint.backend import LogPosition
from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._member_pool import MemberPool
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.process.gateway.control._handover import Handover
from wigeonpoint.process.gateway.control._lease import LEASE_DURATION_S, Clock, Lease
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

# The store is asked when the evidence of the peers has become this old.
ASK_AFTER_S = 0.4 * LEASE_DURATION_S
# In a large fleet one instance of a data centre asks then, and the others only if they do not hear
# from it; at differing ages, so that the first that asks spares the others the call.
FIRST_ASK_S = 0.65 * LEASE_DURATION_S
LATEST_ASK_S = 0.75 * LEASE_DURATION_S
ANSWER_FACTOR = 1.3  # of the store's usual time to answer, for an answer that takes longer
LATENCY_WEIGHT = 0.3
ASK_MARGIN_S = 0.1
# Members are asked when the other evidence is about to lapse.
MEMBERS_AFTER_S = 0.8 * LEASE_DURATION_S
STEP_S = 0.02
LOADING_STEP_S = 0.01
WATCH_STEP_S = 0.05
REGISTER_PAUSE_S = 0.3
RENEWAL_PAUSE_S = 1.0  # nothing waits for a renewal, and each call is priced


class ControlState:
    """Control rows, the leaders that they name, and the use of primaries.

    Args:
        name: Name of this instance.
        registration: What it registers.
        store: The store.
        group: Gives a group by name.
        members: Control calls to members.
        quorum_leases: Evidence from the members themselves.
        clock: Seconds, counted also while the machine is suspended.
        on_lease_regained: Called when primaries may be used again.
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
        on_lease_regained: Callable[[], None] = lambda: None,
    ) -> None:
        self._name = name
        self._registration = registration
        self._store = store
        self._group = group
        self._members = members
        self._quorum_leases = quorum_leases
        self._on_lease_regained = on_lease_regained
        self._lease_valid_since: float | None = None
        self._leaderships: dict[str, Leadership] = {}
        self._instances: dict[str, RegisteredInstance] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._leaving = False
        self._renewed = False
        self._random = random.Random()
        self._spread_for = float("-inf")
        self._spread_s = ASK_AFTER_S
        self._store_latency_s = 0.0
        self._handovers: dict[str, Handover] = {}
        self.lease = Lease(clock)
        self.feed = TableFeed(store, CONTROL_TABLE, self._apply_rows)

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
        return {name: one for name, one in self._instances.items() if name != self._name}

    @property
    def registered(self) -> bool:
        """Whether claimants know of this instance."""
        return self._instances.get(self._name) == self._registration

    @property
    def _fresh(self) -> bool:
        """Whether store or peers have confirmed the control rows lately."""
        return self.lease.age_s(self.peers) < MEMBERS_AFTER_S

    @property
    def isolated(self) -> bool:
        """Whether neither the store nor any other data centre can be reached from here."""
        if self.lease_valid or not self.feed.loaded:
            return False
        own = self._registration.data_centre
        others = {name for name, peer in self.peers.items() if peer.data_centre != own}
        return bool(others) and not self.lease.reachable(others)

    @property
    def lease_valid(self) -> bool:
        """Whether primaries may be used at all."""
        return self.registered and self.lease.is_valid(self.peers)

    @property
    def lease_valid_since(self) -> float | None:
        """Event-loop time, in seconds, since when primaries may be used; None while they may not.

        What was seen of other instances and of members before may come from behind a cut.
        """
        return self._lease_valid_since if self.lease_valid else None

    def unreachable_s(self, pool: MemberPool | None) -> float:
        """Seconds for which a member has not been reached, not counting what a cut may explain."""
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
        """Whether a member leads a group now and is not being replaced."""
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
        """The newest record of a group that is known."""
        return self._leaderships.get(group)

    def adopt_leadership(self, group: str, leadership: Leadership) -> None:
        """Takes over a record of a group if it is newer."""
        known = self._leaderships.get(group)
        if known is not None and _order(leadership) <= _order(known):
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
        self._follow(self._group(group), leadership)

    def _follow(self, group: Group, leadership: Leadership) -> None:
        former = self._handovers.pop(group.name, None)
        if former is not None:
            former.close()
        handover = self._start_handover(group, leadership)
        if handover is not None:
            self._handovers[group.name] = handover
        usable = handover is not None or leadership.phase is LeadershipPhase.STABLE
        group.set_primary(leadership.primary if usable else None, known=True)

    def start(self) -> None:
        """Follows the control table, registers this instance and keeps the evidence young."""
        self.feed.start()
        self._quorum_leases.start(lambda: self.registered and not self._fresh)
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
        """Withdraws the registration of an instance that is gone."""
        key = instance_row(name)
        version = self.records.version(key.key)
        try:
            await self._store.commit(RowTransaction({key: version}, deletes=[key]))
        except (StoreUnavailable, ConditionFailed) as error:
            log_event(Event.REGISTRATION_FAILED, instance_withdrawn=name, reason=str(error))
            return
        log_event(Event.INSTANCE_DEREGISTERED, withdrawn=name)

    async def deregister(self, *, timeout: float) -> None:
        """Withdraws the registration; no primary may be used afterwards.

        The withdrawal holds only for the registration of this process: one that takes effect
        late must not withdraw that of the process which has started in its place.

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
            log_event(Event.REGISTRATION_FAILED, reason=str(error) or "the store is too slow")

    def _start_handover(self, group: Group, leadership: Leadership) -> Handover | None:
        """Lets statements go on at a primary that is leaving, None where that is not possible."""
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
        self._instances = instances
        for group, leadership in records.leaderships().items():
            self.adopt_leadership(group, leadership)

    async def _keep_registered(self) -> None:
        while True:
            if self.feed.loaded and not self._leaving and not (self.registered and self._renewed):
                await self._register()
            await asyncio.sleep(REGISTER_PAUSE_S if self.registered else LOADING_STEP_S)

    async def _register(self) -> None:
        """Writes the registration.

        A process that finds that of its predecessor uses it, and renews it all the same: a
        withdrawal by the predecessor that takes effect late then fails its condition.
        """
        key = instance_row(self._name)
        value = encode_record(self._registration)
        try:
            version = await self._store.commit(RowTransaction(puts={key: value}))
        except (StoreUnavailable, ConditionFailed) as error:
            log_event(Event.REGISTRATION_FAILED, reason=str(error))
            await asyncio.sleep(RENEWAL_PAUSE_S if self.registered else REGISTER_PAUSE_S)
            return
        self._renewed = True
        self.feed.apply(VersionedRow(CONTROL_TABLE, key.key, value, version))

    async def _keep_lease(self) -> None:
        while True:
            if self.feed.loaded and self.lease.age_s(self.peers) > self._ask_after_s():
                await self._ask_store()
            # Until the control rows are there, nothing can be served that needs a primary.
            await asyncio.sleep(STEP_S if self.feed.loaded else LOADING_STEP_S)

    def _ask_after_s(self) -> float:
        """Age of the evidence at which the store is asked; one for each piece of evidence."""
        made_at = self.lease.store_read_at()
        if made_at != self._spread_for:
            self._spread_for = made_at
            self._spread_s = self._random.uniform(FIRST_ASK_S, LATEST_ASK_S)
        small = len(self._instances) <= FULL_MESH_LIMIT or not self.registered
        if small or store_reader(self._name, self._instances) == self._name:
            return ASK_AFTER_S
        latest = LEASE_DURATION_S - ANSWER_FACTOR * self._store_latency_s - ASK_MARGIN_S
        return max(min(self._spread_s, latest), 0.0)

    async def _ask_store(self) -> None:
        asked_at = self.lease.now
        try:
            await self.feed.poll()
        except StoreUnavailable:
            await asyncio.sleep(ASK_AFTER_S)  # the feed logs that the store is away
            return
        self.lease.note_store_read(asked_at)
        latency = self.lease.now - asked_at
        self._store_latency_s += LATENCY_WEIGHT * (latency - self._store_latency_s)

    async def _watch_lease(self) -> None:
        """Notes when evidence is lost and regained."""
        while True:
            if self.lease_valid != (self._lease_valid_since is not None):
                self._note_change()
            await asyncio.sleep(WATCH_STEP_S)

    def _note_change(self) -> None:
        regained = self._lease_valid_since is None
        self._lease_valid_since = asyncio.get_running_loop().time() if regained else None
        log_event(
            Event.LEASE_REGAINED if regained else Event.LEASE_LOST,
            age_ms=min(int(self.lease.age_s(self.peers) * 1000), 1_000_000),
            registered=self.registered,
            in_contact=len(self.lease.reachable(self.peers)),
            peers=len(self.peers),
        )
        if regained:
            self._on_lease_regained()


def _order(leadership: Leadership) -> tuple[int, bool]:
    return leadership.epoch, leadership.phase is LeadershipPhase.STABLE
