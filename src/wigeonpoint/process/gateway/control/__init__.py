"""Control of a gateway: its peers, its evidence for using primaries, and changes of primary."""

from __future__ import annotations

from wigeonpoint.process.gateway.control._announcements import Announcements
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._evidence import EVIDENCE_LIFE_S, Clock, Evidence
from wigeonpoint.process.gateway.control._failover import Failover
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.process.gateway.control._member_evidence import (
    MemberEvidence,
    blocks_evidence,
    vouched,
)
from wigeonpoint.process.gateway.control._messages import GatewayState
from wigeonpoint.process.gateway.control._peers import GatewayPeers, evidence_age_s
from wigeonpoint.process.gateway.control._policy import (
    PrimaryView,
    ReplacementReason,
    choose_candidate,
    choose_coordinator,
    replacement_reason,
)
from wigeonpoint.process.gateway.control._records import CONTROL_TABLE
from wigeonpoint.process.gateway.control._watchlist import FULL_MESH, watched_peers

__all__ = [
    "CONTROL_TABLE",
    "EVIDENCE_LIFE_S",
    "FULL_MESH",
    "Announcements",
    "Clock",
    "ControlState",
    "Evidence",
    "Failover",
    "GatewayPeers",
    "GatewayState",
    "MemberControl",
    "MemberEvidence",
    "PrimaryView",
    "ReplacementReason",
    "blocks_evidence",
    "choose_candidate",
    "choose_coordinator",
    "evidence_age_s",
    "replacement_reason",
    "vouched",
    "watched_peers",
]
