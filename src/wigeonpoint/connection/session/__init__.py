"""State kept per connection: callers' sessions, pooled member connections and their interfaces."""

from __future__ import annotations

from wigeonpoint.connection.session._endpoint_health import EndpointHealth
from wigeonpoint.connection.session._latency import LatencyEstimate
from wigeonpoint.connection.session._pooled_connection import PooledConnection
from wigeonpoint.connection.session._protocols import (
    CallerConnection,
    CallerDisconnected,
    CallerMessage,
    ControlConnection,
    ControlConnector,
    EndSession,
    MalformedMessage,
    MemberAnswer,
    MemberConnection,
    MemberConnectionLost,
    MemberConnector,
    MemberFault,
    MemberRefused,
    MemberReport,
    MemberUnreachable,
    OpenSession,
    RequestTerms,
)
from wigeonpoint.connection.session._session import (
    CallerSession,
    SessionSnapshot,
    SessionTransaction,
)

__all__ = [
    "CallerConnection",
    "CallerDisconnected",
    "CallerMessage",
    "CallerSession",
    "SessionSnapshot",
    "ControlConnection",
    "ControlConnector",
    "EndSession",
    "LatencyEstimate",
    "MalformedMessage",
    "MemberAnswer",
    "MemberConnection",
    "MemberConnectionLost",
    "MemberConnector",
    "MemberFault",
    "EndpointHealth",
    "MemberRefused",
    "MemberReport",
    "MemberUnreachable",
    "OpenSession",
    "PooledConnection",
    "RequestTerms",
    "SessionTransaction",
]
