"""What lives for a request: statements, answers and their decisions."""

from __future__ import annotations

from wigeonpoint.request._answer import Answer
from wigeonpoint.request._statement import Access, Rank, Statement, StatementRequest

__all__ = ["Access", "Answer", "Rank", "Statement", "StatementRequest"]
