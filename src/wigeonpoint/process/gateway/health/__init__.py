"""Health of the members by their answers, shared between instances."""

from __future__ import annotations

from wigeonpoint.process.gateway.health._group_health import GroupHealth
from wigeonpoint.process.gateway.health._messages import MemberFailures

__all__ = ["GroupHealth", "MemberFailures"]
