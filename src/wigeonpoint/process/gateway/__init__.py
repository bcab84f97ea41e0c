"""The gateway process: callers' sessions in front of database groups."""

from __future__ import annotations

from wigeonpoint.process._bounded_http_server import BoundedHttpServer, HttpLimits
from wigeonpoint.process._kernel_buffers import CALLER_BUFFER_BYTES, bound_kernel_buffers
from wigeonpoint.process._message_gate import MessageGate
from wigeonpoint.process.gateway._caller_usage import CallerUsage
from wigeonpoint.process.gateway._gateway import Gateway
from wigeonpoint.process.gateway._metrics import GatewayMetrics, serve_metrics
from wigeonpoint.process.gateway._platform import (
    GatewayPlatform,
    IsReady,
    Listener,
    ServeCaller,
    TableNames,
)
from wigeonpoint.process.gateway._settings import (
    DEFAULT_REMOTE_READ_COST_S,
    GatewaySettings,
    QuotaSettings,
)

__all__ = [
    "DEFAULT_REMOTE_READ_COST_S",
    "CALLER_BUFFER_BYTES",
    "BoundedHttpServer",
    "HttpLimits",
    "CallerUsage",
    "Gateway",
    "GatewayMetrics",
    "GatewayPlatform",
    "GatewaySettings",
    "IsReady",
    "Listener",
    "MessageGate",
    "QuotaSettings",
    "ServeCaller",
    "TableNames",
    "bound_kernel_buffers",
    "serve_metrics",
]
