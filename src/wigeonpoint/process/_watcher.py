"""Watches the groups of which this instance owns a member, and replaces lost primaries."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum, auto

from wigeonpoint.backend import Backend
from wigeonpoint.connection import (
    Acknowledgement,
    AnnouncePrimaryMessage,
    PeerDispatcher,
    PeerTransport,
)
from wigeonpoint.errors import ConditionFailed, PlatformError, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._detection import FailureDetector
from wigeonpoint.process._group_probe import GroupProbe, MemberProbe
from wigeonpoint.process._planned_handover import PlannedHandover
from wigeonpoint.process._stalled_primary import StalledPrimary
from wigeonpoint.process._topology import Topology
from wigeonpoint.version import (
    CandidateLost,
    GroupPhase,
    GroupRecord,
    GroupRecords,
    GroupView,
    NewPrimary,
    Promotion,
    StoredRecord,
    TermHistory,
    TermStart,
)

TOPOLOGY_POLL_S = 0.25
CHECK_INTERVAL_S = 0.1
NO_PRIMARY_WAIT_S = 1.0  # a change of primary by another watcher usually takes less than this
STUCK_AFTER_S = 1.0  # time without a change of the record until a change of primary is resumed
RETRY_PAUSE_S = 0.25  # after a failure of the table service or an internal error
ANNOUNCE_TIMEOUT_S = 0.5
ANNOUNCE_ATTEMPTS = 3


class PrimaryAnnouncer:
    """Announces new primaries to all live instances and applies their announcements.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to instances.
    """

    def __init__(self, topology: Topology, transport: PeerTransport) -> None:
        self._topology = topology
        self._transport = transport
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler."""
        dispatcher.register(AnnouncePrimaryMessage, self.on_announcement)

    def announce(self, primary: NewPrimary) -> None:
        """Sends a new primary to every other live instance in the background."""
        message = AnnouncePrimaryMessage(
            primary.group,
            primary.server_id,
            primary.term,
            [(known.term, known.start) for known in primary.history.starts],
            list(primary.members),
        )
        for instance in self._topology.instances:
            if instance.id != self._topology.own.id:
                task = asyncio.create_task(self._announce_to(instance.address, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def on_announcement(self, message: AnnouncePrimaryMessage) -> Acknowledgement:
        """Records an announced primary.

        Raises:
            NotRun: UNKNOWN_GROUP for a group that the directory does not list.
        """
        group = self._topology.group(message.group)
        group.note_primary(message.server_id, message.term)
        group.note_history(TermHistory(TermStart(*start) for start in message.history))
        group.note_members(message.members, message.term)
        return Acknowledgement()

    def close(self) -> None:
        """Cancels announcements in progress."""
        for task in self._tasks:
            task.cancel()

    async def _announce_to(self, address: str, message: AnnouncePrimaryMessage) -> None:
        for _ in range(ANNOUNCE_ATTEMPTS):
            try:
                await self._transport.request(
                    address, message, Acknowledgement, timeout=ANNOUNCE_TIMEOUT_S
                )
                return
            except WigeonpointError:
                await asyncio.sleep(ANNOUNCE_TIMEOUT_S)


class _Trigger(Enum):
    """Reason to read the group's record, and possibly to replace the primary."""

    LOST = auto()  # the group has no reachable primary
    LEAVING = auto()  # the primary is leaving and the others can take over
    STALLED = auto()  # the primary's writes reach no majority
    NEW_TERM = auto()  # a member reports a term whose record has not been read yet


class GroupWatch:
    """Watches one group, with one task that decides and one probe task for each member.

    Args:
        group: The group.
        records: Group records.
        backend: Access to the members.
        detector: Confirms that a member is unreachable.
        promotion: Carries out changes of primary.
        handover: Prepares handovers of leaving primaries.
    """

    def __init__(
        self,
        group: GroupView,
        records: GroupRecords,
        backend: Backend,
        detector: FailureDetector,
        promotion: Promotion,
        handover: PlannedHandover,
    ) -> None:
        self._group = group
        self._records = records
        self._detector = detector
        self._promotion = promotion
        self._handover = handover
        self._probe = GroupProbe(group, backend)
        self._stalled = StalledPrimary(group)
        self._checked_term = 0
        self._primary_missing_since: float | None = None
        # Version of the group record and the event-loop time at which it was first seen.
        self._last_version: tuple[int, float] | None = None
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stops watching; other watchers finish a change of primary in progress."""
        self._task.cancel()
        self._probe.close()
        self._promotion.close()

    async def _run(self) -> None:
        while True:
            self._probe.update()
            try:
                trigger = await self._find_trigger()
                if trigger is not None:
                    await self._act(trigger)
            except ConditionFailed:
                pass  # another watcher wrote the record first; the next pass reads it
            except PlatformError as error:
                log_event(Event.PROMOTION_FAILED, group=self._group.name, reason=error.message)
                await asyncio.sleep(RETRY_PAUSE_S)
            except WigeonpointError as error:
                log_event(Event.PROMOTION_FAILED, group=self._group.name, reason=error.message)
            except Exception as error:  # an internal error must not stop watching the group
                log_event(Event.INTERNAL_ERROR, group=self._group.name, reason=repr(error))
                await asyncio.sleep(RETRY_PAUSE_S)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _find_trigger(self) -> _Trigger | None:
        primary = self._probe.primary()
        if primary is not None:
            self._primary_missing_since = None
            return self._trigger_with_primary(primary)
        if not self._probe.reaches_majority:
            return None
        suspects = self._probe.suspects()
        if suspects is None:
            return None
        if not suspects:
            return _Trigger.LOST if self._primary_missing_too_long() else None
        for server in suspects:
            if not await self._detector.confirms_unreachable(server):
                return None
        # The primary may have answered, or a new one been announced, while the detector waited.
        unchanged = self._probe.primary() is None and self._probe.suspects() == suspects
        return _Trigger.LOST if unchanged else None

    def _trigger_with_primary(self, primary: MemberProbe) -> _Trigger | None:
        leaving = self._probe.is_leaving(primary) and self._probe.can_replace(primary)
        if leaving and self._handover.may_start(self._group):
            return _Trigger.LEAVING
        if self._stalled.check(primary, self._probe.members):
            return _Trigger.STALLED
        if self._probe.seen_term > self._checked_term:
            return _Trigger.NEW_TERM
        return None

    def _primary_missing_too_long(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._primary_missing_since is None:
            self._primary_missing_since = now
        return now - self._primary_missing_since >= NO_PRIMARY_WAIT_S

    async def _act(self, trigger: _Trigger) -> None:
        stored = await self._records.read(self._group.name)
        if stored.record.phase is not GroupPhase.STABLE:
            if self._probe.seen_term > stored.record.term:
                await self._replace(stored, trigger)
            elif self._is_stuck(stored):
                await self._resume(stored, trigger)
            return
        self._adopt_record(stored.record)
        if trigger is _Trigger.NEW_TERM:
            self._checked_term = self._probe.seen_term
        elif not self._probe.record_primary(stored.record.term, stored.record.primary):
            # A primary that this watcher did not know is probed before it may be replaced.
            await self._replace(stored, trigger)

    def _is_stuck(self, stored: StoredRecord) -> bool:
        now = asyncio.get_running_loop().time()
        if self._last_version is None or self._last_version[0] != stored.version:
            self._last_version = (stored.version, now)
        return now - self._last_version[1] >= STUCK_AFTER_S

    async def _resume(self, stored: StoredRecord, trigger: _Trigger) -> None:
        try:
            self._adopt_record((await self._promotion.resume(stored)).record)
        except CandidateLost:
            await self._replace(stored, trigger)

    async def _replace(self, stored: StoredRecord, trigger: _Trigger) -> None:
        excluded, awaited = [], []
        primary = self._probe.primary()
        if trigger is _Trigger.LEAVING and primary is not None:
            if not await self._handover.prepare(self._group, primary.server):
                log_event(Event.HANDOVER_POSTPONED, group=self._group.name)
                return
            # Its log end after fencing shows whether a write was missed.
            awaited = [primary.server.id]
            log_event(Event.HANDOVER_STARTED, group=self._group.name, server=primary.server.id)
        elif trigger is _Trigger.STALLED and primary is not None:
            excluded = [primary.server.id]
            log_event(Event.PRIMARY_STALLED, group=self._group.name, server=primary.server.id)
        else:
            log_event(Event.PRIMARY_UNREACHABLE, group=self._group.name)
        stable = await self._promotion.replace_primary(
            stored, seen_term=self._probe.seen_term, excluded=excluded, awaited=awaited
        )
        self._adopt_record(stable.record)

    def _adopt_record(self, record: GroupRecord) -> None:
        if record.phase is GroupPhase.CLAIMED:
            return  # its history still ends with the previous term
        self._group.note_history(TermHistory(record.history))
        self._group.note_members(record.members, record.term)
        if record.phase is GroupPhase.STABLE and record.primary:
            self._group.note_primary(record.primary, record.term)


class Watcher:
    """Starts and stops watching groups as ownership changes.

    Args:
        topology: Live instances and groups; polled for changes.
        records: Group records.
        backend: Access to the members.
        detector: Confirms that a member is unreachable.
        announcer: Announces new primaries to instances.
        transport: Sends messages to instances.
    """

    def __init__(
        self,
        topology: Topology,
        records: GroupRecords,
        backend: Backend,
        detector: FailureDetector,
        announcer: PrimaryAnnouncer,
        transport: PeerTransport,
    ) -> None:
        self._handover = PlannedHandover(topology, transport, backend)
        self._topology = topology
        self._records = records
        self._backend = backend
        self._detector = detector
        self._announcer = announcer
        self._watches: dict[str, GroupWatch] = {}
        self._applied_changes = -1  # topology.changes at the last update of the watches
        self._task: asyncio.Task[None] | None = None

    @property
    def watched(self) -> list[str]:
        """Names of the watched groups."""
        return sorted(self._watches)

    def start(self) -> None:
        """Starts the task that follows the topology."""
        self._task = asyncio.create_task(self._run_updates())

    def close(self) -> None:
        """Stops watching all groups."""
        if self._task is not None:
            self._task.cancel()
        for watch in self._watches.values():
            watch.close()
        self._watches.clear()
        self._announcer.close()

    async def _run_updates(self) -> None:
        history_known = False
        while True:
            self._update_watches()
            if not history_known and self._topology.groups:
                with suppress(PlatformError):
                    await self._read_histories()
                    history_known = True
            await asyncio.sleep(TOPOLOGY_POLL_S)

    async def _read_histories(self) -> None:
        """Reads the term histories of all groups once; later terms are announced."""
        records = await self._records.scan()
        for group in self._topology.groups:
            record = records.get(group.name)
            if record is not None and record.phase is not GroupPhase.CLAIMED:
                group.note_history(TermHistory(record.history))
                group.note_members(record.members, record.term)

    def _update_watches(self) -> None:
        # Checking every member of 2,900 groups four times a second costs over 1 % of a core.
        if self._applied_changes == self._topology.changes:
            return
        self._applied_changes = self._topology.changes
        to_watch = {
            group.name: group
            for group in self._topology.groups
            if any(self._topology.owns(server) for server in group.servers)
        }
        for name in self._watches.keys() - to_watch.keys():
            self._watches.pop(name).close()
        for name in to_watch.keys() - self._watches.keys():
            self._watches[name] = self._create_watch(to_watch[name])

    def _create_watch(self, group: GroupView) -> GroupWatch:
        promotion = Promotion(
            group,
            self._records,
            self._backend,
            instance_id=self._topology.own.id,
            announce=self._announcer.announce,
        )
        return GroupWatch(
            group, self._records, self._backend, self._detector, promotion, self._handover
        )
