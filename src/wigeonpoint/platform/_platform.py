"""The users' platform, as the gateway's services and listeners."""

from __future__ import annotations

import asyncio

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from wigeonpoint.connection import PeerChannels, PeerDispatcher, PeerTransport
from wigeonpoint.platform._callers import LineListener
from wigeonpoint.platform._customers import OPERATOR_TABLE
from wigeonpoint.platform._http import HttpClient
from wigeonpoint.platform._members import LineMemberConnector
from wigeonpoint.platform._peers import PeerHandler
from wigeonpoint.platform._promotion import PlatformPromoter
from wigeonpoint.platform._sockets import split_address
from wigeonpoint.platform._store import PlatformRowStore
from wigeonpoint.platform._tables import (
    CATALOGUE_KEY,
    MEMBER_TABLE,
    RowDecoder,
)
from wigeonpoint.process.gateway import (
    BoundedHttpServer,
    CallerUsage,
    GatewaySettings,
    HttpLimits,
    IsReady,
    Listener,
    MessageGate,
    ServeCaller,
    TableNames,
)
from wigeonpoint.services import Promoter, RowStore, VersionedRow
from wigeonpoint.version.catalogue import Catalogue, MemberRecord

READINESS_PATH = "/readiness"
READINESS_CONNECTIONS = 16  # the balancer keeps one or two
# Only the platform's own network reaches the peer listener, so peers present no shared secret.
NO_PEER_KEY = ""


class UserPlatform:
    """Implements `GatewayPlatform` with the platform's services, formats and listeners.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        self._store_client = HttpClient(settings.store_address)
        self._promotion_client = (
            HttpClient(settings.promotion_address) if settings.promotion_address else None
        )
        self._store = PlatformRowStore(self._store_client)
        self._peer_connections = settings.peer_connections
        self._answer_gate = MessageGate(settings.callers.answer_bytes)
        self._connector = LineMemberConnector(self._answer_gate)
        self._decoder = RowDecoder(lambda: asyncio.get_running_loop().time())

    @property
    def tables(self) -> TableNames:
        """Names of the store's tables."""
        return TableNames(OPERATOR_TABLE, CATALOGUE_KEY, MEMBER_TABLE)

    @property
    def store(self) -> RowStore:
        """Client of the platform's store."""
        return self._store

    @property
    def connector(self) -> LineMemberConnector:
        """Opens connections to members."""
        return self._connector

    @property
    def promoter(self) -> Promoter | None:
        """Client of the promotion call; None if the settings name none."""
        client = self._promotion_client
        return PlatformPromoter(client) if client is not None else None

    def decode_catalogue(self, row: VersionedRow) -> Catalogue | None:
        """Decodes the operators' configuration; None if it cannot be read."""
        return self._decoder.catalogue(row)

    def decode_member(self, row: VersionedRow) -> MemberRecord | None:
        """Decodes a member's row; None if it cannot be used."""
        return self._decoder.member(row)

    def listen_for_callers(self, address: str, serve: ServeCaller, usage: CallerUsage) -> Listener:
        """Listens for callers."""
        listener = LineListener(serve, usage)
        listener.listen_at(address)
        return listener

    def peer_transport(
        self, address: str, dispatcher: PeerDispatcher, *, compress: bool = False
    ) -> PeerTransport:
        """Creates the transport for messages to other instances."""
        return PeerChannels(address, dispatcher, NO_PEER_KEY, compress=compress)

    def listen_for_peers(self, address: str, dispatcher: PeerDispatcher) -> Listener:
        """Listens for channels from other instances."""
        application = Application([("/peer", PeerHandler, {"dispatcher": dispatcher})])
        return _serve(application, address, HttpLimits(self._peer_connections))

    def listen_for_readiness(self, address: str, ready: IsReady) -> Listener:
        """Listens for the load balancer's readiness checks."""
        application = Application(
            [(READINESS_PATH, _ReadinessHandler, {"ready": ready})],
            log_function=lambda handler: None,
        )
        return _serve(application, address, HttpLimits(READINESS_CONNECTIONS))

    def close(self) -> None:
        """Closes the idle HTTP connections."""
        self._store_client.close()
        if self._promotion_client is not None:
            self._promotion_client.close()


def _serve(application: Application, address: str, limits: HttpLimits) -> HTTPServer:
    server = BoundedHttpServer(application, limits=limits)
    host, port = split_address(address)
    server.listen(port, host)
    return server


class _ReadinessHandler(RequestHandler):
    """Handler of `GET /readiness`."""

    def initialize(self, ready: IsReady) -> None:
        """Sets the check of whether the instance is ready."""
        self._ready = ready

    def get(self) -> None:
        """Answers 200 if callers may be sent here, otherwise 503."""
        self.set_status(200 if self._ready() else 503)
        self.finish()
