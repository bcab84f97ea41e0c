"""What lives for a version: configuration states, group terms and ownership."""

from __future__ import annotations

from wigeonpoint.version._configuration import (
    Configuration,
    Durability,
    Pool,
    RankTarget,
    Route,
)
from wigeonpoint.version._confirmation import GroupConfirmer, member_statuses
from wigeonpoint.version._group import GroupView
from wigeonpoint.version._group_record import (
    GroupPhase,
    GroupRecord,
    GroupRecords,
    StoredRecord,
)
from wigeonpoint.version._history import TermHistory, TermStart
from wigeonpoint.version._promotion import CandidateLost, NewPrimary, Promotion
from wigeonpoint.version._servers import (
    BackendServer,
    InstanceRecord,
    owner_of,
    rendezvous_weight,
)

__all__ = [
    "BackendServer",
    "CandidateLost",
    "Configuration",
    "Durability",
    "GroupConfirmer",
    "GroupPhase",
    "GroupRecord",
    "GroupRecords",
    "GroupView",
    "InstanceRecord",
    "NewPrimary",
    "Pool",
    "Promotion",
    "RankTarget",
    "Route",
    "StoredRecord",
    "TermHistory",
    "TermStart",
    "member_statuses",
    "owner_of",
    "rendezvous_weight",
]
