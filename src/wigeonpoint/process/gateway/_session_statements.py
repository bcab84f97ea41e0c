"""Answers of a session whose transaction has failed."""

from __future__ import annotations

from wigeonpoint.connection.session import CallerSession
from wigeonpoint.request.session import Refusal, Reply, refuse_statement

EMPTY_REPLY = Reply()


def answer_in_failed_transaction(session: CallerSession) -> Reply:
    """Refuses a statement of a failed transaction that does not end it."""
    if session.abort_unreported:
        session.abort_unreported = False
        return refuse_statement(Refusal.ABORTED, "the transaction was rolled back")
    return refuse_statement(Refusal.MALFORMED, "the transaction has failed; end it")
