"""Decoders of the rows that operators and members write into the store."""

from __future__ import annotations

from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from wigeonpoint.backend import MemberRole
from wigeonpoint.events import Event, log_event
from wigeonpoint.platform._sockets import split_address
from wigeonpoint.services import VersionedRow
from wigeonpoint.version.catalogue import (
    DEFAULT_CONNECTION_LIMIT,
    DEFAULT_MESSAGE_BYTES,
    DEFAULT_TIMEOUT_S,
    DEFAULT_TRANSACTION_IDLE_S,
    Catalogue,
    Consistency,
    DatabaseRoute,
    MemberRecord,
    Service,
    rank_of,
)

OPERATOR_TABLE = "op"
MEMBER_TABLE = "servers"
CATALOGUE_KEY = "config"

_CONSISTENCY_BY_ROUTE_TYPE = {
    "primary": Consistency.CURRENT,
    "bounded": Consistency.AGED,
    "read_your_writes": Consistency.SESSION,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}


def _role_or_none(value: Any) -> Any:
    return value if value in ("primary", "replica") else None


class _WireModel(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)


class _WireRoute(_WireModel):
    name: str = ""
    dbName: str  # noqa: N815
    serviceName: str  # noqa: N815
    routeType: str  # noqa: N815
    timeoutMs: float = DEFAULT_TIMEOUT_S * 1000  # noqa: N815  limit of one statement
    targetLatencyMs: float = DEFAULT_TIMEOUT_S * 1000  # noqa: N815  target of a whole operation
    priority: int = 1  # 0 is the most urgent
    maxStalenessMs: float | None = None  # noqa: N815


class _WireService(_WireModel):
    name: str
    maxConnections: int = DEFAULT_CONNECTION_LIMIT  # noqa: N815  of all instances together
    syncReplicas: int = 0  # noqa: N815


class _WireLimits(_WireModel):
    maxBodyBytes: int = DEFAULT_MESSAGE_BYTES  # noqa: N815
    txIdleMs: float = DEFAULT_TRANSACTION_IDLE_S * 1000  # noqa: N815


class _WireCatalogue(_WireModel):
    configVersion: int  # noqa: N815
    routeTable: list[Any]  # noqa: N815
    services: list[Any] = Field(default_factory=list)
    limits: _WireLimits = Field(default_factory=_WireLimits)


class _WireMember(_WireModel):
    serviceName: str = Field(min_length=1)  # noqa: N815
    address: str
    zone: str
    state: str
    slots: int = Field(default=1, ge=1)
    warmupLeftMs: float = 0  # noqa: N815
    dbRole: Annotated[str | None, BeforeValidator(_role_or_none)] = None  # noqa: N815
    born: int = 0


def decode_catalogue(row: VersionedRow) -> Catalogue | None:
    """Decodes the operators' configuration; entries that do not validate are logged and left out.

    Returns:
        The catalogue, or None if the row itself does not validate.
    """
    try:
        wire = _WireCatalogue.model_validate_json(row.value)
    except ValidationError as error:
        _log_unreadable(row.key, error)
        return None
    routes = [_route(entry) for entry in wire.routeTable]
    services = [_service(entry) for entry in wire.services]
    return Catalogue(
        version=wire.configVersion,
        routes={route.database: route for route in routes if route is not None},
        services={service.name: service for service in services if service is not None},
        transaction_idle_s=wire.limits.txIdleMs / 1000,
        message_bytes=wire.limits.maxBodyBytes,
    )


def decode_member(row: VersionedRow) -> MemberRecord | None:
    """Decodes a member's row; None if it is invalid or its state is neither ready nor draining."""
    try:
        wire = _WireMember.model_validate_json(row.value)
        split_address(wire.address)
        leaving = _LEAVING_BY_STATE[wire.state]
    except (ValidationError, ValueError, KeyError) as error:
        _log_unreadable(row.key, error)
        return None
    return MemberRecord(
        id=row.key,
        service=wire.serviceName,
        address=wire.address,
        data_centre=wire.zone,
        leaving=leaving,
        role=None if wire.dbRole is None else MemberRole(wire.dbRole),
        slots=wire.slots,
        warm_up_s=wire.warmupLeftMs / 1000,
        born_ms=wire.born,
    )


def _route(entry: Any) -> DatabaseRoute | None:
    try:
        wire = _WireRoute.model_validate(entry)
        consistency = _CONSISTENCY_BY_ROUTE_TYPE[wire.routeType]
    except (ValidationError, KeyError) as error:
        _log_unreadable("route", error)
        return None
    return DatabaseRoute(
        name=wire.name,
        database=wire.dbName,
        service=wire.serviceName,
        consistency=consistency,
        rank=rank_of(wire.priority),
        timeout_s=wire.timeoutMs / 1000,
        target_s=wire.targetLatencyMs / 1000,
        max_age_s=None if wire.maxStalenessMs is None else wire.maxStalenessMs / 1000,
    )


def _service(entry: Any) -> Service | None:
    try:
        wire = _WireService.model_validate(entry)
    except ValidationError as error:
        _log_unreadable("service", error)
        return None
    return Service(wire.name, wire.maxConnections, wire.syncReplicas)


def _log_unreadable(key: str, error: Exception) -> None:
    log_event(Event.ROW_UNREADABLE, row=key, problem=" ".join(str(error).split())[:300])
