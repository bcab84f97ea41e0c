"""Decisions without sockets, tasks or tables; callers pass the time in."""

from __future__ import annotations

from wigeonpoint.process.policy._allocator_election import AllocatorElection
from wigeonpoint.process.policy._allowances import (
    ALLOCATOR_RIGHT_S,
    ALLOWANCE_LEASE_S,
    Allowance,
    AllowanceRequest,
    AllowancesRenewed,
    RenewAllowances,
    operations_per_window,
)
from wigeonpoint.process.policy._answer_counts import AnswerCounts
from wigeonpoint.process.policy._byte_budget import ByteBudget
from wigeonpoint.process.policy._caller_limits import CallerLimits, peer_connections_for_machine
from wigeonpoint.process.policy._connection_choice import (
    ConnectionUse,
    OpenConnection,
    connection_to_close,
)
from wigeonpoint.process.policy._ejection import EjectionReason
from wigeonpoint.process.policy._fair_division import fair_level
from wigeonpoint.process.policy._instance_quota import InstanceQuota
from wigeonpoint.process.policy._message_admission import MessageAdmission
from wigeonpoint.process.policy._outlier_detector import EjectionChange, OutlierDetector
from wigeonpoint.process.policy._quota_allocator import QuotaAllocator
from wigeonpoint.process.policy._remote_share import RemoteShare
from wigeonpoint.process.policy._return_schedule import ReturnSchedule
from wigeonpoint.process.policy._sliding_window import SlidingWindow
from wigeonpoint.process.policy._slot_shares import RelayDemand, SlotShares

__all__ = [
    "ALLOCATOR_RIGHT_S",
    "ALLOWANCE_LEASE_S",
    "AllocatorElection",
    "Allowance",
    "AllowanceRequest",
    "AllowancesRenewed",
    "AnswerCounts",
    "ByteBudget",
    "CallerLimits",
    "ConnectionUse",
    "EjectionChange",
    "EjectionReason",
    "InstanceQuota",
    "MessageAdmission",
    "OpenConnection",
    "OutlierDetector",
    "QuotaAllocator",
    "RelayDemand",
    "RemoteShare",
    "RenewAllowances",
    "ReturnSchedule",
    "SlidingWindow",
    "SlotShares",
    "connection_to_close",
    "fair_level",
    "operations_per_window",
    "peer_connections_for_machine",
]
