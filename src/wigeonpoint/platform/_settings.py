"""The platform's settings file, decoded into `GatewaySettings`."""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wigeonpoint.errors import ResultCode, SettingsError
from wigeonpoint.platform._sockets import split_address
from wigeonpoint.process.gateway import GatewaySettings, QuotaSettings

PATH_VARIABLE = "WIGEONPOINT_CONFIG"
DEFAULT_PATH = Path("/etc/wigeonpoint/settings.toml")
BYTES_PER_MB = 1_000_000
DEFAULT_GRACE_S = 6.0
DEFAULT_DRAIN_MS = 7000.0
DEFAULT_CONFIGURATION_MS = 3000.0
DEFAULT_REVOCATION_MS = 5000.0
DEFAULT_QUOTA_WINDOW_S = 5.0
DEFAULT_QUOTA_OVERRUN = 0.1


class _WireModel(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _WireAddresses(_WireModel):
    front: str  # callers connect here
    ready: str  # the load balancer checks readiness here
    control: str  # other instances connect here


class _WireEndpoint(_WireModel):
    address: str


class _WireContractParams(_WireModel):
    graceS: float = DEFAULT_GRACE_S  # noqa: N815
    drainMs: float = DEFAULT_DRAIN_MS  # noqa: N815
    configApplyMs: float = Field(default=DEFAULT_CONFIGURATION_MS, gt=0)  # noqa: N815
    revokeMs: float | None = Field(default=None, gt=0)  # noqa: N815
    revokeFailClosed: bool = False  # noqa: N815
    quotaWindowS: float = Field(default=DEFAULT_QUOTA_WINDOW_S, gt=0)  # noqa: N815
    quotaOverrun: float = Field(default=DEFAULT_QUOTA_OVERRUN, ge=0)  # noqa: N815
    quotaSlack: float = Field(default=0.0, ge=0)  # noqa: N815


class _WireLimits(_WireModel):
    memoryMb: float | None = Field(default=None, gt=0)  # noqa: N815
    maxFds: int | None = Field(default=None, gt=0)  # noqa: N815


class _WireSettings(_WireModel):
    nodeName: str = Field(min_length=1)  # noqa: N815
    zone: str = Field(min_length=1)
    seeds: list[str] = Field(default_factory=list)  # `control` addresses of some instances
    bindAddrs: _WireAddresses  # noqa: N815
    platform: _WireEndpoint  # the store
    cloudApi: _WireEndpoint | None = None  # noqa: N815  the promotion call
    contractParams: _WireContractParams = Field(default_factory=_WireContractParams)  # noqa: N815
    limits: _WireLimits = Field(default_factory=_WireLimits)  # of the machine


def read_platform_settings(path: Path) -> GatewaySettings:
    """Reads and checks the platform's settings file; unknown fields are ignored.

    Args:
        path: TOML file.

    Raises:
        SettingsError: SETTINGS_UNREADABLE, or SETTINGS_INVALID with the name of each wrong field.
    """
    try:
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            ResultCode.SETTINGS_UNREADABLE, f"cannot read settings {path}: {error}"
        ) from error
    except tomllib.TOMLDecodeError as error:
        raise _invalid(path, f"not TOML: {error}") from error
    try:
        return _decode(_WireSettings.model_validate(fields))
    except ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(map(str, detail['loc']))}: {detail['msg']}" for detail in error.errors()
        )
        raise _invalid(path, problems) from error
    except ValueError as error:
        raise _invalid(path, str(error)) from error


def _decode(wire: _WireSettings) -> GatewaySettings:
    addresses = {
        "bindAddrs.front": wire.bindAddrs.front,
        "bindAddrs.ready": wire.bindAddrs.ready,
        "bindAddrs.control": wire.bindAddrs.control,
        "platform.address": wire.platform.address,
        **({"cloudApi.address": wire.cloudApi.address} if wire.cloudApi else {}),
    }
    for field, address in addresses.items():
        try:
            split_address(address)
        except ValueError as error:
            raise ValueError(f"{field}: {error}") from error
    return GatewaySettings(
        instance_id=wire.nodeName,
        data_centre=wire.zone,
        caller_address=wire.bindAddrs.front,
        readiness_address=wire.bindAddrs.ready,
        peer_address=wire.bindAddrs.control,
        seeds=tuple(wire.seeds),
        store_address=wire.platform.address,
        promotion_address=wire.cloudApi.address if wire.cloudApi else None,
        grace_s=wire.contractParams.graceS,
        leaving_s=wire.contractParams.drainMs / 1000,
        configuration_s=wire.contractParams.configApplyMs / 1000,
        revocation_s=_revocation_ms(wire.contractParams) / 1000,
        revocation_fails_closed=wire.contractParams.revokeFailClosed,
        quota=QuotaSettings(
            window_s=wire.contractParams.quotaWindowS,
            overrun=wire.contractParams.quotaOverrun,
            slack=wire.contractParams.quotaSlack,
        ),
        memory_bytes=_bytes(wire.limits.memoryMb),
        max_descriptors=wire.limits.maxFds,
    )


def _revocation_ms(wire: _WireContractParams) -> float:
    """The given bound, by default not shorter than that of any other change."""
    return wire.revokeMs or max(DEFAULT_REVOCATION_MS, wire.configApplyMs)


def _bytes(megabytes: float | None) -> int | None:
    return None if megabytes is None else int(megabytes * BYTES_PER_MB)


def _invalid(path: Path, problems: str) -> SettingsError:
    return SettingsError(ResultCode.SETTINGS_INVALID, f"settings {path}: {problems}")
