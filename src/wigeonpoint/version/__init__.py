"""State that is replaced by newer versions: configuration, group terms, members and owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpoint._lazy import lazy_exports

if TYPE_CHECKING:
    from wigeonpoint.version._configuration import (
        DEFAULT_OBJECTIVE,
        DEFAULT_SHARES,
        DEFAULT_TARGETS,
        Configuration,
        Durability,
        Pool,
        RankTarget,
        Route,
    )
    from wigeonpoint.version._configuration_store import (
        ConfigurationStore,
        EditRecord,
        Head,
    )
    from wigeonpoint.version._confirmation import GroupConfirmer, member_statuses
    from wigeonpoint.version._edits import Edit, EditConflict, Editor, EditResult, RowChange
    from wigeonpoint.version._group import GroupView
    from wigeonpoint.version._group_record import (
        GroupPhase,
        GroupRecord,
        GroupRecords,
        StoredRecord,
    )
    from wigeonpoint.version._history import TermHistory, TermStart
    from wigeonpoint.version._membership import MemberDelta, Membership, MemberState
    from wigeonpoint.version._promotion import CandidateLost, NewPrimary, Promotion
    from wigeonpoint.version._rows import POOLS, ROUTES, RowProblem, RowValue, RowValues
    from wigeonpoint.version._servers import (
        BackendServer,
        InstanceRecord,
        owner_of,
        rendezvous_weight,
    )
    from wigeonpoint.version._state import (
        ConfigurationState,
        StateChange,
        build_state,
        raise_for_problems,
        rows_digest,
        state_from_document,
        state_problems,
    )
    from wigeonpoint.version._table_acceptance import TableAcceptance

_MODULES = {
    "wigeonpoint.version._configuration": (
        "DEFAULT_OBJECTIVE",
        "DEFAULT_SHARES",
        "DEFAULT_TARGETS",
        "Configuration",
        "Durability",
        "Pool",
        "RankTarget",
        "Route",
    ),
    "wigeonpoint.version._configuration_store": (
        "ConfigurationStore",
        "EditRecord",
        "Head",
    ),
    "wigeonpoint.version._confirmation": (
        "GroupConfirmer",
        "member_statuses",
    ),
    "wigeonpoint.version._edits": (
        "Edit",
        "EditConflict",
        "Editor",
        "EditResult",
        "RowChange",
    ),
    "wigeonpoint.version._group": ("GroupView",),
    "wigeonpoint.version._group_record": (
        "GroupPhase",
        "GroupRecord",
        "GroupRecords",
        "StoredRecord",
    ),
    "wigeonpoint.version._history": (
        "TermHistory",
        "TermStart",
    ),
    "wigeonpoint.version._membership": (
        "MemberDelta",
        "Membership",
        "MemberState",
    ),
    "wigeonpoint.version._promotion": (
        "CandidateLost",
        "NewPrimary",
        "Promotion",
    ),
    "wigeonpoint.version._rows": (
        "POOLS",
        "ROUTES",
        "RowProblem",
        "RowValue",
        "RowValues",
    ),
    "wigeonpoint.version._servers": (
        "BackendServer",
        "InstanceRecord",
        "owner_of",
        "rendezvous_weight",
    ),
    "wigeonpoint.version._state": (
        "ConfigurationState",
        "StateChange",
        "build_state",
        "raise_for_problems",
        "rows_digest",
        "state_from_document",
        "state_problems",
    ),
    "wigeonpoint.version._table_acceptance": ("TableAcceptance",),
}
__getattr__ = lazy_exports(__name__, _MODULES)

__all__ = [
    "DEFAULT_OBJECTIVE",
    "DEFAULT_TARGETS",
    "POOLS",
    "ROUTES",
    "DEFAULT_SHARES",
    "DEFAULT_TARGETS",
    "BackendServer",
    "CandidateLost",
    "Configuration",
    "ConfigurationState",
    "ConfigurationStore",
    "Durability",
    "Edit",
    "EditConflict",
    "EditRecord",
    "EditResult",
    "Editor",
    "GroupConfirmer",
    "GroupPhase",
    "GroupRecord",
    "GroupRecords",
    "GroupView",
    "Head",
    "InstanceRecord",
    "MemberDelta",
    "MemberState",
    "Membership",
    "NewPrimary",
    "Pool",
    "Promotion",
    "RankTarget",
    "Route",
    "RowChange",
    "RowProblem",
    "RowValue",
    "RowValues",
    "StateChange",
    "TableAcceptance",
    "build_state",
    "StoredRecord",
    "TermHistory",
    "TermStart",
    "member_statuses",
    "owner_of",
    "raise_for_problems",
    "rendezvous_weight",
    "rows_digest",
    "state_from_document",
    "state_problems",
]
