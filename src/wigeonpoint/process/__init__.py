"""An instance as a process: its settings, components and HTTP server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpoint._lazy import lazy_exports

if TYPE_CHECKING:
    from wigeonpoint.process._allocator import return_large_blocks
    from wigeonpoint.process._core import InstanceCore
    from wigeonpoint.process._instance import Instance
    from wigeonpoint.process._logs import configure_logs
    from wigeonpoint.process._settings import Settings, read_settings
    from wigeonpoint.process._swim import Swim, VersionHooks

_MODULES = {
    "wigeonpoint.process._allocator": ("return_large_blocks",),
    "wigeonpoint.process._core": ("InstanceCore",),
    "wigeonpoint.process._instance": ("Instance",),
    "wigeonpoint.process._logs": ("configure_logs",),
    "wigeonpoint.process._settings": (
        "Settings",
        "read_settings",
    ),
    "wigeonpoint.process._swim": (
        "Swim",
        "VersionHooks",
    ),
}
__getattr__ = lazy_exports(__name__, _MODULES)

__all__ = [
    "Instance",
    "InstanceCore",
    "Settings",
    "Swim",
    "VersionHooks",
    "configure_logs",
    "read_settings",
    "return_large_blocks",
]
