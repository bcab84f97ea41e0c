"""Watches the primaries of all groups; the coordinator replaces those that leave or fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._background import start_loop
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.control._announcement_handler import AnnouncementHandler
from wigeonpoint.process.gateway.control._claims import Claims
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._delay_log import DelayLog, DelayReason
from wigeonpoint.process.gateway.control._lost_instances import LostInstances
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.process.gateway.control._member_notes import MemberNotes
from wigeonpoint.process.gateway.control._outstanding_calls import OutstandingCalls
from wigeonpoint.process.gateway.control._peers import GatewayPeers
from wigeonpoint.process.gateway.control._policy import (
    AGREED_UNREACHABLE_AFTER_S,
    PrimaryView,
    ReplacementReason,
    replacement_reason,
)
from wigeonpoint.process.gateway.control._primary_change import ChangeServices, PrimaryChange
from wigeonpoint.process.gateway.control._record_repair import RecordRepair
from wigeonpoint.process.gateway.control._resumptions import Resumptions
from wigeonpoint.services import Promoter, RowStore
from wigeonpoint.version.catalogue import Leadership, LeadershipPhase

CHECK_INTERVAL_S = 0.02
STANDBY_CHECK_INTERVAL_S = 0.1  # for instances that are not the coordinator
RETRY_DELAY_S = 0.1
# A claim that is not completed within these times is taken over.
CLAIM_TIMEOUT_S = 4.0
UNREACHABLE_CLAIMANT_TIMEOUT_S = 0.6  # if the claimant does not answer
NOTE_DELAYS_INTERVAL_S = 0.5
LEASE_SETTLING_S = 0.4  # two rounds of pings after the lease is regained


class Failover:
    """Watches the primaries and, as the coordinator, replaces those that leave or fail.

    Args:
        control: Control state of this instance.
        peers: The other instances.
        announcement_handler: Adopts announced records on this instance, as its peers do.
        groups: Gives the groups by name.
        store: The store.
        promoter: Calls for promotions.
        members: Control calls to members.
        member_notes: Records of leaving and lapsed members.
        leaving_primary_wait_s: Seconds for which a leaving primary stays in place while an
            instance is missing.
    """

    def __init__(
        self,
        control: ControlState,
        peers: GatewayPeers,
        announcement_handler: AnnouncementHandler,
        *,
        groups: Callable[[], dict[str, Group]],
        store: RowStore,
        promoter: Promoter,
        members: MemberControl,
        member_notes: MemberNotes,
        leaving_primary_wait_s: float,
    ) -> None:
        self._control = control
        self._peers = peers
        self._groups = groups
        claims = Claims(control, groups, store)
        self._resumptions = Resumptions(control, members, groups)
        self._services = ChangeServices(
            control,
            peers,
            announcement_handler,
            claims,
            promoter,
            members,
            OutstandingCalls(),
            self._resumptions,
        )
        self._repair = RecordRepair(control, claims)
        self._member_notes = member_notes
        self._leaving_primary_wait_s = leaving_primary_wait_s
        self._changes: dict[str, asyncio.Task[None]] = {}
        self._retry_at: dict[str, float] = {}
        self._claimed_since: dict[str, tuple[Leadership, float]] = {}
        self._lost = LostInstances(control, peers)
        self._delays = DelayLog()
        self._note_delays_at = 0.0
        self._check_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts watching."""
        self._check_task = start_loop(self._run)

    def close(self) -> None:
        """Stops watching; another instance takes over a change in progress."""
        if self._check_task is not None:
            self._check_task.cancel()
        self._repair.close()
        self._member_notes.close()
        self._resumptions.close()
        for task in self._changes.values():
            task.cancel()

    async def _run(self) -> None:
        while True:
            self._member_notes.apply_late()
            self._resumptions.check()
            coordinator = self._peers.is_coordinator
            await asyncio.sleep(CHECK_INTERVAL_S if coordinator else STANDBY_CHECK_INTERVAL_S)
            if not self._lease_settled():
                self._lost.clear()
                self._note_delays(DelayReason.NO_LEASE)
                continue
            coordinator = self._peers.is_coordinator
            self._repair.check(coordinator=coordinator)
            if not coordinator:
                self._lost.clear()
                self._note_delays(DelayReason.OTHER_COORDINATOR)
                continue
            self._member_notes.check(self._groups().values())
            for name, group in self._groups().items():
                if group.service.synchronous_replicas:
                    self._resumptions.examine(name, group)
                if name in self._changes:
                    self._note_delay(group, DelayReason.CLAIMED)
                elif not self._may_retry(name):
                    self._note_delay(group, DelayReason.RETRY_PAUSE)
                else:
                    self._check_group(name, group)
            await self._lost.check()

    def _note_delays(self, reason: DelayReason) -> None:
        """Logs why this instance replaces no leaving primary of any group."""
        now = asyncio.get_running_loop().time()
        if now < self._note_delays_at:
            return
        self._note_delays_at = now + NOTE_DELAYS_INTERVAL_S
        for group in self._groups().values():
            self._note_delay(group, reason)

    def _note_delay(self, group: Group, reason: DelayReason) -> None:
        self._delays.note(group, reason, coordinator=lambda: self._peers.coordinator)

    def _lease_settled(self) -> bool:
        """Whether the lease has been valid for long enough to decide on recent observations.

        During a network partition this instance may have reached neither the primaries nor their
        claimants, and have missed the newest claims and the current coordinator.
        """
        since = self._control.lease_valid_since
        if since is None:
            self._claimed_since.clear()
            return False
        return asyncio.get_running_loop().time() - since >= LEASE_SETTLING_S

    def _may_retry(self, name: str) -> bool:
        now = asyncio.get_running_loop().time()
        return now >= self._retry_at.get(name, 0.0)

    def _check_group(self, name: str, group: Group) -> None:
        reachable = self._peers.reachable
        leadership = self._control.leadership(name)
        if leadership is not None and leadership.phase is LeadershipPhase.CLAIMED:
            if self._claim_abandoned(name, leadership, reachable):
                self._start_change(name, group, None)
            else:
                self._note_delay(group, DelayReason.CLAIMED)
            return
        view = self._primary_view(group)
        reason = replacement_reason(
            view,
            self._peers.unreachable_s(name),
            watched=len(self._peers.watched),
            leaving_primary_wait_s=self._leaving_primary_wait_s,
        )
        if reason is not None:
            self._start_change(name, group, reason)
            return
        self._note_delay(group, _delay_reason(view))
        if view.unreachable_s >= AGREED_UNREACHABLE_AFTER_S:
            self._peers.ping_now()

    def _primary_view(self, group: Group) -> PrimaryView:
        primary_id = group.primary_id
        pool = group.primary
        others = [one for one in group.pools if one.record.id != primary_id]
        replicas = [one for one in others if not one.record.leaving and one.health.available]
        last_resorts = [
            one
            for one in others
            if one not in replicas
            and (pool is None or not group.leaves_before(one.record, pool.record))
        ]
        return PrimaryView(
            listed=pool is not None or primary_id is None,
            leaving_s=group.primary_leaving_s,
            unreachable_s=self._control.unreachable_s(pool),
            replicas=len(replicas),
            last_resorts=len(last_resorts),
            contradicted=self._control.is_contradicted(group.name, primary_id or ""),
            leaderless_s=group.leaderless_s,
        )

    def _claim_abandoned(self, name: str, leadership: Leadership, reachable: list[str]) -> bool:
        """Whether the claimant of an unfinished claim no longer works on it."""
        now = asyncio.get_running_loop().time()
        known, since = self._claimed_since.get(name, (None, now))
        if known != leadership:
            self._claimed_since[name] = (leadership, now)
            # No change of its own runs, so this instance has given its claim up.
            return leadership.claimant == self._control.name
        timeout = (
            CLAIM_TIMEOUT_S if leadership.claimant in reachable else UNREACHABLE_CLAIMANT_TIMEOUT_S
        )
        return now - since > timeout

    def _start_change(self, name: str, group: Group, reason: ReplacementReason | None) -> None:
        change = PrimaryChange(self._services, name, group, reason)
        task = asyncio.create_task(change.run())
        self._changes[name] = task
        task.add_done_callback(lambda finished: self._finish_change(name, finished))

    def _finish_change(self, name: str, task: asyncio.Task[None]) -> None:
        self._changes.pop(name, None)
        self._retry_at[name] = asyncio.get_running_loop().time() + RETRY_DELAY_S
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.PROMOTION_FAILED, group=name, reason=repr(task.exception()))


def _delay_reason(view: PrimaryView) -> DelayReason:
    if not view.replicas:
        return DelayReason.NO_CANDIDATE
    return DelayReason.NO_PRIMARY_LISTED if view.leaderless_s else DelayReason.INSTANCES_MISSING
