"""The components of an instance, without its HTTP server."""

from __future__ import annotations

import random

from wigeonpoint.backend import Backend
from wigeonpoint.connection import (
    TRANSACTION_IDLE_TIMEOUT_S,
    PeerDispatcher,
    PeerTransport,
    SessionTokens,
    TokenSigner,
    TransactionIds,
)
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._burn_service import BurnService
from wigeonpoint.process._configuration_feed import ConfigurationFeed
from wigeonpoint.process._detection import (
    DetectionMethod,
    FailureDetector,
    MemberProbeService,
    SecondOpinionDetector,
    SingleWatcherDetector,
)
from wigeonpoint.process._directory_feed import DirectoryFeed
from wigeonpoint.process._drain import Drain
from wigeonpoint.process._history_repair import HistoryRepair
from wigeonpoint.process._overload_hints import OverloadHints
from wigeonpoint.process._owner_service import OwnerService
from wigeonpoint.process._position_samples import PositionSampleService
from wigeonpoint.process._request_recorder import RequestRecorder
from wigeonpoint.process._router import Router
from wigeonpoint.process._settings import Settings
from wigeonpoint.process._swim import Swim, VersionHooks
from wigeonpoint.process._topology import Topology
from wigeonpoint.process._transaction_router import TransactionRouter
from wigeonpoint.process._watcher import PrimaryAnnouncer, Watcher
from wigeonpoint.services import Listing, ListingKind, ListingState, Platform
from wigeonpoint.version import Configuration, GroupRecords, InstanceRecord, Membership, Pool


class InstanceCore:
    """Creates and connects the components of an instance; external interfaces are passed in.

    Args:
        settings: Validated settings.
        record: Id, address and data centre of the instance.
        platform: Services of the platform.
        backend: Access to backend servers.
        transport: Sends messages to instances.
        dispatcher: Receives the handlers of messages from instances.
        source: Random source of jitter and choices; tests pass a seeded one.
    """

    def __init__(
        self,
        settings: Settings,
        record: InstanceRecord,
        *,
        platform: Platform,
        backend: Backend,
        transport: PeerTransport,
        dispatcher: PeerDispatcher,
        source: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.record = record
        self.dispatcher = dispatcher
        self.transport = transport
        self.topology = Topology(record, backend)
        self.drain = Drain()
        self.feed = ConfigurationFeed(
            platform, self.topology, transport, dispatcher, peers=settings.peers
        )
        self.owners = OwnerService(self.topology, backend, self._pool)
        self.owners.register(dispatcher)
        self.recorder = RequestRecorder()
        self.burn = BurnService(self.topology, transport, self.recorder)
        self.burn.register(dispatcher)
        self.membership = Membership(
            record, on_change=self._apply_members, on_dead=self._drop_member
        )
        self.directory_feed = DirectoryFeed(
            platform.directory,
            own=record,
            live=self.membership.live,
            transport=transport,
            apply=self._apply_listings,
        )
        self.directory_feed.register(dispatcher)
        self.swim = Swim(
            self.membership,
            transport,
            seeds=settings.peers,
            hooks=VersionHooks(
                configuration=lambda: self.feed.number,
                on_newer_configuration=self.feed.note_number,
                directory=lambda: self.directory_feed.version,
                on_newer_directory=self.directory_feed.fetch_if_newer,
            ),
        )
        self.swim.register(dispatcher)
        MemberProbeService(self.topology, backend).register(dispatcher)
        announcer = PrimaryAnnouncer(self.topology, transport)
        announcer.register(dispatcher)
        self.history_repair = HistoryRepair(self.topology, transport)
        self.history_repair.register(dispatcher)
        records = GroupRecords(platform.tables)
        self.watcher = Watcher(
            self.topology, records, backend, self._detector(), announcer, transport
        )
        PositionSampleService(self.topology, backend).register(dispatcher)
        keys = settings.session_keys
        tokens = SessionTokens(TokenSigner(keys.keys, keys.active, purpose="session"))
        ids = TransactionIds(TokenSigner(keys.keys, keys.active, purpose="transaction"))
        self.hints = OverloadHints(transport)
        self.router = Router(self.topology, self.hints, tokens, self._configuration, source=source)
        self.transactions = TransactionRouter(
            self.topology,
            self.hints,
            tokens,
            ids,
            self._configuration,
            budgets=self.router.budgets,
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send requests to this instance."""
        configured = self.feed.configuration.number > 0 and bool(self.topology.groups)
        return configured and self.swim.joined and not self.drain.draining

    def start(self) -> None:
        """Starts all tasks."""
        self.feed.start()
        self.directory_feed.start()
        self.swim.start()
        self.owners.start()
        self.watcher.start()
        self.history_repair.start()

    async def finish_work(self) -> None:
        """Runs a graceful shutdown until `close` would interrupt no request or transaction."""
        limits = self.settings.limits
        await self.drain.run(
            announce=self.swim.announce_leaving,
            open_transactions=lambda: self.owners.open_transactions,
            drain_seconds=self.settings.drain_seconds,
            finish_seconds=2 * limits.max_deadline_ms / 1000 + TRANSACTION_IDLE_TIMEOUT_S,
        )

    def close(self) -> None:
        """Cancels all tasks and closes all connections."""
        self.swim.close()
        self.feed.close()
        self.directory_feed.close()
        self.watcher.close()
        self.history_repair.close()
        self.router.close()
        self.owners.close()
        self.transport.close()
        self.topology.close()

    def _apply_members(self) -> None:
        self.topology.set_instances(self.membership.live())
        self.owners.apply_ownership()

    def _drop_member(self, record: InstanceRecord) -> None:
        log_event(Event.MEMBER_DEAD, member=record.id, address=record.address)
        self.transport.disconnect(record.address)

    def _apply_listings(self, listings: list[Listing]) -> None:
        self.topology.apply_listings(listings)
        entries = [entry for entry in listings if entry.kind is ListingKind.ENTRY]
        records = [
            (InstanceRecord(entry.id, entry.address, entry.data_centre), entry.state)
            for entry in entries
        ]
        self.membership.set_listed(
            live=[record for record, state in records if state is ListingState.LIVE],
            leaving=[record for record, state in records if state is ListingState.LEAVING],
        )
        self.owners.apply_ownership()

    def _detector(self) -> FailureDetector:
        if self.settings.detection is DetectionMethod.SINGLE:
            return SingleWatcherDetector()
        return SecondOpinionDetector(self.topology, self.transport)

    def _configuration(self) -> Configuration:
        return self.feed.configuration

    def _pool(self, name: str) -> Pool | None:
        return self.feed.configuration.pools.get(name)
