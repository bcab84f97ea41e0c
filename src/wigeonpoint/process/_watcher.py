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
CHECK_PAUSE_S = 0.1
NO_PRIMARY_S = 1.0  # a change of primary by another watcher is usually over within this time
RESUME_AFTER_S = 1.0
STORE_PAUSE_S = 0.25
ANNOUNCE_TIMEOUT_S = 0.5
ANNOUNCE_ATTEMPTS = 3


class PrimaryAnnouncer:
    """Tells all live instances of a new primary, and learns from them.

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
        dispatcher.register(AnnouncePrimaryMessage, self.learn)

    def announce(self, primary: NewPrimary) -> None:
        """Starts telling every live instance."""
        message = AnnouncePrimaryMessage(
            primary.group,
            primary.server_id,
            primary.term,
            [(known.term, known.start) for known in primary.history.starts],
            list(primary.members),
        )
        for instance in self._topology.instances:
            if instance.id != self._topology.own.id:
                task = asyncio.create_task(self._tell(instance.address, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def learn(self, message: AnnouncePrimaryMessage) -> Acknowledgement:
        """Records an announced primary; raises UNKNOWN_GROUP for a group that is not listed."""
        group = self._topology.group(message.group)
        group.note_primary(message.server_id, message.term)
        group.note_history(TermHistory(TermStart(*start) for start in message.history))
        group.note_members(message.members, message.term)
        return Acknowledgement()

    def close(self) -> None:
        """Ends announcements under way."""
        for task in self._tasks:
            task.cancel()

    async def _tell(self, address: str, message: AnnouncePrimaryMessage) -> None:
        for _ in range(ANNOUNCE_ATTEMPTS):
            try:
                await self._transport.request(
                    address, message, Acknowledgement, timeout=ANNOUNCE_TIMEOUT_S
                )
                return
            except WigeonpointError:
                await asyncio.sleep(ANNOUNCE_TIMEOUT_S)


class _Need(Enum):
    """Why the group's record has to be looked at."""

    REPLACE = auto()
    HANDOVER = auto()
    STALLED = auto()
    SETTLE = auto()


