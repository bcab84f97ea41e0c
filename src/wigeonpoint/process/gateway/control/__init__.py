"""Control of a gateway: its peers, its lease for using primaries, and changes of primary."""

from __future__ import annotations

from wigeonpoint.process.gateway.control._announcement_handler import AnnouncementHandler
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._failover import Failover
from wigeonpoint.process.gateway.control._lease import (
    FLEET_VIEW_MAX_AGE_S,
    LEASE_DURATION_S,
    Lease,
)
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.process.gateway.control._member_notes import MemberNotes
from wigeonpoint.process.gateway.control._messages import GatewayState, KeyState
from wigeonpoint.process.gateway.control._peers import GatewayPeers, store_read_age_s
from wigeonpoint.process.gateway.control._policy import (
    LEADERLESS_AFTER_S,
    PrimaryView,
    ReplacementReason,
    choose_candidate,
    choose_coordinator,
    replacement_reason,
)
from wigeonpoint.process.gateway.control._quorum_leases import (
    QuorumLeases,
    blocks_old_quorum,
    quorum_confirms,
)
from wigeonpoint.process.gateway.control._records import (
    CONTROL_TABLE,
    QUOTA_ALLOCATOR_KEY,
    control_row,
    encode_record,
)
from wigeonpoint.process.gateway.control._watch_set import FULL_MESH_LIMIT, watch_set

__all__ = [
    "CONTROL_TABLE",
    "FLEET_VIEW_MAX_AGE_S",
    "LEADERLESS_AFTER_S",
    "LEASE_DURATION_S",
    "FULL_MESH_LIMIT",
    "AnnouncementHandler",
    "ControlState",
    "MemberNotes",
    "Lease",
    "Failover",
    "GatewayPeers",
    "GatewayState",
    "KeyState",
    "MemberControl",
    "QUOTA_ALLOCATOR_KEY",
    "QuorumLeases",
    "PrimaryView",
    "ReplacementReason",
    "blocks_old_quorum",
    "choose_candidate",
    "choose_coordinator",
    "store_read_age_s",
    "replacement_reason",
    "quorum_confirms",
    "control_row",
    "encode_record",
    "watch_set",
]
