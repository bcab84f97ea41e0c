"""Builds callers' replies from members' answers and from errors."""

from __future__ import annotations

from wigeonpoint.connection.session import MemberAnswer, MemberFault
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process.gateway.pool import MemberPool
from wigeonpoint.request.session import Refusal, Reply, refuse_statement

_UNAVAILABLE = frozenset(
    {
        ResultCode.BACKEND_UNREACHABLE,
        ResultCode.BACKEND_LEAVING,
        ResultCode.NO_PRIMARY,
        ResultCode.CONNECTION_LIMIT,
    }
)


def reply_for_answer(answer: MemberAnswer, pool: MemberPool) -> Reply:
    """Returns the reply for a member's complete answer.

    Args:
        answer: The answer.
        pool: Pool of the member, which tells when a caller that is refused should return.
    """
    if answer.fault is None:
        return Reply(rows=answer.rows, proof=answer.proof)
    if answer.fault is MemberFault.UNKNOWN_STATEMENT:
        return refuse_statement(Refusal.UNAVAILABLE, "prepared statement was lost; repeat it")
    if answer.fault.not_run:
        return refuse_statement(
            Refusal.OVERLOADED,
            f"not run: {answer.fault.name.lower()}",
            retry_after_ms=int(pool.wait.next_return_s() * 1000),
        )
    if answer.fault is MemberFault.TIMED_OUT:
        return refuse_statement(Refusal.TIMED_OUT, answer.detail)
    if answer.fault is MemberFault.MALFORMED:
        return refuse_statement(Refusal.MALFORMED, answer.detail)
    return refuse_statement(Refusal.FAILED, answer.detail)


def reply_for_error(error: NotRun) -> Reply:
    """Returns the refusal of a statement that was not sent to any member."""
    refusal = Refusal.UNAVAILABLE if error.code in _UNAVAILABLE else Refusal.OVERLOADED
    return refuse_statement(refusal, error.message, retry_after_ms=error.retry_after_ms)
