"""Load generator: traces, their replay within limits, and results by rank and kind."""

from __future__ import annotations

from wigeonpoint.load._http import KeepAliveConnections
from wigeonpoint.load._replay import LoadBounds, Reply, Sender, replay
from wigeonpoint.load._results import LoadResults
from wigeonpoint.load._trace import Arrival, TraceKind, generate, read_trace, write_trace

__all__ = [
    "Arrival",
    "KeepAliveConnections",
    "LoadBounds",
    "LoadResults",
    "Reply",
    "Sender",
    "TraceKind",
    "generate",
    "read_trace",
    "replay",
    "write_trace",
]
