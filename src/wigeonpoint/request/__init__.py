"""Objects that live as long as a request: statements, answers, request bodies, retry budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpoint._lazy import lazy_exports
from wigeonpoint.request._answer import Answer
from wigeonpoint.request._retry_budget import RetryBudget, RetryBudgets
from wigeonpoint.request._statement import Access, Rank, Statement, StatementRequest

if TYPE_CHECKING:
    from wigeonpoint.request._models import (
        BeginBody,
        CommitBody,
        RollbackBody,
        StatementBody,
        TransactionStatementBody,
        parse_body,
    )

_MODULES = {
    "wigeonpoint.request._models": (
        "BeginBody",
        "CommitBody",
        "RollbackBody",
        "StatementBody",
        "TransactionStatementBody",
        "parse_body",
    ),
}
__getattr__ = lazy_exports(__name__, _MODULES)

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