class GroupWatch:
    """Watches one group; one task decides, one task a member probes.

    Args:
        group: The group.
        records: Group records.
        backend: Access to the members.
        detector: Confirms that a member is out of reach.
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
        self._settled_term = 0
        self._no_primary_since: float | None = None
        self._unchanged: tuple[int, float] | None = None  # version, first seen at
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Ends watching; a change of primary under way is left to other watchers."""
        self._task.cancel()
        self._probe.close()
        self._promotion.close()

    async def _run(self) -> None:
        while True:
            self._probe.update()
            try:
                need = await self._need()
                if need is not None:
                    await self._act(need)
            except ConditionFailed:
                pass  # another watcher was faster; its progress shows in the record
            except PlatformError as error:
                log_event(Event.PROMOTION_FAILED, group=self._group.name, reason=error.message)
                await asyncio.sleep(STORE_PAUSE_S)
            except WigeonpointError as error:
                log_event(Event.PROMOTION_FAILED, group=self._group.name, reason=error.message)
            except Exception as error:  # a fault must not end the watch of the group
                log_event(Event.INTERNAL_ERROR, group=self._group.name, reason=repr(error))
                await asyncio.sleep(STORE_PAUSE_S)
            await asyncio.sleep(CHECK_PAUSE_S)

    async def _need(self) -> _Need | None:
        primary = self._probe.primary()
        if primary is not None:
            self._no_primary_since = None
            return self._need_with_primary(primary)
        if not self._probe.reaches_majority:
            return None
        suspects = self._probe.suspects()
        if suspects is None:
            return None
        if not suspects:
            return _Need.REPLACE if self._without_primary_for_long() else None
        for server in suspects:
            if not await self._detector.confirms_unreachable(server):
                return None
        # While the detector asked, the primary may have answered, or a new one been announced.
        unchanged = self._probe.primary() is None and self._probe.suspects() == suspects
        return _Need.REPLACE if unchanged else None

    def _need_with_primary(self, primary: MemberProbe) -> _Need | None:
        leaving = self._probe.leaving(primary) and self._probe.can_do_without(primary)
        if leaving and self._handover.due(self._group):
            return _Need.HANDOVER
        if self._stalled.check(primary, self._probe.members):
            return _Need.STALLED
        if self._probe.seen_term > self._settled_term:
            return _Need.SETTLE
        return None

    def _without_primary_for_long(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._no_primary_since is None:
            self._no_primary_since = now
        return now - self._no_primary_since >= NO_PRIMARY_S

    async def _act(self, need: _Need) -> None:
        stored = await self._records.read(self._group.name)
        if stored.record.phase is not GroupPhase.STABLE:
            if self._probe.seen_term > stored.record.term:
                await self._replace(stored, need)
            elif self._stuck(stored):
                await self._resume(stored, need)
            return
        self._learn(stored.record)
        if need is _Need.SETTLE:
            self._settled_term = self._probe.seen_term
        elif not self._probe.follow(stored.record.term, stored.record.primary):
            # A primary that is news to this watcher is judged by its own probes first.
            await self._replace(stored, need)

    def _stuck(self, stored: StoredRecord) -> bool:
        now = asyncio.get_running_loop().time()
        if self._unchanged is None or self._unchanged[0] != stored.version:
            self._unchanged = (stored.version, now)
        return now - self._unchanged[1] >= RESUME_AFTER_S

    async def _resume(self, stored: StoredRecord, need: _Need) -> None:
        try:
            self._learn((await self._promotion.resume(stored)).record)
        except CandidateLost:
            await self._replace(stored, need)

    async def _replace(self, stored: StoredRecord, need: _Need) -> None:
        excluded, awaited = [], []
        primary = self._probe.primary()
        if need is _Need.HANDOVER and primary is not None:
            if not await self._handover.prepare(self._group, primary.server):
                log_event(Event.HANDOVER_POSTPONED, group=self._group.name)
                return
            # Its log end after the fence shows whether a write was missed.
            awaited = [primary.server.id]
            log_event(Event.HANDOVER_STARTED, group=self._group.name, server=primary.server.id)
        elif need is _Need.STALLED and primary is not None:
            excluded = [primary.server.id]
            log_event(Event.PRIMARY_STALLED, group=self._group.name, server=primary.server.id)
        else:
            log_event(Event.PRIMARY_UNREACHABLE, group=self._group.name)
        stable = await self._promotion.replace_primary(
            stored, seen_term=self._probe.seen_term, excluded=excluded, awaited=awaited
        )
        self._learn(stable.record)

    def _learn(self, record: GroupRecord) -> None:
        if record.phase is GroupPhase.CLAIMED:
            return  # its history still ends in the term before
        self._group.note_history(TermHistory(record.history))
        self._group.note_members(record.members, record.term)
        if record.phase is GroupPhase.STABLE and record.primary:
            self._group.note_primary(record.primary, record.term)


class Watcher:
    """Starts and ends the watch of each group as ownership changes.

    Args:
        topology: Live instances and groups; polled for changes.
        records: Group records.
        backend: Access to the members.
        detector: Confirms that a member is out of reach.
        announcer: Tells instances of new primaries.
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
        self._followed = -1  # changes of the topology that the watches reflect
        self._task: asyncio.Task[None] | None = None

    @property
    def watched(self) -> list[str]:
        """Names of the watched groups."""
        return sorted(self._watches)

    def start(self) -> None:
        """Starts following the topology."""
        self._task = asyncio.create_task(self._follow())

    def close(self) -> None:
        """Ends all watches."""
        if self._task is not None:
            self._task.cancel()
        for watch in self._watches.values():
            watch.close()
        self._watches.clear()
        self._announcer.close()

    async def _follow(self) -> None:
        history_known = False
        while True:
            self._update()
            if not history_known and self._topology.groups:
                with suppress(PlatformError):
                    await self._read_histories()
                    history_known = True
            await asyncio.sleep(TOPOLOGY_POLL_S)

    async def _read_histories(self) -> None:
        """Learns the histories of all groups once; later terms are announced."""
        records = await self._records.scan()
        for group in self._topology.groups:
            record = records.get(group.name)
            if record is not None and record.phase is not GroupPhase.CLAIMED:
                group.note_history(TermHistory(record.history))
                group.note_members(record.members, record.term)

    def _update(self) -> None:
        # Looking at every member of 2,900 groups four times a second costs over 1 % of a core.
        if self._followed == self._topology.changes:
            return
        self._followed = self._topology.changes
        wanted = {
            group.name: group
            for group in self._topology.groups
            if any(self._topology.owns(server) for server in group.servers)
        }
        for name in self._watches.keys() - wanted.keys():
            self._watches.pop(name).close()
        for name in wanted.keys() - self._watches.keys():
            self._watches[name] = self._watch(wanted[name])

    def _watch(self, group: GroupView) -> GroupWatch:
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
