"""Replays traces against instances and compares what happens with the expected outcome."""

from __future__ import annotations

from tests.replay._processes import ProcessDriver
from tests.replay._replayer import Findings, replay
from tests.replay._trace import Trace, read_trace
from tests.replay._virtual import VirtualDriver

__all__ = ["Findings", "ProcessDriver", "Trace", "VirtualDriver", "read_trace", "replay"]
