"""Refuses requests locally for a short time after their owner refused similar ones."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, TypeVar

from wigeonpoint.connection import BeginMessage, ExecuteMessage, PeerTransport, RequestContext
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.request import Rank

# A hint lasts for a share of the retry time that the owner states, so that the owner's queue cannot
# run empty in the meantime. With a fixed 0.1 s, 40 % of a flood still reached the owner.
MIN_HOLD_S = 0.1  # less if the stated retry time is shorter
MAX_HOLD_S = 0.5
HOLD_SHARE = 0.25
MAX_HINTS = 4096
# Delays on this instance make the remaining times of requests with equal deadlines differ. Without
# a tolerance a hint covers only about half of them.
TIME_LEFT_TOLERANCE = 1.05

ReplyT = TypeVar("ReplyT")
_Key = tuple[str, Rank, str]


@dataclass(frozen=True, slots=True)
class _Hint:
    """A refusal by the owner; it covers requests with about as much remaining time or less."""

    expires_at: float
    remaining_ms: float
    error: NotRun


class OverloadHints:
    """Peer transport that holds back requests like those that an overloaded owner just refused.

    Receiving a message costs an owner more processor time than refusing it, so a flood of messages
    would slow urgent requests down even if all were refused. A hint covers one server, rank and
    caller, and requests with hardly more remaining time than the refused one had.

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
        """Sends a message and waits for its reply.

        Raises:
            NotRun: At once, with the error of the earlier refusal, while a hint covers the message.
        """
        if not isinstance(message, ExecuteMessage | BeginMessage):
            return await self._transport.request(address, message, reply_type, timeout=timeout)
        self._raise_if_hinted(message.work)
        try:
            return await self._transport.request(address, message, reply_type, timeout=timeout)
        except NotRun as error:
            self._record_refusal(message.work, error)
            raise

    def disconnect(self, address: str) -> None:
        """Closes the connection to an instance."""
        self._transport.disconnect(address)

    def close(self) -> None:
        """Closes all connections."""
        self._transport.close()

    def _raise_if_hinted(self, context: RequestContext) -> None:
        hint = self._hints.get(_key(context))
        if hint is None or hint.expires_at <= asyncio.get_running_loop().time():
            return
        if context.remaining_ms <= hint.remaining_ms * TIME_LEFT_TOLERANCE:
            self.refused += 1
            error = hint.error
            raise NotRun(error.code, error.message, retry_after_ms=error.retry_after_ms)

    def _record_refusal(self, context: RequestContext, error: NotRun) -> None:
        if error.retry_after_ms is None:
            return
        if error.code not in (ResultCode.QUEUE_FULL, ResultCode.DEADLINE_UNREACHABLE):
            return
        if len(self._hints) >= MAX_HINTS:
            self._hints.clear()  # they expire within half a second anyway
        expires_at = asyncio.get_running_loop().time() + _hold_s(error.retry_after_ms / 1000)
        self._hints[_key(context)] = _Hint(expires_at, context.remaining_ms, error)


def _hold_s(wait_s: float) -> float:
    return min(max(wait_s * HOLD_SHARE, MIN_HOLD_S), wait_s, MAX_HOLD_S)


def _key(context: RequestContext) -> _Key:
    return context.server_id, context.rank, context.caller
