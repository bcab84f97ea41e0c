"""An entry instance: its parts, its server and its life from start to shutdown."""

from __future__ import annotations

import hmac
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from wigeonpoint.backend import Backend
from wigeonpoint.channel import ChannelHandler
from wigeonpoint.connection import (
    PEER_KEY_HEADER,
    PeerChannels,
    PeerDispatcher,
    SessionTokens,
    TokenSigner,
    TransactionIds,
)
from wigeonpoint.platform import Platform
from wigeonpoint.process._caller_api import (
    BeginHandler,
    CallerServices,
    StatementHandler,
    TransactionEndHandler,
    TransactionStatementHandler,
    UnknownPathHandler,
)
from wigeonpoint.process._configuration_feed import ConfigurationFeed
from wigeonpoint.process._directory_feed import DirectoryFeed
from wigeonpoint.process._owner_service import OwnerService
from wigeonpoint.process._router import Router
from wigeonpoint.process._settings import Settings
from wigeonpoint.process._topology import Topology
from wigeonpoint.process._transaction_router import TransactionRouter
from wigeonpoint.version import InstanceRecord

BODY_OVERHEAD_BYTES = 1_048_576  # bodies up to this far over the limit get a numbered error


class Instance:
    """One entry instance.

    Args:
        settings: Checked settings.
        platform: Services of the platform.
        backend: Access to backend servers.
    """

    def __init__(self, settings: Settings, platform: Platform, backend: Backend) -> None:
        self._settings = settings
        self._sockets = bind_sockets(settings.instance.port, settings.instance.host)
        port = self._sockets[0].getsockname()[1]
        self._record = InstanceRecord(
            settings.instance.id,
            f"{settings.instance.host}:{port}",
            settings.instance.data_centre,
        )
        self._topology = Topology(self._record, backend)
        self._dispatcher = PeerDispatcher()
        self._transport = PeerChannels(self._record.address, self._dispatcher, settings.peer_key)
        self._feed = ConfigurationFeed(platform)
        self._directory_feed = DirectoryFeed(platform.directory, self._topology)
        self._owners = OwnerService(self._topology, backend, self._pool_row)
        self._owners.register(self._dispatcher)
        self._server = HTTPServer(
            self._application(),
            max_body_size=settings.limits.body_bytes + BODY_OVERHEAD_BYTES,
        )

    @property
    def record(self) -> InstanceRecord:
        """Id, address and data centre."""
        return self._record

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return self._feed.configuration.number > 0 and bool(self._topology.groups)

    def start(self) -> None:
        """Starts all tasks and accepts connections."""
        self._feed.start()
        self._directory_feed.start()
        self._server.add_sockets(self._sockets)

    async def stop(self) -> None:
        """Stops accepting connections and ends all tasks."""
        self._server.stop()
        self._feed.close()
        self._directory_feed.close()
        self._owners.close()
        self._transport.close()
        self._topology.close()
        await self._server.close_all_connections()

    def _pool_row(self, name: str) -> Any:
        return self._feed.configuration.pools.get(name)

    def _application(self) -> Application:
        services = {"services": self._caller_services()}
        return Application(
            [
                (r"/v1/statements", StatementHandler, services),
                (r"/v1/transactions", BeginHandler, services),
                (r"/v1/transactions/([^/]+)/statements", TransactionStatementHandler, services),
                (r"/v1/transactions/([^/]+)/(commit|rollback)", TransactionEndHandler, services),
                (r"/peer", _PeerHandler, {"instance": self}),
                (r"/live", _HealthHandler, {"check": lambda: True}),
                (r"/ready", _HealthHandler, {"check": lambda: self.ready}),
            ],
            default_handler_class=UnknownPathHandler,
            log_function=lambda handler: None,
        )

    def _caller_services(self) -> CallerServices:
        keys = self._settings.session_keys
        tokens = SessionTokens(TokenSigner(keys.keys, keys.active, purpose="session"))
        ids = TransactionIds(TokenSigner(keys.keys, keys.active, purpose="transaction"))

        def configuration() -> Any:
            return self._feed.configuration

        return CallerServices(
            settings=self._settings,
            router=Router(self._topology, self._transport, tokens, configuration),
            transactions=TransactionRouter(
                self._topology, self._transport, tokens, ids, configuration
            ),
            feed=self._feed,
        )


class _PeerHandler(ChannelHandler):
    """Channel of another instance."""

    def initialize(self, instance: Instance) -> None:  # type: ignore[override]
        super().initialize()
        self._instance = instance

    def prepare(self) -> None:
        presented = self.request.headers.get(PEER_KEY_HEADER, "")
        if not hmac.compare_digest(presented.encode(), self._peer_key.encode()):
            self.send_error(401)

    async def respond(self, kind: str, body: Any) -> Any:
        return await self._instance._dispatcher.respond(kind, body)

    @property
    def _peer_key(self) -> str:
        return self._instance._settings.peer_key


class _HealthHandler(RequestHandler):
    """Liveness or readiness for the balancer."""

    def initialize(self, check: Any) -> None:
        self._check = check

    def get(self) -> None:
        self.set_status(200 if self._check() else 503)
        self.finish({"ok": self._check()})
