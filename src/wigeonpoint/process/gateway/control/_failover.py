"""Changes of primary: one instance at a time arranges them, step by step."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace

from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.control._announcements import Announcements
from wigeonpoint.process.gateway.control._control_state import PLANNED_DRAIN_S, ControlState
from wigeonpoint.process.gateway.control._evidence import EVIDENCE_LIFE_S
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.process.gateway.control._member_evidence import majority
from wigeonpoint.process.gateway.control._messages import AnnounceLeadership
from wigeonpoint.process.gateway.control._peers import GatewayPeers
from wigeonpoint.process.gateway.control._policy import (
    PrimaryView,
    ReplacementReason,
    choose_candidate,
    choose_coordinator,
    replacement_reason,
)
from wigeonpoint.process.gateway.control._records import (
    CONTROL_TABLE,
    DUTY_KEY,
    control_row,
    encode_record,
    group_row,
)
from wigeonpoint.services import Promoter, RowKey, RowStore, RowTransaction, VersionedRow
from wigeonpoint.version.catalogue import Duty, Leadership, LeadershipPhase, MemberRecord

STEP_S = 0.05
RETRY_PAUSE_S = 0.3
LEAD_POLL_S = 0.05
LEAD_TIMEOUT_S = 4.0
CALL_TRIES = 4
CALL_PAUSE_S = 0.2
STORE_TRIES = 3
LOST_S = 8.0  # an instance that restarts, or is cut off for a while, is back before
STUCK_CLAIM_S = 4.0  # a claim that takes longer, with its claimant in contact, is taken over
LOST_CLAIMANT_S = 0.6  # the same where the claimant does not answer
SETTLING_S = 0.4  # two rounds of pings after evidence is regained


class Superseded(Exception):
    """Another instance has claimed the group or the duty meanwhile."""


@dataclass(frozen=True, slots=True)
class _Claim:
    """A claim of this instance that the store has accepted."""

    group: str
    leadership: Leadership
    token: int
    claimed_at: float


class Failover:
    """Watches the primaries and replaces those that leave or fail.

    Args:
        control: Control state of this instance.
        peers: The other instances.
        announcements: Obeys records on this instance, as its peers do.
        groups: Gives the groups by name.
        store: The store.
        promoter: The promotion call.
        members: Control calls to members.
    """

    def __init__(
        self,
        control: ControlState,
        peers: GatewayPeers,
        announcements: Announcements,
        *,
        groups: Callable[[], dict[str, Group]],
        store: RowStore,
        promoter: Promoter,
        members: MemberControl,
    ) -> None:
        self._control = control
        self._peers = peers
        self._announcements = announcements
        self._groups = groups
        self._store = store
        self._promoter = promoter
        self._members = members
        self._running: dict[str, asyncio.Task[None]] = {}
        self._not_before: dict[str, float] = {}
        self._claimed_since: dict[str, tuple[int, float]] = {}
        self._lost_since: dict[str, float] = {}
        self._current_since: float | None = None
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
            await self._withdraw_lost()

    async def _withdraw_lost(self) -> None:
        """Withdraws instances that nobody has heard of for long; they would block evidence."""
        if not self._coordinates():
            self._lost_since.clear()
            return
        now = self._control.evidence.now
        for name in list(self._control.peers):
            if name in self._control.evidence.in_contact([name]):
                self._lost_since.pop(name, None)
                continue
            since = self._lost_since.setdefault(name, now)
            if now - since >= LOST_S and self._peers.lost_everywhere(name):
                self._lost_since.pop(name, None)
                await self._control.withdraw(name)

    def _settled(self) -> bool:
        """Whether this instance has had evidence for a while, so that it judges by fresh facts.

        Behind a cut it reaches neither the other primaries nor their claimants, and knows neither
        the newest claims nor the holder of the duty.
        """
        now = asyncio.get_running_loop().time()
        if not self._control.current:
            self._current_since = None
            self._claimed_since.clear()
            return False
        if self._current_since is None:
            self._current_since = now
        return now - self._current_since >= SETTLING_S

    def _due(self, name: str) -> bool:
        now = asyncio.get_running_loop().time()
        return now >= self._not_before.get(name, 0.0)

    def _coordinates(self) -> bool:
        """Whether this instance arranges changes of primary."""
        contact = self._control.evidence.in_contact(self._control.peers)
        duty = self._control.records.duty()
        coordinator = choose_coordinator(
            own=self._control.name, holder=duty.holder if duty else None, reachable=contact
        )
        return coordinator == self._control.name

    def _consider(self, name: str, group: Group) -> None:
        if not self._coordinates():
            return
        contact = self._control.evidence.in_contact(self._control.peers)
        leadership = self._control.leadership(name)
        if leadership is not None and leadership.phase is LeadershipPhase.CLAIMED:
            if self._stuck(name, leadership, contact):
                self._start(name, group, None)
            return
        reason = replacement_reason(
            self._view(group),
            self._peers.unreachable_s(name),
            registered=len(self._control.instances),
        )
        if reason is not None:
            self._start(name, group, reason)

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
            leaving=pool is not None and pool.record.leaving,
            unreachable_s=pool.health.failed_for_s if pool is not None else 0.0,
            replicas=len(replicas),
        )

    def _stuck(self, name: str, leadership: Leadership, contact: list[str]) -> bool:
        """Whether nobody works on a claim any more."""
        now = asyncio.get_running_loop().time()
        epoch, since = self._claimed_since.get(name, (-1, now))
        if epoch != leadership.epoch:
            self._claimed_since[name] = (leadership.epoch, now)
            return leadership.claimant == self._control.name  # left over from an earlier process
        patience = STUCK_CLAIM_S if leadership.claimant in contact else LOST_CLAIMANT_S
        return now - since > patience

    def _start(self, name: str, group: Group, reason: ReplacementReason | None) -> None:
        task = asyncio.create_task(self._replace(name, group, reason))
        self._running[name] = task
        task.add_done_callback(lambda done: self._finish(name, done))

    def _finish(self, name: str, task: asyncio.Task[None]) -> None:
        self._running.pop(name, None)
        self._not_before[name] = asyncio.get_running_loop().time() + RETRY_PAUSE_S
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.PROMOTION_FAILED, group=name, reason=repr(task.exception()))

    async def _replace(self, name: str, group: Group, reason: ReplacementReason | None) -> None:
        known = self._control.leadership(name)
        claimed = known if known and known.phase is LeadershipPhase.CLAIMED else None
        replaced_id = claimed.primary if claimed else group.primary_id
        replaced = group.pool(replaced_id or "")
        replaced_record = replaced.record if replaced is not None else None
        planned = reason is ReplacementReason.LEAVING
        log_event(
            Event.REPLACEMENT_STARTED,
            group=name,
            reason=reason.name.lower() if reason else "taken over",
            primary=replaced_id,
            unreachable_ms=int(replaced.health.failed_for_s * 1000) if replaced else None,
        )
        candidate = await self._choose(group, replaced_id, claimed)
        if candidate is None:
            log_event(Event.PROMOTION_FAILED, group=name, reason="no replica answers")
            return
        try:
            claim = await self._claim(name, candidate, planned=planned)
            await self._confirm(claim, group, planned=planned)
            if not await self._call(claim):
                return
            await self._settle(claim, group, replaced_record)
        except (Superseded, ConditionFailed, StoreUnavailable) as error:
            log_event(Event.PROMOTION_FAILED, group=name, reason=str(error) or "superseded")

    async def _choose(
        self, group: Group, replaced: str | None, claimed: Leadership | None
    ) -> MemberRecord | None:
        """Chooses the member to promote.

        The candidate of an unfinished claim stays, because its promotion may have been called for
        and takes effect later; and the replaced primary is no candidate for the same reason.
        """
        records = [pool.record for pool in group.pools if pool.record.id != replaced]
        reports = await self._members.reports(records)
        if claimed is not None and reports.get(claimed.candidate or "") is not None:
            chosen = claimed.candidate
        else:
            leaving = [record.id for record in records if record.leaving]
            chosen = choose_candidate(reports, leaving=leaving)
        return next((record for record in records if record.id == chosen), None)

    async def _claim(self, name: str, candidate: MemberRecord, *, planned: bool) -> _Claim:
        """Records the claim, and with it the duty if another instance held it.

        Claims of several groups at once all change the duty, so one that lost only that race is
        made again with the duty that it has now.

        Raises:
            ConditionFailed: The records had changed.
            StoreUnavailable: The store does not answer.
            Superseded: This instance has lost its evidence meanwhile.
        """
        known = self._control.leadership(name)
        if not self._control.current:
            raise Superseded("no evidence any more that the primary may be replaced")
        try:
            return await self._claim_once(name, candidate, planned=planned)
        except ConditionFailed:
            if self._control.leadership(name) != known:
                raise
            return await self._claim_once(name, candidate, planned=planned)

    async def _claim_once(self, name: str, candidate: MemberRecord, *, planned: bool) -> _Claim:
        records = self._control.records
        known, duty = self._control.leadership(name), records.duty()
        group = self._groups().get(name)
        leadership = Leadership(
            epoch=known.epoch + 1 if known else 1,
            phase=LeadershipPhase.CLAIMED,
            primary=known.primary if known else (group.primary_id if group else None),
            claimant=self._control.name,
            candidate=candidate.id,
            planned=planned,
        )
        own_duty = duty if duty is not None and duty.holder == self._control.name else None
        new_duty = own_duty or Duty(self._control.name, (duty.token if duty else 0) + 1)
        puts = {group_row(name): encode_record(leadership)}
        if own_duty is None:
            puts[control_row(DUTY_KEY)] = encode_record(new_duty)
        expected = {
            group_row(name): records.version(group_row(name).key),
            control_row(DUTY_KEY): records.version(DUTY_KEY),
        }
        await self._commit(RowTransaction(expected, puts))
        log_event(
            Event.PROMOTION_CLAIMED,
            group=name,
            epoch=leadership.epoch,
            candidate=candidate.id,
            token=new_duty.token,
        )
        return _Claim(name, leadership, new_duty.token, self._control.evidence.now)

    async def _commit(self, transaction: RowTransaction) -> None:
        """Applies a transaction; after a lost answer, the rows tell whether it took effect.

        Raises:
            ConditionFailed: Another instance was first.
            StoreUnavailable: The store does not tell.
        """
        for attempt in range(STORE_TRIES):
            try:
                version = await self._store.commit(transaction)
            except ConditionFailed:
                await self._control.feed.ask()
                if self._took_effect(transaction):
                    return
                raise
            except StoreUnavailable:
                if attempt == STORE_TRIES - 1:
                    raise
                with suppress(StoreUnavailable):
                    await self._control.feed.ask()
                    if self._took_effect(transaction):
                        return
                await asyncio.sleep(CALL_PAUSE_S)
                continue
            for key, value in transaction.puts.items():
                self._control.feed.apply(VersionedRow(CONTROL_TABLE, key.key, value, version))
            return

    def _took_effect(self, transaction: RowTransaction) -> bool:
        rows = self._control.feed.rows
        return all(_holds(rows.get(key.key), key, value) for key, value in transaction.puts.items())

    async def _confirm(self, claim: _Claim, group: Group, *, planned: bool) -> None:
        """Waits until no instance uses the replaced primary any more.

        Raises:
            Superseded: An instance did not confirm, and the members that could stand in for it do
                not answer either.
        """
        drain_s = PLANNED_DRAIN_S if planned else 0.0
        message = AnnounceLeadership(
            claim.group,
            claim.leadership,
            version=self._control.records.version(group_row(claim.group).key),
        )
        timeout = EVIDENCE_LIFE_S + drain_s
        confirmed, _ = await asyncio.gather(
            self._peers.announce(message, timeout=timeout), self._announcements.note(message)
        )
        missing = self._control.peers.keys() - confirmed
        if missing:
            log_event(Event.CLAIM_UNCONFIRMED, group=claim.group, missing=sorted(missing))
            await self._suspend(claim, group)
            await asyncio.sleep(timeout)

    async def _suspend(self, claim: _Claim, group: Group) -> None:
        """Has a majority of the members obey the new term.

        Raises:
            Superseded: No majority answers.
        """
        records = [pool.record for pool in group.pools]
        reports = await self._members.reports(records)
        known = [report for report in reports.values() if report is not None]
        term = max((report.newest_term for report in known), default=0) + 1
        followers = [
            record
            for record in records
            if (report := reports.get(record.id)) is not None and report.role.value == "replica"
        ]
        suspended = await self._members.suspend(followers, term)
        log_event(Event.MEMBERS_SUSPENDED, group=claim.group, term=term, members=sorted(suspended))
        if len(suspended) < majority(len(records)):
            raise Superseded("an instance is missing and no majority of the members answers")

    async def _call(self, claim: _Claim) -> bool:
        """Calls for the promotion; whether the member that was chosen takes over.

        Raises:
            Superseded: Another instance has taken over meanwhile.
        """
        candidate = claim.leadership.candidate or ""
        for _ in range(CALL_TRIES):
            self._check_claim(claim)
            try:
                accepted = await self._promoter.promote(
                    claim.group, candidate, holder=self._control.name, token=claim.token
                )
            except StoreUnavailable as error:
                log_event(Event.PROMOTION_FAILED, group=claim.group, reason=error.message)
                await asyncio.sleep(CALL_PAUSE_S)
                continue
            if not accepted:
                log_event(Event.PROMOTION_FAILED, group=claim.group, reason="candidate gone")
            return accepted
        return False

    def _check_claim(self, claim: _Claim) -> None:
        duty = self._control.records.duty()
        held = duty is not None and duty.token == claim.token
        newest = self._control.leadership(claim.group) == claim.leadership
        if not (held and newest and self._control.current):
            raise Superseded("the claim or the duty is no longer this instance's")

    async def _settle(self, claim: _Claim, group: Group, replaced: MemberRecord | None) -> None:
        """Waits until the member leads, then tells everybody and records it."""
        candidate = claim.leadership.candidate or ""
        term = await self._wait_for_lead(group, candidate)
        self._check_claim(claim)
        if term is None:
            log_event(Event.PROMOTION_FAILED, group=claim.group, reason="candidate does not lead")
            return
        stable = replace(
            claim.leadership, phase=LeadershipPhase.STABLE, primary=candidate, candidate=None
        )
        self._control.note_leadership(claim.group, stable)
        log_event(
            Event.PRIMARY_PROMOTED,
            group=claim.group,
            member=candidate,
            term=term,
            seconds=round(self._control.evidence.now - claim.claimed_at, 3),
        )
        announcement = self._peers.announce(
            AnnounceLeadership(claim.group, stable, version=0), timeout=EVIDENCE_LIFE_S
        )
        demotion = self._demote(replaced, term)
        others = [pool.record for pool in group.pools if pool.record.id != candidate]
        await asyncio.gather(
            announcement,
            demotion,
            self._members.resume(others),
            self._record(claim, stable),
        )

    async def _wait_for_lead(self, group: Group, candidate: str) -> int | None:
        """Polls the member until it leads; gives its term."""
        loop = asyncio.get_running_loop()
        end = loop.time() + LEAD_TIMEOUT_S
        while loop.time() < end:
            pool = group.pool(candidate)
            if pool is None:
                return None
            report = await self._members.report(pool.record)
            if report is not None and report.role.value == "primary":
                return report.term
            await asyncio.sleep(LEAD_POLL_S)
        return None

    async def _demote(self, replaced: MemberRecord | None, term: int) -> None:
        if replaced is None:
            return
        confirmed = await self._members.demote(replaced, term)
        log_event(Event.PRIMARY_DEMOTED, member=replaced.id, term=term, confirmed=confirmed)

    async def _record(self, claim: _Claim, stable: Leadership) -> None:
        """Writes the stable record; until it is there, the claim is resumed by others."""
        key = group_row(claim.group)
        while self._control.leadership(claim.group) == stable:
            expected = {key: self._control.records.version(key.key)}
            try:
                await self._commit(RowTransaction(expected, {key: encode_record(stable)}))
            except ConditionFailed:
                return  # a later claim has replaced it
            except StoreUnavailable as error:
                log_event(Event.PROMOTION_FAILED, group=claim.group, reason=error.message)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            return


def _holds(row: VersionedRow | None, key: RowKey, value: bytes) -> bool:
    return row is not None and row.value == value
