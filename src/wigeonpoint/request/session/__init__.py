"""Statements of a session and their replies, independent of the protocol that carries them."""

from __future__ import annotations

from wigeonpoint.request.session._reply import Refusal, Reply, refuse_statement
from wigeonpoint.request.session._statement import (
    PreparedStatement,
    SessionStatement,
    TransactionState,
    Verb,
)

__all__ = [
    "PreparedStatement",
    "Refusal",
    "Reply",
    "SessionStatement",
    "TransactionState",
    "Verb",
    "refuse_statement",
]
