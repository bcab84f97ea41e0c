"""What lives for a version of the platform's tables: routes, services and members."""

from __future__ import annotations

from wigeonpoint.version.catalogue._catalogue import (
    DEFAULT_CONNECTION_LIMIT,
    DEFAULT_MESSAGE_BYTES,
    DEFAULT_TIMEOUT_S,
    DEFAULT_TRANSACTION_IDLE_S,
    Catalogue,
    CatalogueInForce,
    Consistency,
    DatabaseRoute,
    Service,
    rank_of,
)
from wigeonpoint.version.catalogue._leadership import (
    Duty,
    Leadership,
    LeadershipPhase,
    RegisteredInstance,
)
from wigeonpoint.version.catalogue._members import LAPSE_GRACE_S, MemberDirectory, MemberRecord

__all__ = [
    "DEFAULT_CONNECTION_LIMIT",
    "DEFAULT_MESSAGE_BYTES",
    "DEFAULT_TIMEOUT_S",
    "DEFAULT_TRANSACTION_IDLE_S",
    "LAPSE_GRACE_S",
    "Catalogue",
    "CatalogueInForce",
    "Consistency",
    "DatabaseRoute",
    "Duty",
    "Leadership",
    "LeadershipPhase",
    "MemberDirectory",
    "MemberRecord",
    "RegisteredInstance",
    "Service",
    "rank_of",
]
