"""Adapter to the users' platform: its names, formats and calls; it makes no decisions."""

from __future__ import annotations

from wigeonpoint.platform._check import (
    CheckedConfiguration,
    check_configuration,
    read_active_configuration,
)
from wigeonpoint.platform._platform import UserPlatform
from wigeonpoint.platform._settings import DEFAULT_PATH, PATH_VARIABLE, read_platform_settings

__all__ = [
    "DEFAULT_PATH",
    "PATH_VARIABLE",
    "CheckedConfiguration",
    "UserPlatform",
    "check_configuration",
    "read_active_configuration",
    "read_platform_settings",
]
