"""This instance's copy of the control rows, and its lease for using primaries."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from wigeonpoint.backend import LogPosition
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._background import start_loop
from wigeonpoint.process.gateway._call_counts import CallCounts, CallPurpose, CountedStore
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._store_clock import StoreClock
from wigeonpoint.process.gateway._store_era import StoreEra
from wigeonpoint.process.gateway._suspension import Clock
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.process.gateway.control._fleet_registrations import FleetRegistrations
from wigeonpoint.process.gateway.control._handover import Handover
from wigeonpoint.process.gateway.control._lease import LEASE_DURATION_S, Lease
from wigeonpoint.process.gateway.control._lease_keeper import LeaseKeeper
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.process.gateway.control._quorum_leases import QuorumLeases
from wigeonpoint.process.gateway.control._records import CONTROL_TABLE, ControlRecords
from wigeonpoint.process.gateway.control._registration import Registration
from wigeonpoint.process.gateway.control._store_trust import StoreTrust
from wigeonpoint.process.gateway.pool import MemberPool
from wigeonpoint.services import RowStore
from wigeonpoint.version.catalogue import (
    Leadership,
    LeadershipPhase,
    RegisteredInstance,
)

# Members are asked to confirm primaries this long before the lease expires.
QUORUM_LEASES_BEFORE_S = 0.2 * LEASE_DURATION_S
# Claims outlast the quorum leases of an instance for this long after it was deregistered.
DEREGISTERED_KEPT_S = 3600.0
# An instance may have been deregistered right after the last store read that it knows of.
QUORUM_LEASES_WITHOUT_STORE_S = DEREGISTERED_KEPT_S - 2 * LEASE_DURATION_S
LEASE_WATCH_INTERVAL_S = 0.05
# A single failure of the store does not move the coordinator to another instance.
WITHOUT_STORE_AFTER_S = 0.5
# Another instance takes over the changes for as long after a call for a promotion has failed.
WITHOUT_PROMOTIONS_S = 10.0
MAX_LOGGED_AGE_S = 1000.0  # a lease that was never renewed is infinitely old


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
        store_era: The era that the feeds of this instance follow together.
        random_source: Source of the jitter of calls to the store.
        call_counts: Counts the calls of the platform.
        follows_store: Tells whether to follow the store, not only the copies of other instances.
        on_lease_regained: Called when the lease becomes valid.
        on_instances_changed: Called when instances have been registered or deregistered.
        on_rows: Called when control rows have changed.
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
        store_era: StoreEra,
        random_source: random.Random,
        call_counts: CallCounts,
        follows_store: Callable[[], bool] = lambda: True,
        on_lease_regained: Callable[[], None] = lambda: None,
        on_instances_changed: Callable[[], None] = lambda: None,
        on_rows: Callable[[], None] = lambda: None,
    ) -> None:
        self._name = name
        self._on_rows = on_rows
        self._group = group
        self._members = members
        self._quorum_leases = quorum_leases
        self._on_lease_regained = on_lease_regained
        self._lease_valid_since: float | None = None
        self._promotion_failed_at = float("-inf")
        self._leaderships: dict[str, Leadership] = {}
        self._claimants: frozenset[str] = frozenset()
        self._lost_leaderships: dict[str, Leadership] = {}
        self._trust = StoreTrust()
        self._tasks: list[asyncio.Task[None]] = []
        self._handovers: dict[str, Handover] = {}
        self.lease = Lease(clock)
        self.store_clock = StoreClock()
        self.feed = TableFeed(
            CountedStore(store, CallPurpose.CONTROL, call_counts),
            CONTROL_TABLE,
            self._apply_rows,
            follows=lambda: not self._fleet.settling and follows_store(),
            awaits_copy=lambda: not self._fleet.registration_attempted,
            on_read=self.lease.note_store_read,
            clock=clock,
            store_era=store_era,
            store_clock=self.store_clock,
            random_source=random_source,
        )
        self._records = ControlRecords(lambda: self.feed.rows)
        self._fleet = FleetRegistrations(
            Registration(
                name,
                registration,
                CountedStore(store, CallPurpose.REGISTRATION, call_counts),
                self.feed,
            ),
            self.feed,
            self._records,
            self.lease,
            on_change=self._apply_rows,
            on_instances_changed=on_instances_changed,
        )
        self._keeper = LeaseKeeper(
            self.lease,
            self.feed,
            lambda: self.peers.keys(),
            lambda: self._fleet.reads_for_others,
            random_source,
        )

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self._name

    @property
    def records(self) -> ControlRecords:
        """The control rows."""
        return self._records

    @property
    def era(self) -> int:
        """Number of restores of the store that the control rows follow."""
        return self.feed.era

    @property
    def fleet(self) -> FleetRegistrations:
        """The registrations of this instance and of the others."""
        return self._fleet

    @property
    def instances(self) -> dict[str, RegisteredInstance]:
        """Registered instances by name, this one included."""
        return self._fleet.instances

    @property
    def peers(self) -> dict[str, RegisteredInstance]:
        """Registered instances by name, without this one."""
        return self._fleet.peers

    @property
    def registered(self) -> bool:
        """Whether this instance is registered, so that claimants wait for its confirmation."""
        return self._fleet.registered

    def _quorum_leases_due_s(self) -> float:
        """Seconds until quorum leases are needed if nothing renews the lease; 0 if they are now."""
        if not self.registered:
            return QUORUM_LEASES_BEFORE_S
        return max(self.lease.remaining_s(self.peers) - QUORUM_LEASES_BEFORE_S, 0.0)

    @property
    def cannot_replace_primaries(self) -> bool:
        """Whether the platform does not answer this instance, so that it can make no changes.

        That is the store, or the service that carries out promotions.
        """
        if self.feed.unreachable_s >= WITHOUT_STORE_AFTER_S:
            return True
        return self.lease.now - self._promotion_failed_at < WITHOUT_PROMOTIONS_S

    def note_promotion_call(self, *, answered: bool) -> None:
        """Records whether a call for a promotion was answered."""
        self._promotion_failed_at = float("-inf") if answered else self.lease.now

    @property
    def isolated(self) -> bool:
        """Whether neither the store nor any instance in another data centre can be reached."""
        if self.lease_valid or not self.feed.loaded:
            return False
        own = self._fleet.own_row.data_centre
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
        if pool is None or pool.health.available:
            return 0.0
        since = self.lease_valid_since
        return pool.health.failed_since_s(since) if since is not None else 0.0

    def may_send(self, group: str, member_id: str) -> bool:
        """Whether a statement may be sent to a member as the primary of a group."""
        if not self.registered or self._group(group).primary_id != member_id:
            return False
        if self.awaits_confirmation(group, member_id):
            self._quorum_leases.request(group)
            return False
        handover = self._handovers.get(group)
        if handover is not None and not handover.usable:
            return False
        return self._has_right(group, member_id)

    def _has_right(self, group: str, member_id: str) -> bool:
        """Whether no change of primary can be unknown here; asks the members if need be."""
        if self.lease_valid:
            return True
        if self.lease.store_read_age_s() >= QUORUM_LEASES_WITHOUT_STORE_S:
            return False
        if self._quorum_leases.holds(group, member_id):
            return True
        self._quorum_leases.request(group)
        return False

    @property
    def registrations_certain(self) -> bool:
        """Whether no instance can hold a lease whose registration a restore of the store has lost.

        Instances that held a lease through the restore know it, and have claims wait for it. A
        quorum lease needs a store read that is younger than `DEREGISTERED_KEPT_S`.
        """
        return self._trust.knows_all_since(self.lease.now, seconds=DEREGISTERED_KEPT_S)

    def note_primary(self, group: str, member_id: str) -> None:
        """Records that a member began to say that it leads its group.

        If no record tells of its promotion, a call that its claimant has given up took effect late.
        The recorded primary is used again only if the members confirm it.
        """
        leadership = self._leaderships.get(group)
        recorded = leadership.primary if leadership else self._group(group).primary_id
        candidate = leadership.candidate if leadership else None
        named = leadership is not None or recorded is not None
        if not named or member_id in (recorded, candidate):
            return
        self._trust.note_unrecorded(group, member_id)
        self._quorum_leases.doubt(group)
        log_event(Event.PRIMARY_UNRECORDED, group=group, member=member_id, recorded=recorded)

    def awaits_confirmation(self, group: str, member_id: str) -> bool:
        """Whether the members have to confirm a primary before its next use."""
        if not self._trust.is_doubtful(group, self._leaderships.get(group)):
            return False
        return not self._quorum_leases.has_confirmed(group, member_id)

    def is_contradicted(self, group: str, member_id: str) -> bool:
        """Whether a primary that has to be confirmed is not the primary by its members' reports."""
        if not self.awaits_confirmation(group, member_id):
            return False
        self._quorum_leases.request(group)
        return self._quorum_leases.has_contradicted(group, member_id)

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
        confirmed = await handover.confirm(position, deadline=deadline)
        return confirmed and self.registered and self._has_right(group, member_id)

    def leadership(self, group: str) -> Leadership | None:
        """The newest known leadership record of a group."""
        return self._leaderships.get(group)

    @property
    def claimants(self) -> frozenset[str]:
        """Names of the instances whose claims are not completed."""
        return self._claimants

    @property
    def lost_leaderships(self) -> dict[str, Leadership]:
        """Stable records by group that the store lost when it was restored."""
        return self._lost_leaderships

    def adopt_leadership(self, group: str, leadership: Leadership) -> None:
        """Adopts a leadership record of a group if it is newer than the known one."""
        known = self._leaderships.get(group)
        if known is not None and leadership.precedence <= known.precedence:
            return
        self._leaderships[group] = leadership
        self._trust.note_record(group, leadership)
        if known is not None and replace(known, called=leadership.called) == leadership:
            return  # the change goes on
        self._claimants = frozenset(
            one.claimant
            for one in self._leaderships.values()
            if one.phase is LeadershipPhase.CLAIMED
        )
        log_event(
            Event.LEADERSHIP_ADOPTED,
            group=group,
            epoch=leadership.epoch,
            era=leadership.era,
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
        self._fleet.start()
        self._quorum_leases.start(self._quorum_leases_due_s)
        self._tasks = [
            start_loop(self._keeper.run),
            start_loop(self._watch_lease),
        ]

    def close(self) -> None:
        """Stops all tasks."""
        self.feed.close()
        self._fleet.close()
        self._quorum_leases.close()
        for handover in self._handovers.values():
            handover.close()
        for task in self._tasks:
            task.cancel()

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
        self._trust.note_era(self.era, lease_valid=self.lease_valid, now=self.lease.now)
        self._fleet.apply_rows()
        stored = self.records.leaderships()
        for group, leadership in stored.items():
            self.adopt_leadership(group, leadership)
        self._lost_leaderships = {
            group: known
            for group, known in self._leaderships.items()
            if _is_lost(known, stored.get(group), self.era)
        }
        self._on_rows()

    async def _watch_lease(self) -> None:
        """Logs when the lease is lost and regained."""
        while True:
            if self.lease_valid != (self._lease_valid_since is not None):
                self._record_lease_change()
            # A valid lease cannot be lost sooner than it expires.
            remaining_s = self.lease.remaining_s(self.peers) if self.lease_valid else 0.0
            await asyncio.sleep(max(remaining_s, LEASE_WATCH_INTERVAL_S))

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


def _is_lost(known: Leadership, stored: Leadership | None, era: int) -> bool:
    """Whether the store lost a stable record when it was restored."""
    if known.phase is not LeadershipPhase.STABLE or known.era >= era:
        return False
    return stored is None or stored.precedence < known.precedence
