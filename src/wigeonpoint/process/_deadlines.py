"""Deadlines: event-loop times, in seconds; messages carry the remaining time instead."""

from __future__ import annotations

import asyncio

from wigeonpoint.errors import NotRun, ResultCode

RETRY_AFTER_MS = 100


def deadline_in(remaining_ms: float) -> float:
    """Deadline of a message that arrives now with this remaining time."""
    return asyncio.get_running_loop().time() + remaining_ms / 1000


def remaining_s(deadline: float) -> float:
    """Seconds until a deadline.

    Raises:
        NotRun: DEADLINE_UNREACHABLE when it has passed. Nothing must be sent then.
    """
    remaining = deadline - asyncio.get_running_loop().time()
    if remaining <= 0:
        raise deadline_passed_error("the deadline passed before sending")
    return remaining


def deadline_passed_error(message: str) -> NotRun:
    """Returns the error for a request of which nothing was sent before its deadline."""
    return NotRun(ResultCode.DEADLINE_UNREACHABLE, message, retry_after_ms=RETRY_AFTER_MS)
