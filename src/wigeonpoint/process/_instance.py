"""An instance: the core behind an HTTP server for callers, peers and the load balancer."""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from tornado.httputil import HTTPServerRequest
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from wigeonpoint.backend import Backend
from wigeonpoint.channel import ChannelHandler
from wigeonpoint.connection import PEER_KEY_HEADER, PeerChannels, PeerDispatcher
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._admin_api import admin_handlers
from wigeonpoint.process._bounded_http_server import BoundedHttpServer, HttpLimits
from wigeonpoint.process._burn_api import BurnHandler
from wigeonpoint.process._caller_api import (
    BeginHandler,
    StatementHandler,
    TransactionEndHandler,
    TransactionStatementHandler,
    UnknownPathHandler,
)
from wigeonpoint.process._core import InstanceCore
from wigeonpoint.process._kernel_buffers import SHARED_BUFFER_BYTES, bound_kernel_buffers
from wigeonpoint.process._metrics import InstanceMetrics
from wigeonpoint.process._metrics_handler import MetricsHandler, RecentMetrics
from wigeonpoint.process._settings import LimitSettings, Settings
from wigeonpoint.services import Platform
from wigeonpoint.version import InstanceRecord

CALLER_PREFIX = "/v1/"
CLOSE_TIMEOUT_S = 1.0
BYTES_PER_MB = 1_000_000
# Bodies over the limit by at most this much are answered with an error code instead of a closed
# connection.
BODY_OVERHEAD_BYTES = 1_048_576


class Instance:
    """One instance, listening on its address.

    Args:
        settings: Validated settings.
        platform: Services of the platform.
        backend: Access to backend servers.
    """

    def __init__(self, settings: Settings, platform: Platform, backend: Backend) -> None:
        own = settings.instance
        self._sockets = bind_sockets(own.port, own.host)
        for listening in self._sockets:
            bound_kernel_buffers(listening, SHARED_BUFFER_BYTES)
        port = self._sockets[0].getsockname()[1]
        record = InstanceRecord(own.id, f"{own.host}:{port}", own.data_centre)
        dispatcher = PeerDispatcher()
        self._core = InstanceCore(
            settings,
            record,
            platform=platform,
            backend=backend,
            transport=PeerChannels(record.address, dispatcher, settings.peer_key),
            dispatcher=dispatcher,
        )
        self._server = BoundedHttpServer(
            _application(self._core), limits=_http_limits(settings.limits)
        )

    @property
    def record(self) -> InstanceRecord:
        """Id, address and data centre."""
        return self._core.record

    def start(self) -> None:
        """Starts all tasks and accepts connections."""
        self._core.start()
        self._server.add_sockets(self._sockets)
        log_event(Event.INSTANCE_STARTED, address=self.record.address)

    async def drain(self) -> None:
        """Reports not ready, announces leaving and waits for requests and transactions to end.

        Connections are still accepted, since open transactions receive further statements.
        """
        log_event(Event.INSTANCE_STOPPING)
        await self._core.finish_work()

    async def stop(self) -> None:
        """Stops accepting connections and cancels all tasks."""
        self._server.stop()
        self._core.close()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._server.close_all_connections(), CLOSE_TIMEOUT_S)
        log_event(Event.INSTANCE_STOPPED)


def _http_limits(limits: LimitSettings) -> HttpLimits:
    return HttpLimits(
        connections=limits.connections,
        body_bytes=limits.body_bytes + BODY_OVERHEAD_BYTES,
        all_bodies_bytes=int(limits.bodies_mb * BYTES_PER_MB),
        body_s=limits.body_ms / 1000,
    )


def _application(core: InstanceCore) -> Application:
    options = {"core": core}
    return _CountingApplication(
        core,
        [
            (r"/v1/statements", StatementHandler, options),
            (r"/v1/transactions", BeginHandler, options),
            (r"/v1/transactions/([^/]+)/statements", TransactionStatementHandler, options),
            (r"/v1/transactions/([^/]+)/(commit|rollback)", TransactionEndHandler, options),
            (r"/admin/v1/burn", BurnHandler, options),
            (r"/metrics", MetricsHandler, {"metrics": RecentMetrics(InstanceMetrics(core))}),
            *admin_handlers(core),
            (r"/peer", _PeerHandler, options),
            (r"/live", _HealthHandler, {"check": lambda: True}),
            (r"/ready", _HealthHandler, {"check": lambda: core.ready}),
        ],
        default_handler_class=UnknownPathHandler,
        log_function=lambda handler: core.drain.forget_arrival(handler.request),
    )


class _CountingApplication(Application):
    """Counts a caller's request as soon as its headers have arrived, before its body."""

    def __init__(self, core: InstanceCore, handlers: list[Any], **options: Any) -> None:
        super().__init__(handlers, **options)
        self._core = core

    def find_handler(self, request: HTTPServerRequest, **kwargs: Any) -> Any:
        """Counts a caller's request and finds its handler."""
        if request.path.startswith(CALLER_PREFIX):
            self._core.drain.note_arrival(request)
        return super().find_handler(request, **kwargs)


class _PeerHandler(ChannelHandler):
    """WebSocket channel of a peer."""

    def initialize(self, core: InstanceCore) -> None:  # type: ignore[override]
        super().initialize()
        self._core = core

    def prepare(self) -> None:
        presented = self.request.headers.get(PEER_KEY_HEADER, "")
        if not hmac.compare_digest(presented.encode(), self._core.settings.peer_key.encode()):
            self.send_error(401)

    async def respond(self, kind: str, body: Any) -> Any:
        with self._core.drain.peer_scope():
            return await self._core.dispatcher.respond(kind, body)


class _HealthHandler(RequestHandler):
    """Liveness or readiness for the load balancer."""

    def initialize(self, check: Callable[[], bool]) -> None:
        self._check = check

    def get(self) -> None:
        healthy = self._check()
        self.set_status(200 if healthy else 503)
        self.finish({"ok": healthy})
