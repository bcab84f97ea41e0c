"""The gateway process: callers' sessions in front of the members of all groups."""

from __future__ import annotations

import asyncio
import random
import time
from math import isfinite

from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._background import start_loop
from wigeonpoint.process.gateway._call_counts import (
    CallCounts,
    CallPurpose,
    CountedPromoter,
    CountedStore,
)
from wigeonpoint.process.gateway._caller_usage import CallerUsage
from wigeonpoint.process.gateway._executor import StatementExecutor
from wigeonpoint.process.gateway._platform import GatewayPlatform, Listener
from wigeonpoint.process.gateway._platform_view import PlatformView
from wigeonpoint.process.gateway._session_memory import SessionMemory
from wigeonpoint.process.gateway._session_service import SessionService
from wigeonpoint.process.gateway._settings import GatewaySettings
from wigeonpoint.process.gateway._shutdown import BALANCER_DETECTION_S, GatewayShutdown
from wigeonpoint.process.gateway._statement_router import StatementRouter
from wigeonpoint.process.gateway._store_era import StoreEra
from wigeonpoint.process.gateway._suspension import Clock
from wigeonpoint.process.gateway._transactions import TransactionRunner
from wigeonpoint.process.gateway.control import (
    CONTROL_TABLE,
    AnnouncementHandler,
    ControlState,
    Failover,
    GatewayPeers,
    GatewayState,
    KeyState,
    MemberControl,
    MemberNotes,
    QuorumLeases,
    store_read_age_s,
)
from wigeonpoint.process.gateway.customers import TRANSACTION_SHARE, Authenticator
from wigeonpoint.process.gateway.pool import MemberSharing
from wigeonpoint.process.gateway.quota import QuotaService, QuotaTotals
from wigeonpoint.process.gateway.relay import RelayLinks, RelayService
from wigeonpoint.services import era_of, number_of
from wigeonpoint.version.catalogue import RegisteredInstance

MAINTENANCE_INTERVAL_S = 0.25
# After this long, the instances that were started together have registered.
FLEET_START_S = 0.6
# Of the time for which a leaving member goes on serving; the rest is for a change of primary while
# an instance is missing.
LEAVING_PRIMARY_WAIT_SHARE = 0.4
# Of the time in which a change must be active, for one call to wait for it. Calls of all instances
# begin together after a change; if they are lost together, the next calls must still be in time.
CONFIGURATION_WAIT_SHARE = 0.6
# Of the time in which a revoked key must be refused. After this long without evidence, keys count
# as uncertain; transactions that are open then have the rest of the time to end.
UNCERTAIN_SHARE = 0.8
# Of the same time, for a call to wait for changes where uncertain keys are refused: its answer, and
# the pings by which others learn of it, must arrive before keys count as uncertain.
CERTAIN_WAIT_SHARE = 0.3


