"""Refuses work at the entry for a moment after the owner has refused the same kind of work."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, TypeVar

from wigeonpoint.connection import BeginMessage, ExecuteMessage, PeerTransport, RequestContext
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.request import Rank

# A refusal holds for a part of the wait that the owner announces, so that the owner's queue cannot
# run empty meanwhile; with a fixed 0.1 s, 40 % of a flood still reached the owner.
MIN_HOLD_S = 0.1  # unless the announced wait is shorter
MAX_HOLD_S = 0.5
HOLD_PART = 0.25
MAX_HINTS = 4096
# Requests with the same deadline reach the entry's check with times left that differ by its own
# delays; without a tolerance a hint covers only about half of them.
TIME_LEFT_TOLERANCE = 1.05

ReplyT = TypeVar("ReplyT")
_Key = tuple[str, Rank, str]


@dataclass(frozen=True, slots=True)
class _Hint:
    """A refusal by the owner; it covers work with about as much time left or less."""

    until: float
    remaining_ms: float
    error: NotRun


class OverloadHints:
    """Peer transport that does not send work which its owner has just refused for overload.

    An owner spends more processor time on the message of refused work than on the refusal, so a
    flood that reached it would slow urgent work down. A hint covers one server, rank and caller,
    and work with hardly more time left than the refused one had.

    Args:
        transport: Sends messages to instances.
    """

    def __init__(self, transport: PeerTransport) -> None:
        self._transport = transport
        self._hints: dict[_Key, _Hint] = {}
        self.refused = 0

    async def request(
        self, address: str, message: Any, reply_type: type[ReplyT], *, timeout: float
    ) -> ReplyT:
        """Sends a message and waits for its reply; NotRun at once while a hint covers it."""
        if not isinstance(message, ExecuteMessage | BeginMessage):
            return await self._transport.request(address, message, reply_type, timeout=timeout)
        self._check(message.work)
        try:
            return await self._transport.request(address, message, reply_type, timeout=timeout)
        except NotRun as error:
            self._note(message.work, error)
            raise

    def disconnect(self, address: str) -> None:
        """Closes the connection to an instance."""
        self._transport.disconnect(address)

    def close(self) -> None:
        """Closes all connections."""
        self._transport.close()

    def _check(self, work: RequestContext) -> None:
        hint = self._hints.get(_key(work))
        if hint is None or hint.until <= asyncio.get_running_loop().time():
            return
        if work.remaining_ms <= hint.remaining_ms * TIME_LEFT_TOLERANCE:
            self.refused += 1
            error = hint.error
            raise NotRun(error.code, error.message, retry_after_ms=error.retry_after_ms)

    def _note(self, work: RequestContext, error: NotRun) -> None:
        if error.retry_after_ms is None:
            return
        if error.code not in (ResultCode.QUEUE_FULL, ResultCode.DEADLINE_UNREACHABLE):
            return
        if len(self._hints) >= MAX_HINTS:
            self._hints.clear()  # they last half a second at most, so nothing of worth is lost
        until = asyncio.get_running_loop().time() + _hold_s(error.retry_after_ms / 1000)
        self._hints[_key(work)] = _Hint(until, work.remaining_ms, error)


def _hold_s(wait_s: float) -> float:
    return min(max(wait_s * HOLD_PART, MIN_HOLD_S), wait_s, MAX_HOLD_S)


def _key(work: RequestContext) -> _Key:
    return work.server_id, work.rank, work.caller
