"""This instance's view of the platform's tables: the catalogue and the database groups."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from wigeonpoint.backend import MemberRole
from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._call_counts import CallCounts, CallPurpose, CountedStore
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._platform import GatewayPlatform
from wigeonpoint.process.gateway._store_era import StoreEra
from wigeonpoint.process.gateway._suspension import Clock
from wigeonpoint.process.gateway._table_feed import FEED_WAIT_S, OnChange, TableFeed
from wigeonpoint.process.gateway.control import GatewayState
from wigeonpoint.process.gateway.customers import CatalogueAge
from wigeonpoint.process.gateway.health import MemberFailures
from wigeonpoint.process.gateway.pool import MemberSharing
from wigeonpoint.process.gateway.relay import RelayingConnector, RelayLinks
from wigeonpoint.services import VersionedRow, era_of, make_version, number_of
from wigeonpoint.version.catalogue import (
    ActiveCatalogue,
    Catalogue,
    CatalogueVerdict,
    LapsedMembers,
    LeavingMember,
    LeavingMembers,
    MemberDirectory,
    MemberRecord,
    Service,
)

# Operators write their newest version again soon after a restore of the store. A lower version that
# the store still holds in this many reads in a row is the one that they go on from.
REISSUE_READS = 5
REISSUE_READ_INTERVAL_S = 0.3
# While the store is away, after which to look again whether entries may expire.
EXPIRY_RETRY_S = 0.5
MAX_REPORTED_MEMBERS = 8  # in the answer to a ping


class PlatformView:
    """Applies the operators' and the members' rows to the catalogue and the groups.

    Args:
        platform: The platform.
        data_centre: Data centre of this instance.
        sharing: How the instances share the members' connections.
        links: Links to the relays of members.
        own: Name of this instance.
        clock: Gives seconds; it must also count the time for which the machine is suspended.
        configuration_wait_s: Seconds for which a call waits for changes of the configuration.
        leaving_s: Seconds for which a leaving member goes on serving.
        assumed_leaving_s: Seconds for which a member is assumed to have been leaving if it was when
            this instance learned of it, and nobody knows since when.
        store_era: The era that the feeds of this instance follow together.
        follows_store: Tells whether to follow the store, not only the copies of other instances.
        on_catalogue: Called when another version of the configuration has become active.
        on_primary: Called with a group and a member that begins to say that it leads it.
        random_source: Source of the jitter of calls to the store.
        remote_read_cost_s: Cost of the traffic of a read in another data centre, in seconds of a
            caller's time.
        settling: Tells whether this instance has just started, and may get copies of others.
        call_counts: Counts the calls of the platform.
    """

    def __init__(
        self,
        platform: GatewayPlatform,
        data_centre: str,
        sharing: MemberSharing,
        links: RelayLinks,
        *,
        own: str,
        clock: Clock,
        configuration_wait_s: float,
        leaving_s: float,
        assumed_leaving_s: float,
        store_era: StoreEra,
        follows_store: Callable[[], bool],
        on_catalogue: Callable[[], None],
        on_primary: Callable[[str, str], None],
        random_source: random.Random,
        remote_read_cost_s: float,
        settling: Callable[[], bool],
        call_counts: CallCounts,
    ) -> None:
        self._platform = platform
        self._on_primary = on_primary
        self._data_centre = data_centre
        self._sharing = sharing
        self._remote_read_cost_s = remote_read_cost_s
        self._clock = clock
        self._on_catalogue = on_catalogue
        self._connector = RelayingConnector(
            own,
            platform.connector,
            sharing,
            links,
            lambda service: self._active_service(service).connection_limit,
            lambda: self.operators.changed,
        )
        self._active = ActiveCatalogue()
        self._leaving = LeavingMembers(clock, assumed_s=assumed_leaving_s)
        self._leaving_records: list[MemberRecord] = []
        self._leaving_s = leaving_s
        self._lapsed = LapsedMembers(clock)
        self._directory = MemberDirectory(self._leaving, self._lapsed)
        self._groups: dict[str, Group] = {}
        self._decoded_members: dict[str, tuple[VersionedRow, MemberRecord | None]] = {}
        self._doubtful_version: int | None = None  # of the row whose catalogue is doubtful
        self._settling: asyncio.Task[None] | None = None  # while it is doubtful
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._loaded_event = asyncio.Event()
        names = platform.tables

        def feed(
            table: str, purpose: CallPurpose, on_change: OnChange, *, wait_s: float = FEED_WAIT_S
        ) -> TableFeed:
            return TableFeed(
                CountedStore(platform.store, purpose, call_counts),
                table,
                on_change,
                follows=lambda: not settling() and follows_store(),
                awaits_copy=settling,
                wait_s=wait_s,
                store_era=store_era,
                random_source=random_source,
                clock=clock,
            )

        self.operators = feed(
            names.operators,
            CallPurpose.OPERATORS,
            self._apply_operators,
            wait_s=min(configuration_wait_s, FEED_WAIT_S),
        )
        self.members = feed(names.members, CallPurpose.MEMBERS, self._apply_members)
        self._catalogue_age = CatalogueAge(clock, lambda: self.operators.read_at)

    @property
    def loaded(self) -> bool:
        """Whether routes and members have been loaded."""
        return self._active.known and self.members.loaded

    @property
    def leaving(self) -> LeavingMembers:
        """Since when members are known to be leaving."""
        return self._leaving

    @property
    def lapsed(self) -> LapsedMembers:
        """Members that are not listed and may still run."""
        return self._lapsed

    @property
    def groups(self) -> dict[str, Group]:
        """Groups by name."""
        return self._groups

    def catalogue(self) -> Catalogue:
        """The active catalogue."""
        return self._active.catalogue

    @property
    def catalogue_age_s(self) -> float:
        """Seconds since this instance certainly had the newest configuration."""
        return self._catalogue_age.seconds

    def note_peer(self, state: GatewayState, asked_at: float) -> None:
        """Records what a peer tells of callers' keys and of members that fail.

        Args:
            state: State of the peer.
            asked_at: Time in seconds, by the clock of leases, at which the peer was asked.
        """
        for group in self._groups.values():
            group.health.adopt(state.name, state.member_failures)
        if state.keys is None:
            return
        if self._active.need_keys():
            log_event(Event.KEYS_NEEDED, peer=state.name)
            self._on_catalogue()
        table = self._platform.tables.operators
        era = state.eras.get(table, self.operators.era)
        changed = make_version(era, state.changed.get(table, 0))
        age_s = state.keys.catalogue_age_s
        if age_s is not None and not self.operators.lacks(changed):
            self._catalogue_age.note_peer(age_s, asked_at)

    def group(self, name: str) -> Group:
        """Returns a group by name; creates it if it has no members yet."""
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = Group(
                name,
                self._connector,
                data_centre=self._data_centre,
                service=lambda: self._active_service(name),
                clock=self._clock,
                sharing=self._sharing,
                leaving=self._leaving,
                leaving_s=self._leaving_s,
                lapsed=lambda: self._lapsed.of_service(name),
                listing_stable=lambda: self.members.stable,
                superseded=self._connector.superseded,
                sample_source=self._connector,
                remote_read_cost_s=self._remote_read_cost_s,
                keys_needed=lambda: self._active.catalogue.keys_needed,
            )
        return group

    def member_failures(self) -> list[MemberFailures]:
        """The members that failed most reads here lately, for peers to adopt."""
        failures = [one for group in self._groups.values() for one in group.health.failures()]
        return sorted(failures, key=lambda one: -one.failures)[:MAX_REPORTED_MEMBERS]

    async def wait_until_loaded(self, *, timeout: float) -> bool:
        """Waits until routes and members have been loaded.

        Args:
            timeout: Seconds to wait.

        Returns:
            Whether they have been loaded.
        """
        with suppress(TimeoutError):
            await asyncio.wait_for(self._loaded_event.wait(), timeout)
        return self.loaded

    def leaving_members(self) -> list[LeavingMember]:
        """The listed members that are leaving, for peers to adopt."""
        return self._leaving.describe(self._leaving_records)

    def adopt_leaving(self, members: list[LeavingMember], asked_at: float) -> None:
        """Adopts since when a peer knows that members are leaving.

        Args:
            members: Leaving members that the peer knows.
            asked_at: Time in seconds, by the clock of leases, at which the peer was asked.
        """
        self._leaving.adopt(members, asked_at=asked_at)

    def note_other_member(self, record: MemberRecord) -> None:
        """Records that the address of a member belongs to another one now."""
        if self._lapsed.remove(record.id):
            log_event(Event.MEMBERS_CHANGED, member=record.id, change="replaced")

    def probe_data_centre(self, data_centre: str) -> None:
        """Probes the members of a data centre that may have become unreachable."""
        for group in self._groups.values():
            for pool in group.pools:
                if pool.record.data_centre == data_centre:
                    pool.note_late()

    def probe_primary(self, group: str) -> None:
        """Probes a primary that a peer cannot reach, as a fault may show only under traffic."""
        known = self._groups.get(group)
        if known is not None and known.primary is not None:
            known.primary.note_late()

    def retry_suspects(self, data_centre: str | None = None) -> None:
        """Probes at once the members that did not answer, because the fault may have ended.

        Args:
            data_centre: Only members there; all members if None.
        """
        for group in self._groups.values():
            for pool in group.pools:
                if data_centre in (None, pool.record.data_centre) and not pool.health.available:
                    pool.health.retry_now()
                    pool.probe()

    def prewarm(self) -> None:
        """Opens the first connections to the members."""
        for group in self._groups.values():
            group.prewarm()

    def start(self) -> None:
        """Starts following the tables."""
        self.operators.start()
        self.members.start()

    def close(self) -> None:
        """Stops following the tables and closes the connections."""
        self.operators.close()
        self.members.close()
        self._cancel_settling()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        for group in self._groups.values():
            group.set_members([])

    def _active_service(self, name: str) -> Service:
        return self._active.catalogue.service(name)

    def _apply_operators(self) -> None:
        row = self.operators.rows.get(self._platform.tables.catalogue_key)
        catalogue = self._platform.decode_catalogue(row) if row is not None else None
        if row is not None and catalogue is not None:
            self._consider_catalogue(row, catalogue)
        self._signal_loaded()

    def _consider_catalogue(self, row: VersionedRow, catalogue: Catalogue) -> None:
        verdict = self._active.consider(
            catalogue,
            era=era_of(row.version),
            written_in_era=row.version > self.operators.era_read_at,
        )
        if verdict is CatalogueVerdict.ACTIVE:
            self._announce_catalogue()
        elif verdict is CatalogueVerdict.DOUBTFUL and row.version != self._doubtful_version:
            self._doubtful_version = row.version
            self._cancel_settling()
            self._settling = asyncio.create_task(self._settle_reissued(row, catalogue))

    async def _settle_reissued(self, row: VersionedRow, catalogue: Catalogue) -> None:
        """Activates a lower version if the store goes on holding it.

        While the store cannot be read, neither a change of the row nor its absence is seen, and the
        operators may not reach the store either.
        """
        reads = 0
        while reads < REISSUE_READS:
            await asyncio.sleep(REISSUE_READ_INTERVAL_S)
            try:
                await self.operators.poll()
            except StoreUnavailable as error:
                log_event(Event.REISSUE_UNCONFIRMED, version=catalogue.version, reason=str(error))
                reads = 0
                continue
            held = self.operators.rows.get(row.key)
            if held is None or held.version != row.version:
                return
            reads += 1
        self._active.replace(catalogue, era=era_of(row.version))
        self._announce_catalogue()

    def _cancel_settling(self) -> None:
        if self._settling is not None:
            self._settling.cancel()

    def _announce_catalogue(self) -> None:
        catalogue = self._active.catalogue
        log_event(
            Event.CATALOGUE_APPLIED,
            version=catalogue.version,
            routes=len(catalogue.routes),
            customers=len(catalogue.customers),
            store_version=number_of(self.operators.version),
            store_era=self.operators.era,
        )
        self._on_catalogue()

    def _apply_members(self) -> None:
        now = asyncio.get_running_loop().time()
        rows = self.members.rows
        self._decoded_members = {key: self._decode_member(row) for key, row in rows.items()}
        records = [record for _, record in self._decoded_members.values() if record is not None]
        stable = self.members.stable
        for record in self._directory.replace(records, now=now, store_stable=stable):
            log_event(
                Event.MEMBER_LEAVING,
                member=record.id,
                group=record.service,
                store_version=number_of(self.members.changed),
                store_stable=stable,
            )
        self._set_groups()
        self._schedule_expiry(self._directory.next_expiry)
        self._signal_loaded()

    def _signal_loaded(self) -> None:
        if self.loaded:
            self._loaded_event.set()

    def _decode_member(self, row: VersionedRow) -> tuple[VersionedRow, MemberRecord | None]:
        known = self._decoded_members.get(row.key)
        if known is not None and known[0].version == row.version:
            return known
        return row, self._platform.decode_member(row)

    def _set_groups(self) -> None:
        records = self._directory.records.values()
        self._leaving_records = [record for record in records if record.leaving]
        for name in {record.service for record in records}:
            self.group(name)
        for name, group in self._groups.items():
            members = self._directory.of_service(name)
            promoted = [record.id for record in members if _was_promoted(group, record)]
            group.set_members(members)
            for member_id in promoted:
                self._on_primary(name, member_id)
            group.prewarm()

    def _schedule_expiry(self, at: float | None) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        if at is not None:
            self._expiry_timer = asyncio.get_running_loop().call_at(at, self._expire)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self.members.reachable:
            # Without the store no entry is renewed, so none expires until it is reachable again.
            self._schedule_expiry(now + EXPIRY_RETRY_S)
            return
        for record in self._directory.expire(now):
            log_event(Event.MEMBERS_CHANGED, member=record.id, change="gone")
        self._set_groups()
        self._schedule_expiry(self._directory.next_expiry)


def _was_promoted(group: Group, record: MemberRecord) -> bool:
    """Whether a member that was a replica says now that it is the primary."""
    known = group.pool(record.id)
    return (
        known is not None
        and known.record.role is MemberRole.REPLICA
        and record.role is MemberRole.PRIMARY
    )
