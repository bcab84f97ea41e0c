"""The platform's configuration, member directory and stored leadership records."""

from __future__ import annotations

from wigeonpoint.version.catalogue._active import ActiveCatalogue, CatalogueVerdict
from wigeonpoint.version.catalogue._catalogue import (
    DEFAULT_CONNECTION_LIMIT,
    DEFAULT_MESSAGE_BYTES,
    DEFAULT_TIMEOUT_S,
    DEFAULT_TRANSACTION_IDLE_S,
    Catalogue,
    Consistency,
    DatabaseRoute,
    Service,
    less_urgent,
    rank_of,
)
from wigeonpoint.version.catalogue._customer import Customer, key_digest
from wigeonpoint.version.catalogue._lapsed import (
    LAPSED_KEPT_S,
    GroupMembers,
    LapsedMember,
    LapsedMembers,
    LapsedNote,
)
from wigeonpoint.version.catalogue._leadership import (
    CoordinatorRecord,
    Leadership,
    LeadershipPhase,
    QuotaAllocatorRecord,
    RegisteredInstance,
    next_coordinator,
)
from wigeonpoint.version.catalogue._leaving import LeavingMember, LeavingMembers, LeavingNote
from wigeonpoint.version.catalogue._members import EXPIRY_GRACE_S, MemberDirectory
from wigeonpoint.version.catalogue._record import MemberRecord
from wigeonpoint.version.catalogue._review import (
    Difference,
    Finding,
    compare_catalogues,
    review_catalogue,
)

__all__ = [
    "DEFAULT_CONNECTION_LIMIT",
    "DEFAULT_MESSAGE_BYTES",
    "DEFAULT_TIMEOUT_S",
    "DEFAULT_TRANSACTION_IDLE_S",
    "EXPIRY_GRACE_S",
    "LAPSED_KEPT_S",
    "Catalogue",
    "ActiveCatalogue",
    "CatalogueVerdict",
    "Consistency",
    "Customer",
    "DatabaseRoute",
    "Difference",
    "Finding",
    "CoordinatorRecord",
    "Leadership",
    "LeadershipPhase",
    "GroupMembers",
    "LapsedMember",
    "LapsedMembers",
    "LapsedNote",
    "LeavingMember",
    "LeavingMembers",
    "LeavingNote",
    "MemberDirectory",
    "MemberRecord",
    "QuotaAllocatorRecord",
    "RegisteredInstance",
    "Service",
    "compare_catalogues",
    "key_digest",
    "less_urgent",
    "next_coordinator",
    "rank_of",
    "review_catalogue",
]
