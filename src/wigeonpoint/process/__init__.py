"""What lives for a process: settings and the instance with its parts."""

from __future__ import annotations

from wigeonpoint.process._instance import Instance
from wigeonpoint.process._settings import Settings, read_settings

__all__ = ["Instance", "Settings", "read_settings"]
