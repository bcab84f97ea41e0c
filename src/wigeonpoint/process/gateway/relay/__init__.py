"""Shares members that take fewer connections than there are instances.

Each such member has a few relays: instances, preferably in its own data centre, that hold the
connections to it and run the statements of the others. All statements for the member queue at the
relays, ordered by rank.
"""

from __future__ import annotations

from wigeonpoint.process.gateway.relay._connection import RelayedConnection
from wigeonpoint.process.gateway.relay._connector import RelayingConnector
from wigeonpoint.process.gateway.relay._links import RelayLinks, RelayUnavailable
from wigeonpoint.process.gateway.relay._messages import (
    FetchSample,
    RelayBegin,
    RelayCheck,
    RelayReady,
    RelayRollback,
    RelayStatement,
    SharedSample,
)
from wigeonpoint.process.gateway.relay._service import RelayService

__all__ = [
    "FetchSample",
    "RelayBegin",
    "RelayCheck",
    "RelayLinks",
    "RelayReady",
    "RelayRollback",
    "RelayService",
    "RelayStatement",
    "RelayUnavailable",
    "RelayedConnection",
    "SharedSample",
    "RelayingConnector",
]