def boottime_s() -> float:
    """Seconds since the machine was started, including the time while it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _configuration_wait_s(settings: GatewaySettings) -> float:
    """Seconds for which a call waits for changes of the configuration."""
    wait_s = CONFIGURATION_WAIT_SHARE * min(settings.configuration_s, settings.revocation_s)
    if settings.revocation_fails_closed:
        wait_s = min(wait_s, CERTAIN_WAIT_SHARE * settings.revocation_s)
    return wait_s


def _shared_age_s(age_s: float) -> float | None:
    """An age for messages and the log, None if nothing is known."""
    return round(age_s, 3) if isfinite(age_s) else None


class Gateway:
    """Creates and connects the parts of a gateway, and starts and stops them.

    Args:
        settings: Settings of the process.
        platform: Services of the platform.
        clock: Returns the time in seconds, for the age of leases.
        random_source: Source of the jitter of calls to the store and to members.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        platform: GatewayPlatform,
        *,
        clock: Clock = boottime_s,
        random_source: random.Random | None = None,
    ) -> None:
        random_source = random_source or random.Random()
        self._settings = settings
        self._platform = platform
        self._draining = False
        self._keys_uncertain = False
        self._isolated_since: float | None = None
        self._listeners: list[Listener] = []
        self._maintenance: asyncio.Task[None] | None = None
        self._settle_timer: asyncio.TimerHandle | None = None
        self._dispatcher = PeerDispatcher()
        self._transport = platform.peer_transport(settings.peer_address, self._dispatcher)
        # A connection of its own: disconnecting a silent relay must not end pings, nor the reverse.
        self._relay_links = RelayLinks(
            platform.peer_transport(settings.peer_address, self._dispatcher)
        )
        # Another one, as a large copy would delay pings behind it. A configuration of many routes
        # repeats its field names, and links may be narrow.
        self._copy_transport = platform.peer_transport(
            settings.peer_address, self._dispatcher, compress=True
        )
        self._sharing = MemberSharing(settings.instance_id, lambda: self.control.instances)
        self._leaving_primary_wait_s = settings.leaving_s * LEAVING_PRIMARY_WAIT_SHARE
        store_era = StoreEra()
        self.call_counts = CallCounts()
        self.view = PlatformView(
            platform,
            settings.data_centre,
            self._sharing,
            self._relay_links,
            own=settings.instance_id,
            clock=clock,
            configuration_wait_s=_configuration_wait_s(settings),
            leaving_s=settings.leaving_s,
            assumed_leaving_s=self._leaving_primary_wait_s,
            store_era=store_era,
            follows_store=lambda: self.peers.follows_store,
            on_catalogue=lambda: self.sessions.check_keys(),
            on_primary=lambda group, member: self.control.note_primary(group, member),
            random_source=random_source,
            remote_read_cost_s=settings.remote_read_cost_s,
            settling=lambda: self.control.fleet.settling,
            call_counts=self.call_counts,
        )
        self._member_control = MemberControl(platform.connector, self.view.note_other_member)
        self.quorum_leases = QuorumLeases(
            self._member_control, lambda: self.view.groups, clock, random_source
        )
        self.control = ControlState(
            settings.instance_id,
            RegisteredInstance(settings.peer_address, settings.data_centre),
            store=platform.store,
            group=self.view.group,
            members=self._member_control,
            quorum_leases=self.quorum_leases,
            clock=clock,
            store_era=store_era,
            follows_store=lambda: self.peers.follows_store,
            random_source=random_source,
            call_counts=self.call_counts,
            on_lease_regained=self.view.retry_suspects,
            on_instances_changed=self._prewarm_if_restarted,
            on_rows=lambda: self.member_notes.apply(),
        )
        self.member_notes = MemberNotes(
            self.control,
            CountedStore(platform.store, CallPurpose.CHANGE, self.call_counts),
            self.view.leaving,
            self.view.lapsed,
        )
        self.relay = RelayService(
            platform.connector,
            self._sharing,
            lambda: self.view.groups,
            self.control,
            lambda: self.view.catalogue().transaction_idle_s,
            lambda sender, changed: self.peers.catch_up(sender, changed),
            lambda: self.view.catalogue().keys_needed,
            address=settings.peer_address,
            links=self._relay_links,
        )
        self.relay.register(self._dispatcher)
        self.router = StatementRouter(self.control)
        self.transactions = TransactionRunner(self.router)
        self.quota = QuotaService(
            self.control,
            platform.store,
            self._transport,
            QuotaTotals(self.view.catalogue, settings.quota),
            clock,
        )
        self.quota.register(self._dispatcher)
        self.caller_usage = CallerUsage(settings.callers)
        self.session_memory = SessionMemory(settings.callers.session_bytes)
        self.sessions = SessionService(
            self.view.wait_until_loaded,
            self.view.catalogue,
            self.view.group,
            StatementExecutor(self.router),
            self.transactions,
            Authenticator(self.view.catalogue, lambda: self._keys_uncertain),
            self.session_memory,
            revoked_transaction_s=TRANSACTION_SHARE * settings.revocation_s,
            quota=self.quota,
        )
        self.peers = self._make_peers()
        announcement_handler = AnnouncementHandler(self.control)
        announcement_handler.register(self._dispatcher)
        self.failover = self._make_failover(announcement_handler)

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self.view.loaded and not self._draining and not self.control.isolated

    def start(self) -> None:
        """Starts following the tables and accepting callers and peers."""
        settings = self._settings
        self.view.start()
        self.control.start()
        self.peers.start()
        self.quota.start()
        if self.failover is not None:
            self.failover.start()
        self._maintenance = start_loop(self._run_maintenance)
        self._settle_timer = asyncio.get_running_loop().call_later(FLEET_START_S, self._prewarm)
        self._listeners = [
            self._platform.listen_for_callers(
                settings.caller_address, self.sessions.serve, self.caller_usage
            ),
            self._platform.listen_for_readiness(settings.readiness_address, lambda: self.ready),
            self._platform.listen_for_peers(settings.peer_address, self._dispatcher),
        ]
        log_event(Event.INSTANCE_STARTED, address=settings.caller_address)

    async def drain(self) -> None:
        """Reports not ready, ends the sessions without interrupting statements, and deregisters."""
        log_event(Event.INSTANCE_STOPPING, sessions=len(self.sessions.open))
        self._draining = True
        self.relay.drain()
        shutdown = GatewayShutdown(self.sessions.open, self.relay, self._settings.grace_s)
        await shutdown.run()
        await self.control.fleet.deregister(timeout=shutdown.remaining_s)
        log_event(Event.DRAIN_FINISHED, sessions=len(self.sessions.open))

    def stop(self) -> None:
        """Closes the listeners and stops all parts."""
        for listener in self._listeners:
            listener.stop()
        if self._maintenance is not None:
            self._maintenance.cancel()
        if self._settle_timer is not None:
            self._settle_timer.cancel()
        if self.failover is not None:
            self.failover.close()
        self.quota.close()
        self.peers.close()
        self.control.close()
        self._member_control.release()
        self.relay.close()
        self._relay_links.close()
        self.view.close()
        self._transport.close()
        self._copy_transport.close()
        self._platform.close()
        log_event(Event.INSTANCE_STOPPED)

    def _make_peers(self) -> GatewayPeers:
        settings = self._settings
        names = self._platform.tables
        peers = GatewayPeers(
            self.control,
            self._transport,
            self._copy_transport,
            tables={
                CONTROL_TABLE: self.control.feed,
                names.operators: self.view.operators,
                names.members: self.view.members,
            },
            prompt_table=names.operators,
            own_state=self._own_state,
            seeds=list(settings.seeds),
            address=settings.peer_address,
            data_centre=settings.data_centre,
            on_late=self.view.probe_data_centre,
            on_regained=self.view.retry_suspects,
            on_unreachable=self.view.probe_primary,
            on_confirmed_primaries=self.quorum_leases.adopt,
            on_leaving_members=self.view.adopt_leaving,
            on_state=self.view.note_peer,
        )
        peers.register(self._dispatcher)
        return peers

    def _make_failover(self, announcement_handler: AnnouncementHandler) -> Failover | None:
        promoter = self._platform.promoter
        if promoter is None:
            return None
        return Failover(
            self.control,
            self.peers,
            announcement_handler,
            groups=lambda: self.view.groups,
            store=CountedStore(self._platform.store, CallPurpose.CHANGE, self.call_counts),
            promoter=CountedPromoter(promoter, self.call_counts),
            members=self._member_control,
            member_notes=self.member_notes,
            leaving_primary_wait_s=self._leaving_primary_wait_s,
        )

    def _own_state(self) -> GatewayState:
        """Returns the state of this instance that is sent to peers."""
        names = self._platform.tables
        changed = {
            CONTROL_TABLE: self.control.feed.changed,
            names.operators: self.view.operators.changed,
            names.members: self.view.members.changed,
        }
        unreachable = {
            name: round(seconds, 3)
            for name, group in self.view.groups.items()
            if (seconds := self.control.unreachable_s(group.primary))
        }
        return GatewayState(
            name=self._settings.instance_id,
            changed={table: number_of(version) for table, version in changed.items()},
            eras={table: era_of(version) for table, version in changed.items()},
            store_evidence_age_s=store_read_age_s(self.control),
            unreachable=unreachable,
            leaving=self._draining,
            in_contact=self.peers.reachable,
            vouched=self.quorum_leases.shared(),
            follows_store=self.peers.has_store_contact,
            without_store=self.control.cannot_replace_primaries,
            leaving_members=self.view.leaving_members(),
            member_failures=self.view.member_failures(),
            keys=self._key_state(),
        )

    def _key_state(self) -> KeyState | None:
        if not self.view.catalogue().keys_needed:
            return None
        return KeyState(_shared_age_s(self.view.catalogue_age_s))

    def _check_key_certainty(self) -> None:
        """Notes whether keys may have been taken away unnoticed, if they are refused then."""
        if not self._settings.revocation_fails_closed:
            return
        age_s = self.view.catalogue_age_s
        uncertain = age_s > UNCERTAIN_SHARE * self._settings.revocation_s
        if uncertain != self._keys_uncertain:
            self._keys_uncertain = uncertain
            event = Event.KEYS_UNCERTAIN if uncertain else Event.KEYS_CERTAIN
            log_event(event, catalogue_age_s=_shared_age_s(age_s))
            self.sessions.check_keys()

    def _close_sessions_while_isolated(self) -> None:
        """Closes idle sessions while this instance is isolated; callers reconnect elsewhere.

        Waits first until the balancer has noticed; until then it would send them here again.
        """
        if not self.control.isolated:
            self._isolated_since = None
            return
        now = asyncio.get_running_loop().time()
        if self._isolated_since is None:
            self._isolated_since = now
        elif now - self._isolated_since >= BALANCER_DETECTION_S:
            self.sessions.open.close_idle(len(self.sessions.open))

    def _prewarm_if_restarted(self) -> None:
        """Opens the first connections at once after a restart, when the fleet is known."""
        if self.control.fleet.registered_before and not self._sharing.settled:
            self._prewarm()

    def _prewarm(self) -> None:
        self._sharing.settle()
        self.view.prewarm()

    async def _run_maintenance(self) -> None:
        """Probes unavailable members and closes spare connections and sessions periodically."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self.relay.maintain()
            self._check_key_certainty()
            self._close_sessions_while_isolated()
            for group in self.view.groups.values():
                for pool in group.pools:
                    if not pool.health.available:
                        pool.probe()
                    pool.close_spare_connections()
