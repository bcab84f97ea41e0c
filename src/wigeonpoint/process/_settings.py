"""Settings of an instance, read from a JSON file and validated."""

from __future__ import annotations

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from wigeonpoint.errors import ResultCode, SettingsError
from wigeonpoint.process._detection import DetectionMethod


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSettings(_Model):
    """Identity and address of the instance.

    Attributes:
        id: Unique id, the same as in the platform's directory.
        data_centre: Name of the data centre.
        host: IP address to listen on, which is also announced to peers.
        port: TCP port; 0 lets the kernel choose.
    """

    id: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)


class PlatformSettings(_Model):
    """Address of the platform.

    Attributes:
        address: `host:port`.
        timeout_ms: Milliseconds after which a call counts as failed.
    """

    address: str
    timeout_ms: int = Field(default=2000, gt=0)

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError("must be host:port")
        return value


class SessionKeySettings(_Model):
    """Keys of session tokens; to rotate, add a key on all instances, then make it active.

    Attributes:
        active: Id of the key that signs new tokens.
        keys: Secrets by key id; tokens signed with any of them are valid.
    """

    active: str
    keys: dict[str, str] = Field(min_length=1)

    @model_validator(mode="after")
    def _check_active(self) -> SessionKeySettings:
        if self.active not in self.keys:
            raise ValueError(f"active key {self.active!r} is not among the keys")
        if any("." in key_id for key_id in self.keys):
            raise ValueError("a key id must not contain a dot")
        return self


class LimitSettings(_Model):
    """Limits of caller requests.

    Attributes:
        body_bytes: Largest request body.
        bodies_mb: Megabytes that the bodies of all requests may hold, with what is decoded from
            them.
        body_ms: Milliseconds within which a body must arrive.
        connections: Connections that may be open.
        default_deadline_ms: Deadline of a request that has none.
        max_deadline_ms: Longest deadline that a request may have.
    """

    body_bytes: int = Field(default=1_048_576, gt=0)
    bodies_mb: float = Field(default=256, gt=0)
    body_ms: int = Field(default=30_000, gt=0)
    connections: int = Field(default=8_000, gt=0)
    default_deadline_ms: int = Field(default=5_000, gt=0)
    max_deadline_ms: int = Field(default=60_000, gt=0)


class Settings(_Model):
    """All settings of an instance.

    Attributes:
        instance: Identity and address.
        platform: The platform's address.
        peers: Addresses of instances to ask before the platform's directory is known.
        session_keys: Keys of session tokens.
        peer_key: Secret that instances present to each other.
        callers: Names of callers by their bearer token.
        operators: Names of operators by their bearer token.
        limits: Limits of caller requests.
        drain_seconds: Longest wait of a graceful shutdown for the load balancer to stop sending.
        detection: How an unreachable primary is detected.
        log_level: Lowest level that is logged.
    """

    instance: InstanceSettings
    platform: PlatformSettings
    peers: list[str] = Field(default_factory=list)
    session_keys: SessionKeySettings
    peer_key: str = Field(min_length=8)
    callers: dict[str, str] = Field(default_factory=dict)
    operators: dict[str, str] = Field(default_factory=dict)
    limits: LimitSettings = LimitSettings()
    drain_seconds: float = Field(default=30.0, ge=0)
    detection: DetectionMethod = DetectionMethod.SECOND_OPINION
    log_level: str = Field(default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")


def read_settings(path: Path) -> Settings:
    """Reads and validates a settings file.

    Args:
        path: JSON file.

    Raises:
        SettingsError: SETTINGS_UNREADABLE, or SETTINGS_INVALID with the path of each invalid field.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsError(
            ResultCode.SETTINGS_UNREADABLE, f"cannot read settings {path}: {error.strerror}"
        ) from error
    try:
        return Settings.model_validate_json(data)
    except ValidationError as error:
        fields = "; ".join(
            f"{'.'.join(map(str, detail['loc'])) or 'file'}: {detail['msg']}"
            for detail in error.errors()
        )
        raise SettingsError(ResultCode.SETTINGS_INVALID, f"settings {path}: {fields}") from error
