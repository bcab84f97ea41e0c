"""What lives for a process: settings and the instance with its parts."""

from __future__ import annotations

from wigeonpoint.process._core import InstanceCore
from wigeonpoint.process._instance import Instance
from wigeonpoint.process._logs import configure_logs
from wigeonpoint.process._settings import Settings, read_settings
from wigeonpoint.process._swim import Swim, VersionHooks

__all__ = [
    "Instance",
    "InstanceCore",
    "Settings",
    "Swim",
    "VersionHooks",
    "configure_logs",
    "read_settings",
]
