"""Connections of this instance to members: pools, their limits, and how instances share members."""

from __future__ import annotations

from wigeonpoint.process.gateway.pool._connection_quota import largest_use
from wigeonpoint.process.gateway.pool._member_pool import UNLIMITED_STATEMENTS, MemberPool
from wigeonpoint.process.gateway.pool._member_sharing import MemberSharing, relay_count
from wigeonpoint.process.gateway.pool._unanswered import MIN_LATE_S

__all__ = [
    "MIN_LATE_S",
    "UNLIMITED_STATEMENTS",
    "MemberPool",
    "MemberSharing",
    "largest_use",
    "relay_count",
]
