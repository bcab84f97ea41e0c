"""One database group: its members, its primary and the known positions of their logs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from wigeonpoint.backend import LogPosition, MemberRole
from wigeonpoint.connection.session import MemberConnection, MemberConnector
from wigeonpoint.process.gateway._positions import (
    PositionSample,
    PositionSamples,
    ReplicaProgress,
)
from wigeonpoint.process.gateway._read_placement import (
    ReadCandidate,
    choose_read_member,
    make_candidate,
)
from wigeonpoint.process.gateway._read_requirement import (
    PRIMARY_ONLY,
    ReadRequirement,
    SampleSource,
)
from wigeonpoint.process.gateway._remote_reads import RemoteReads
from wigeonpoint.process.gateway._suspension import Clock, SuspensionWatch
from wigeonpoint.process.gateway.health import GroupHealth
from wigeonpoint.process.gateway.pool import UNLIMITED_STATEMENTS, MemberPool, MemberSharing
from wigeonpoint.request import Rank
from wigeonpoint.version.catalogue import (
    Consistency,
    DatabaseRoute,
    LeavingMembers,
    MemberRecord,
    Service,
)

PREWARMED_CONNECTIONS = 2
# Of a member, for one instance. Lost answers occupy some of them until they are given up.
STATEMENTS_PER_SLOT = 3
# Samples are taken as older by this, because the read still has to travel to the replica.
SAMPLE_AGE_MARGIN_S = 0.1
# Of the time for which a leaving member goes on serving. The rest covers statements on their way
# and the time until this instance learned of the shutdown.
LEAVING_USE_SHARE = 0.9


class Group:
    """One database group as this instance sees it.

    Args:
        name: Name of the group.
        connector: Opens connections to members.
        data_centre: Data centre of this instance.
        service: Returns the active service.
        clock: Gives seconds; it must also count the time for which the machine is suspended.
        sharing: How the instances share the members' connections.
        leaving: Since when members are known to be leaving.
        leaving_s: Seconds for which a leaving member goes on serving.
        lapsed: Gives the members that are not listed and may still run.
        listing_stable: Tells whether the members' table is read from a store that has answered
            without a recent failure, so that the entries of all running members are listed.
        superseded: Tells whether an idle connection would be opened in another way now.
        sample_source: Fetches positions of primaries from their relays.
        remote_read_cost_s: Cost of the traffic of a read in another data centre, in seconds of a
            caller's time.
        keys_needed: Tells whether callers need the keys of customers.
    """

    def __init__(
        self,
        name: str,
        connector: MemberConnector,
        *,
        data_centre: str,
        service: Callable[[], Service],
        clock: Clock,
        sharing: MemberSharing,
        leaving: LeavingMembers,
        leaving_s: float,
        lapsed: Callable[[], list[MemberRecord]],
        listing_stable: Callable[[], bool],
        superseded: Callable[[MemberRecord, MemberConnection], bool],
        sample_source: SampleSource,
        remote_read_cost_s: float,
        keys_needed: Callable[[], bool],
    ) -> None:
        self._name = name
        self._connector = connector
        self._get_service = service
        self._suspension = SuspensionWatch(clock)
        self._sharing = sharing
        self._leaving = leaving
        self._serves_leaving_s = leaving_s
        self._get_lapsed = lapsed
        self._listing_stable = listing_stable
        self._leaderless_since: float | None = None
        self._superseded = superseded
        self._sample_source = sample_source
        self._keys_needed = keys_needed
        self._fetching: asyncio.Task[None] | None = None
        self._pools: dict[str, MemberPool] = {}
        self._progress: dict[str, ReplicaProgress] = {}
        self._recorded_primary_id: str | None = None
        self._has_record = False
        self._changed = asyncio.Event()
        self.health = GroupHealth(name)
        self.remote_reads = RemoteReads(name, data_centre, remote_read_cost_s)
        self.samples = PositionSamples()
        self.primary_requested_at = float("-inf")  # event-loop time of the last use of the primary
        self.transactions_at_primary = 0  # open ones of callers here; they may pause for seconds

    @property
    def name(self) -> str:
        """Name of the group."""
        return self._name

    @property
    def service(self) -> Service:
        """The active service."""
        return self._get_service()

    @property
    def pools(self) -> Iterable[MemberPool]:
        """Pools of all members."""
        return self._pools.values()

    @property
    def primary_id(self) -> str | None:
        """Id of the primary, None while it is not known; it may no longer be listed."""
        if self._has_record:
            return self._recorded_primary_id
        listed = [pool.record for pool in self._pools.values()]
        return _newest_primary(listed) or _newest_primary(self.lapsed)

    @property
    def primary(self) -> MemberPool | None:
        """Pool of the primary, None while it is not known."""
        return self._pools.get(self.primary_id or "")

    def pool(self, member_id: str) -> MemberPool | None:
        """Pool of a member."""
        return self._pools.get(member_id)

    @property
    def voters(self) -> list[MemberRecord]:
        """The members whose word decides about logs and terms: listed and lapsed ones."""
        return [*(pool.record for pool in self._pools.values()), *self.lapsed]

    @property
    def lapsed(self) -> list[MemberRecord]:
        """Members that are not listed and may still run; they get no requests of callers."""
        return self._get_lapsed()

    def voter(self, member_id: str | None) -> MemberRecord | None:
        """The record of a listed or lapsed member, None if it is neither."""
        return next((record for record in self.voters if record.id == member_id), None)

    @property
    def leaderless_s(self) -> float:
        """Seconds for which no record and no listed member has named a primary.

        It is 0 while the members' table may lack entries of running members.
        """
        if self._leaderless_since is None or not self._listing_stable():
            return 0.0
        return asyncio.get_running_loop().time() - self._leaderless_since

    @property
    def primary_leaving_s(self) -> float | None:
        """Seconds since the primary is known to be leaving, None if it is not leaving."""
        primary = self.primary
        return self.leaving_s(primary.record) if primary is not None else None

    def leaving_s(self, record: MemberRecord) -> float | None:
        """Seconds since a member is known to be leaving, None if it is not leaving."""
        return self._leaving.known_s(record) if record.leaving else None

    def leaves_before(self, record: MemberRecord, other: MemberRecord) -> bool:
        """Whether a member stops before another one, or as soon."""
        known_s, other_known_s = self.leaving_s(record), self.leaving_s(other)
        if known_s is None:
            return False
        return other_known_s is None or known_s >= other_known_s

    def takes_new(self, record: MemberRecord) -> bool:
        """Whether a member may get new statements and transactions."""
        known_s = self.leaving_s(record)
        return known_s is None or known_s < LEAVING_USE_SHARE * self._serves_leaving_s

    def set_primary(self, member_id: str | None, *, known: bool) -> None:
        """Sets the primary that the group's record names.

        Args:
            member_id: The primary, None while it is being changed.
            known: Whether the group has a record; without one, the members' own roles count.
        """
        if known and member_id != self.primary_id:
            self.samples.clear()
        self._recorded_primary_id = member_id
        self._has_record = known
        self._note_leaderless()
        self.notify()

    def set_members(self, records: list[MemberRecord]) -> None:
        """Replaces the members by those that are listed now."""
        listed = {record.id: record for record in records}
        for member_id in self._pools.keys() - listed.keys():
            self._pools.pop(member_id).retire()
            self._progress.pop(member_id, None)
        for record in records:
            pool = self._pools.get(record.id)
            if pool is not None and pool.record.address == record.address:
                pool.update(record)
                continue
            if pool is not None:
                pool.retire()
            self._pools[record.id] = self._new_pool(record)
            self._progress[record.id] = ReplicaProgress()
        self.health.set_members(listed.keys())
        self._note_leaderless()
        self.notify()

    def _note_leaderless(self) -> None:
        """Notes since when the group is leaderless; counts anew while entries may be missing."""
        if self._has_record or self.primary_id is not None or not self._pools:
            self._leaderless_since = None
        elif self._leaderless_since is None or not self._listing_stable():
            self._leaderless_since = asyncio.get_running_loop().time()

    def notify(self) -> None:
        """Wakes the tasks that wait for a change of the group."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout: float) -> None:
        """Waits until the group changes or the timeout passes.

        Args:
            timeout: Seconds to wait.
        """
        try:
            await asyncio.wait_for(self._changed.wait(), timeout)
        except TimeoutError:
            return

    def prewarm(self) -> None:
        """Opens the first connections to every member, unless relays hold them."""
        if not self._sharing.settled or self._sharing.relayed(self.service.connection_limit):
            return
        for pool in self._pools.values():
            if not pool.record.leaving:
                pool.prewarm(PREWARMED_CONNECTIONS)

    def newest_sample(self) -> PositionSample | None:
        """The newest position that the primary reported to this instance, None if there is none."""
        self._drop_samples_after_suspension()
        return self.samples.newest

    async def refresh_samples(self, route: DatabaseRoute) -> None:
        """Fetches a position from a relay of the primary if none is recent enough for a route.

        In a large fleet, an instance sends few statements to each primary itself. Without a recent
        position of it, all reads would have to go there.
        """
        primary = self.primary
        if route.consistency is Consistency.CURRENT or route.max_age_s is None or primary is None:
            return
        newest = self.newest_sample()
        oldest_allowed_at = _oldest_sample_time(route.max_age_s, asyncio.get_running_loop().time())
        if newest is not None and newest.sent_at >= oldest_allowed_at:
            return
        if self._fetching is None:
            self._fetching = asyncio.create_task(self._fetch_sample(primary.record))
        await asyncio.shield(self._fetching)

    async def _fetch_sample(self, primary: MemberRecord) -> None:
        try:
            sample = await self._sample_source.fetch(primary)
            if sample is not None and primary.id == self.primary_id:
                self.note_answer(primary.id, sample.position, sent_at=sample.sent_at)
        finally:
            self._fetching = None

    def read_requirement(
        self, route: DatabaseRoute, committed: LogPosition | None, now: float
    ) -> ReadRequirement:
        """Returns what a member needs in order to serve a read of a route.

        Args:
            route: The route.
            committed: Position of the session's last commit, or None.
            now: Event-loop time in seconds.
        """
        if route.consistency is Consistency.CURRENT or route.max_age_s is None:
            return PRIMARY_ONLY
        self._drop_samples_after_suspension()
        sample = self.samples.oldest_since(_oldest_sample_time(route.max_age_s, now))
        if sample is None:
            return PRIMARY_ONLY
        position = sample.position
        # Commits of an older term that survived lie before every position of the newer term.
        if committed is not None and committed.term >= position.term:
            position = max(position, committed)
        return ReadRequirement(primary_only=False, position=position)

    def choose_read_member(
        self,
        requirement: ReadRequirement,
        now: float,
        *,
        rank: Rank,
        target_s: float,
        excluded: frozenset[str],
        trial: bool,
    ) -> MemberPool | None:
        """Returns the pool of the member that should serve a read, None if no member can now.

        Args:
            requirement: What the member needs.
            now: Event-loop time in seconds.
            rank: Urgency of the read.
            target_s: Latency objective of its route, in seconds.
            excluded: Members that the read has already tried.
            trial: Whether the read may try a member that is ejected.
        """
        primary_id = self.primary_id
        candidates = [
            self._read_candidate(pool, requirement, now)
            for pool in self._pools.values()
            if not pool.record.leaving or pool.record.id == primary_id
        ]
        remote = self.remote_reads.choice(rank, target_s, now)
        member_id = choose_read_member(candidates, excluded=excluded, trial=trial, remote=remote)
        if member_id is not None and self.health.trial_due(member_id):
            self.health.begin_trial(member_id)
        return self._pools.get(member_id) if member_id is not None else None

    def note_answer(self, member_id: str, position: LogPosition | None, *, sent_at: float) -> None:
        """Records the position that came with a member's answer.

        Args:
            member_id: The member.
            position: Its position.
            sent_at: Event-loop time, in seconds, at which the statement was sent.
        """
        if position is None:
            return
        self._drop_samples_after_suspension()
        if sent_at < self._suspension.noticed_at:
            return  # the answer may be as old as the suspension was long
        if member_id == self.primary_id:
            self.samples.add(position, sent_at)
            return
        progress = self._progress.get(member_id)
        if progress is not None:
            first_seen_at = self.samples.first_seen_at(position)
            position_age_s = None if first_seen_at is None else sent_at - first_seen_at
            progress.note_applied(position, position_age_s=position_age_s)

    def note_read(self, member_id: str, *, failed: bool, seconds: float) -> None:
        """Records whether a member failed to run a read, and after how many seconds."""
        readmitted = self.health.note_read(
            member_id, failed=failed, seconds=seconds, primary_id=self.primary_id
        )
        pool = self._pools.get(member_id)
        if readmitted and pool is not None:
            pool.latency.restart(seconds)

    def note_behind(self, member_id: str, position: LogPosition, now: float) -> None:
        """Records that a member's log lacked a position."""
        progress = self._progress.get(member_id)
        if progress is not None:
            first_seen_at = self.samples.first_seen_at(position)
            progress.note_behind(now, position_age_s=now - (first_seen_at or now))

    def _drop_samples_after_suspension(self) -> None:
        """Drops samples that are older than the event loop's clock tells."""
        if self._suspension.check():
            self.samples.clear()

    def _new_pool(self, record: MemberRecord) -> MemberPool:
        return MemberPool(
            record,
            self._connector,
            share=self._connection_share,
            limit=lambda: self.service.connection_limit,
            running=lambda: self._running_limit(record),
            takes_new=lambda: self._member_takes_new(record.id),
            superseded=lambda connection: self._superseded(record, connection),
            names_customers=self._connections_name_customers,
        )

    def _member_takes_new(self, member_id: str) -> bool:
        pool = self._pools.get(member_id)
        return pool is not None and self.takes_new(pool.record)

    def _running_limit(self, record: MemberRecord) -> int:
        """Statements that this instance may run at a member; relays limit what they pass on."""
        if self._sharing.relayed(self.service.connection_limit):
            return UNLIMITED_STATEMENTS
        return STATEMENTS_PER_SLOT * record.slots

    def _connections_name_customers(self) -> bool:
        """Whether own connections name customers to members; those through relays do not."""
        return self._keys_needed() and not self._sharing.relayed(self.service.connection_limit)

    def _connection_share(self) -> int:
        return self._sharing.share(self.service.connection_limit)

    def _read_candidate(
        self, pool: MemberPool, requirement: ReadRequirement, now: float
    ) -> ReadCandidate:
        member_id = pool.record.id
        primary = member_id == self.primary_id
        return make_candidate(
            pool,
            self.health,
            primary=primary,
            local=not self.remote_reads.is_remote(pool.record),
            proven=primary or self._has_probably_applied(member_id, requirement, now),
            now=now,
        )

    def _has_probably_applied(
        self, member_id: str, requirement: ReadRequirement, now: float
    ) -> bool:
        if requirement.primary_only or requirement.position is None:
            return False
        first_seen_at = self.samples.first_seen_at(requirement.position)
        return self._progress[member_id].has_probably_applied(
            requirement.position, now, first_seen_at=first_seen_at
        )


def _newest_primary(records: Iterable[MemberRecord]) -> str | None:
    """Id of the member that says that it leads, the one that was started last if several do."""
    primaries = [record for record in records if record.role is MemberRole.PRIMARY]
    return max(primaries, key=lambda record: record.born_ms).id if primaries else None


def _oldest_sample_time(max_age_s: float, now: float) -> float:
    """Event-loop time, in seconds, since which a sample must have been sent for a read."""
    return now - max_age_s + SAMPLE_AGE_MARGIN_S
