"""Decoders of the rows that operators and members write into the store."""

from __future__ import annotations

from collections.abc import Callable
from ipaddress import IPv4Address
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
    TypeAdapter,
    ValidationError,
)

from wigeonpoint.backend import MemberRole
from wigeonpoint.platform._customers import decode_customers, hide_keys
from wigeonpoint.platform._row_log import RowLog
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

MEMBER_TABLE = "servers"
CATALOGUE_KEY = "config"

_CONSISTENCY_BY_ROUTE_TYPE = {
    "primary": Consistency.CURRENT,
    "bounded": Consistency.AGED,
    "read_your_writes": Consistency.SESSION,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}
MAX_SLOTS = 100_000
MAX_WARM_UP_MS = 86_400_000.0  # one day
MAX_TIME_MS = 2**53  # instances tell each other times of starts, and JSON keeps them up to here
MAX_WORD_CHARACTERS = 200


def _role_or_none(value: Any) -> Any:
    return value if value in ("primary", "replica") else None


def _require_ip_address(address: str) -> str:
    """Returns an address of an IPv4 host; looking a name up would block all other work.

    Raises:
        ValueError: The text is not such an address.
    """
    host, _ = split_address(address)
    IPv4Address(host)
    return address


# Ids and names of services are sent to members as fields of a line, which blanks separate.
_Word = Annotated[
    str,
    StringConstraints(
        min_length=1, max_length=MAX_WORD_CHARACTERS, pattern=r"^[\x21-\x7e\xa1-\xff]+$"
    ),
]
_WORD = TypeAdapter(_Word)


class _WireModel(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True, allow_inf_nan=False)


class _WireRoute(_WireModel):
    name: str = ""
    dbName: str  # noqa: N815
    serviceName: str  # noqa: N815
    routeType: str  # noqa: N815
    timeoutMs: float = DEFAULT_TIMEOUT_S * 1000  # noqa: N815  limit of one statement
    targetLatencyMs: float = DEFAULT_TIMEOUT_S * 1000  # noqa: N815  target of a whole operation
    priority: int = 1  # 0 is the most urgent
    maxStalenessMs: float | None = None  # noqa: N815
    publicAccess: bool = False  # noqa: N815


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
    tenants: Any = None


class _WireMember(_WireModel):
    serviceName: _Word  # noqa: N815
    address: Annotated[str, AfterValidator(_require_ip_address)]
    zone: str = Field(max_length=MAX_WORD_CHARACTERS)
    state: str
    slots: int = Field(default=1, ge=1, le=MAX_SLOTS)
    warmupLeftMs: float = Field(default=0, ge=-MAX_WARM_UP_MS, le=MAX_WARM_UP_MS)  # noqa: N815
    dbRole: Annotated[str | None, BeforeValidator(_role_or_none)] = None  # noqa: N815
    born: int = Field(default=0, ge=0, le=MAX_TIME_MS)


class RowDecoder:
    """Decodes rows; those that cannot be used are logged and left out.

    Args:
        clock: Gives seconds, to limit the log.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._log = RowLog(clock)

    def catalogue(self, row: VersionedRow) -> Catalogue | None:
        """Decodes the operators' configuration without the entries that cannot be used.

        Returns:
            The catalogue, or None if the row itself does not validate.
        """
        try:
            wire = _WireCatalogue.model_validate_json(hide_keys(row.value))
        except ValidationError as error:
            self._log.note(row.key, error)
            return None
        routes = [self._route(entry) for entry in wire.routeTable]
        services = [self._service(entry) for entry in wire.services]
        return Catalogue(
            version=wire.configVersion,
            routes={route.database: route for route in routes if route is not None},
            services={service.name: service for service in services if service is not None},
            transaction_idle_s=wire.limits.txIdleMs / 1000,
            message_bytes=wire.limits.maxBodyBytes,
            customers=decode_customers(wire.tenants, self._log),
            # Entries that cannot be read call for keys as well.
            keys_needed=bool(wire.tenants) or wire.tenants is False,
        )

    def member(self, row: VersionedRow) -> MemberRecord | None:
        """Decodes a member's row; None if another writer has left it, or its state is unknown."""
        try:
            wire = _WireMember.model_validate_json(row.value)
            member_id = _WORD.validate_python(row.key)
            leaving = _LEAVING_BY_STATE[wire.state]
        except (ValidationError, KeyError) as error:
            self._log.note(row.key, error)
            return None
        return MemberRecord(
            id=member_id,
            service=wire.serviceName,
            address=wire.address,
            data_centre=wire.zone,
            leaving=leaving,
            role=None if wire.dbRole is None else MemberRole(wire.dbRole),
            slots=wire.slots,
            warm_up_s=max(wire.warmupLeftMs, 0.0) / 1000,
            born_ms=wire.born,
        )

    def _route(self, entry: Any) -> DatabaseRoute | None:
        try:
            wire = _WireRoute.model_validate(entry)
            consistency = _CONSISTENCY_BY_ROUTE_TYPE[wire.routeType]
        except (ValidationError, KeyError) as error:
            self._log.note("route", error)
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
            public=wire.publicAccess,
        )

    def _service(self, entry: Any) -> Service | None:
        try:
            wire = _WireService.model_validate(entry)
        except ValidationError as error:
            self._log.note("service", error)
            return None
        return Service(wire.name, wire.maxConnections, wire.syncReplicas)
