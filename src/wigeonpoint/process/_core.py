"""The parts of an instance without its HTTP server."""

from __future__ import annotations

from wigeonpoint.backend import Backend
from wigeonpoint.connection import (
    PeerDispatcher,
    PeerTransport,
    SessionTokens,
    TokenSigner,
    TransactionIds,
)
from wigeonpoint.platform import Platform
from wigeonpoint.process._configuration_feed import ConfigurationFeed
from wigeonpoint.process._directory_feed import DirectoryFeed
from wigeonpoint.process._overload_hints import OverloadHints
from wigeonpoint.process._owner_service import OwnerService
from wigeonpoint.process._router import Router
from wigeonpoint.process._settings import Settings
from wigeonpoint.process._topology import Topology
from wigeonpoint.process._transaction_router import TransactionRouter
from wigeonpoint.version import Configuration, InstanceRecord, Pool


class InstanceCore:
    """Wires the parts of an instance together; interfaces to the outside are passed in.

    Args:
        settings: Checked settings.
        record: Id, address and data centre of the instance.
        platform: Services of the platform.
        backend: Access to backend servers.
        transport: Sends messages to instances.
        dispatcher: Receives the handlers of messages from instances.
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
    ) -> None:
        self.settings = settings
        self.record = record
        self.dispatcher = dispatcher
        self.transport = transport
        self.topology = Topology(record, backend)
        self.feed = ConfigurationFeed(platform)
        self.directory_feed = DirectoryFeed(platform.directory, self.topology)
        self.owners = OwnerService(self.topology, backend, self._pool_row)
        self.owners.register(dispatcher)
        keys = settings.session_keys
        tokens = SessionTokens(TokenSigner(keys.keys, keys.active, purpose="session"))
        ids = TransactionIds(TokenSigner(keys.keys, keys.active, purpose="transaction"))
        hints = OverloadHints(transport)
        self.router = Router(self.topology, hints, tokens, self._configuration)
        self.transactions = TransactionRouter(
            self.topology, hints, tokens, ids, self._configuration
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return self.feed.configuration.number > 0 and bool(self.topology.groups)

    def start(self) -> None:
        """Starts all tasks."""
        self.feed.start()
        self.directory_feed.start()

    def close(self) -> None:
        """Ends all tasks and closes all connections."""
        self.feed.close()
        self.directory_feed.close()
        self.owners.close()
        self.transport.close()
        self.topology.close()

    def _configuration(self) -> Configuration:
        return self.feed.configuration

    def _pool_row(self, name: str) -> Pool | None:
        return self.feed.configuration.pools.get(name)
