"""Watches the primaries of all groups; one instance at a time arranges their replacement."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._member_pool import MemberPool
from wigeonpoint.process.gateway.control._announcement_handler import AnnouncementHandler
from wigeonpoint.process.gateway.control._claims import Claims
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.process.gateway.control._peers import GatewayPeers
from wigeonpoint.process.gateway.control._policy import (
    AGREED_UNREACHABLE_AFTER_S,
    PrimaryView,
    ReplacementReason,
    replacement_reason,
)
from wigeonpoint.process.gateway.control._primary_change import ChangeServices, PrimaryChange
from wigeonpoint.services import Promoter, RowStore
from wigeonpoint.version.catalogue import Leadership, LeadershipPhase

STEP_S = 0.02
RETRY_PAUSE_S = 0.1
LOST_S = 8.0  # an instance that restarts, or is cut off for a while, is back before
STUCK_CLAIM_S = 4.0  # a claim that takes longer, with its claimant reachable, is taken over
LOST_CLAIMANT_S = 0.6  # the same where the claimant does not answer
SETTLING_S = 0.4  # two rounds of pings after evidence is regained


class Failover:
    """Watches the primaries and replaces those that leave or fail.

    Args:
        control: Control state of this instance.
        peers: The other instances.
        announcement_handler: Obeys records on this instance, as its peers do.
        groups: Gives the groups by name.
        store: The store.
        promoter: The promotion call.
        members: Control calls to members.
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
        leaving_primary_wait_s: float,
    ) -> None:
        self._control = control
        self._peers = peers
        self._groups = groups
        claims = Claims(control, groups, store)
        self._services = ChangeServices(
            control, peers, announcement_handler, claims, promoter, members
        )
        self._leaving_primary_wait_s = leaving_primary_wait_s
        self._leaving_since: dict[str, float] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self._not_before: dict[str, float] = {}
        self._claimed_since: dict[str, tuple[int, float]] = {}
        self._lost_since: dict[str, float] = {}
        self._watch: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to watch."""
        self._watch = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stops to watch; a change in progress is taken over by another instance."""
        if self._watch is not None:
            self._watch.cancel()
        for task in self._running.values():
            task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            if not self._settled():
                self._lost_since.clear()
                continue
            for name, group in self._groups().items():
                if name not in self._running and self._due(name):
                    self._consider(name, group)
            await self._deregister_lost()

    async def _deregister_lost(self) -> None:
        """Withdraws instances that nobody has heard of for long; they would block evidence."""
        if not self._peers.is_coordinator:
            self._lost_since.clear()
            return
        now = self._control.lease.now
        for name in list(self._control.peers):
            if name in self._control.lease.reachable([name]):
                self._lost_since.pop(name, None)
                continue
            since = self._lost_since.setdefault(name, now)
            if now - since >= LOST_S and self._peers.unreachable_from_all_peers(name):
                self._lost_since.pop(name, None)
                await self._control.deregister_instance(name)

    def _settled(self) -> bool:
        """Whether this instance has had evidence for a while, so that it judges by fresh facts.

        Behind a cut it reaches neither the other primaries nor their claimants, and knows neither
        the newest claims nor the holder of the duty.
        """
        since = self._control.lease_valid_since
        if since is None:
            self._claimed_since.clear()
            return False
        return asyncio.get_running_loop().time() - since >= SETTLING_S

    def _due(self, name: str) -> bool:
        now = asyncio.get_running_loop().time()
        return now >= self._not_before.get(name, 0.0)

    def _consider(self, name: str, group: Group) -> None:
        if not self._peers.is_coordinator:
            return
        reachable = self._peers.reachable
        leadership = self._control.leadership(name)
        if leadership is not None and leadership.phase is LeadershipPhase.CLAIMED:
            if self._stuck(name, leadership, reachable):
                self._start(name, group, None)
            return
        view = self._view(group)
        reason = replacement_reason(
            view,
            self._peers.unreachable_s(name),
            watched=len(self._peers.watched),
            leaving_primary_wait_s=self._leaving_primary_wait_s,
        )
        if reason is not None:
            self._start(name, group, reason)
        elif view.unreachable_s >= AGREED_UNREACHABLE_AFTER_S:
            self._peers.ping_now()

    def _view(self, group: Group) -> PrimaryView:
        primary_id = group.primary_id
        pool = group.primary
        replicas = [
            one
            for one in group.pools
            if one.record.id != primary_id and not one.record.leaving and one.health.available
        ]
        return PrimaryView(
            # Without any word of a primary the members have only just started.
            listed=pool is not None or primary_id is None,
            leaving_s=self._leaving_s(pool),
            unreachable_s=self._control.unreachable_s(pool),
            replicas=len(replicas),
        )

    def _leaving_s(self, pool: MemberPool | None) -> float | None:
        """Seconds since a member was first seen to be leaving, None if it is not."""
        if pool is None or not pool.record.leaving:
            return None
        now = asyncio.get_running_loop().time()
        return now - self._leaving_since.setdefault(pool.record.id, now)

    def _stuck(self, name: str, leadership: Leadership, reachable: list[str]) -> bool:
        """Whether nobody works on a claim any more."""
        now = asyncio.get_running_loop().time()
        epoch, since = self._claimed_since.get(name, (-1, now))
        if epoch != leadership.epoch:
            self._claimed_since[name] = (leadership.epoch, now)
            return leadership.claimant == self._control.name  # left over from an earlier process
        patience = STUCK_CLAIM_S if leadership.claimant in reachable else LOST_CLAIMANT_S
        return now - since > patience

    def _start(self, name: str, group: Group, reason: ReplacementReason | None) -> None:
        change = PrimaryChange(self._services, name, group, reason)
        task = asyncio.create_task(change.run())
        self._running[name] = task
        task.add_done_callback(lambda done: self._finish(name, done))

    def _finish(self, name: str, task: asyncio.Task[None]) -> None:
        self._running.pop(name, None)
        self._not_before[name] = asyncio.get_running_loop().time() + RETRY_PAUSE_S
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.PROMOTION_FAILED, group=name, reason=repr(task.exception()))
