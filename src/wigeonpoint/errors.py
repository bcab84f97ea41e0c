"""Result codes, outcomes and the exception tree of the package."""

from __future__ import annotations

from wigeonpoint._errors import (
    ConditionFailed,
    ConfigurationRefused,
    InvalidRequest,
    NotRun,
    Outcome,
    OutcomeUnknown,
    PlatformError,
    ResultCode,
    SettingsError,
    StoreUnavailable,
    WigeonpointError,
    error_for,
)

__all__ = [
    "ConditionFailed",
    "ConfigurationRefused",
    "InvalidRequest",
    "NotRun",
    "Outcome",
    "OutcomeUnknown",
    "PlatformError",
    "ResultCode",
    "SettingsError",
    "StoreUnavailable",
    "WigeonpointError",
    "error_for",
]
