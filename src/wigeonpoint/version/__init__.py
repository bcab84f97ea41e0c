"""What lives for a version: configuration states, group terms and ownership."""

from __future__ import annotations

from wigeonpoint.version._configuration import (
    DEFAULT_SHARES,
    DEFAULT_TARGETS,
    Configuration,
    Durability,
    Pool,
    RankTarget,
    Route,
)
from wigeonpoint.version._confirmation import GroupConfirmer, member_statuses
from wigeonpoint.version._group import GroupView
from wigeonpoint.version._servers import (
    BackendServer,
    InstanceRecord,
    owner_of,
    rendezvous_weight,
)

__all__ = [
    "DEFAULT_SHARES",
    "DEFAULT_TARGETS",
    "BackendServer",
    "Configuration",
    "Durability",
    "GroupConfirmer",
    "GroupView",
    "InstanceRecord",
    "Pool",
    "RankTarget",
    "Route",
    "member_statuses",
    "owner_of",
    "rendezvous_weight",
]
