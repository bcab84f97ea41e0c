"""What lives for a request: statements, answers and their decisions."""

from __future__ import annotations

from wigeonpoint.request._answer import Answer
from wigeonpoint.request._models import (
    BeginBody,
    CommitBody,
    RollbackBody,
    StatementBody,
    TransactionStatementBody,
    parse_body,
)
from wigeonpoint.request._retry_budget import RetryBudget, RetryBudgets
from wigeonpoint.request._statement import Access, Rank, Statement, StatementRequest

__all__ = [
    "Access",
    "Answer",
    "BeginBody",
    "CommitBody",
    "Rank",
    "RetryBudget",
    "RetryBudgets",
    "RollbackBody",
    "Statement",
    "StatementBody",
    "StatementRequest",
    "TransactionStatementBody",
    "parse_body",
]
