"""Quotas of customers over all instances: the allocator, allowances and the gate."""

from __future__ import annotations

from wigeonpoint.process.gateway.quota._service import QuotaService
from wigeonpoint.process.gateway.quota._totals import QuotaTotals

__all__ = ["QuotaService", "QuotaTotals"]
