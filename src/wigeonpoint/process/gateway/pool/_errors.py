"""Refusals of requests for a connection; nothing was sent to the member."""

from __future__ import annotations

from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.version.catalogue import MemberRecord

MIN_RETRY_MS = 20
LEAVING_RETRY_MS = 300  # a change of primary that is under way takes about as long


def deadline_error(record: MemberRecord, wait_s: float) -> NotRun:
    """No connection is free in time.

    Args:
        record: The member.
        wait_s: Seconds after which one is expected to be free.
    """
    return NotRun(
        ResultCode.DEADLINE_UNREACHABLE,
        f"member {record.id} has no connection free in time",
        retry_after_ms=max(int(wait_s * 1000), MIN_RETRY_MS),
    )


def leaving_error(record: MemberRecord) -> NotRun:
    """The member announced its shutdown."""
    return NotRun(
        ResultCode.BACKEND_LEAVING,
        f"member {record.id} is leaving and takes no new statements",
        retry_after_ms=LEAVING_RETRY_MS,
    )


def unreachable_error(record: MemberRecord) -> NotRun:
    """The member does not answer."""
    return NotRun(
        ResultCode.BACKEND_UNREACHABLE,
        f"member {record.id} is not reachable",
        retry_after_ms=MIN_RETRY_MS,
    )
