"""Adapter for database groups whose members speak JSON over WebSocket.

Each statement connection is a WebSocket at `/session`, so that the server notices its end at once
and rolls its transaction back. Control calls to a member share one WebSocket at `/control`.
"""

from __future__ import annotations

from typing import Any

from pydantic import TypeAdapter

from wigeonpoint.backend._protocol import (
    BackendAnswer,
    BackendConnection,
    DatabaseMember,
    Exchange,
    MemberStatus,
)
from wigeonpoint.channel import JsonChannel
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode

_STATUS = TypeAdapter(MemberStatus)
_ANSWER = TypeAdapter(BackendAnswer)


class WebSocketConnection:
    """A statement connection; it is closed when an answer does not arrive."""

    def __init__(self, channel: JsonChannel) -> None:
        self._channel = channel

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer be used."""
        return self._channel.closed

    async def execute(self, exchange: Exchange, *, timeout: float) -> BackendAnswer:
        """Runs a statement, inside the open transaction if there is one."""
        return _ANSWER.validate_python(await self._call("execute", exchange, timeout))

    async def begin(self, *, timeout: float) -> int:
        """Opens a transaction and returns its term."""
        return int(await self._call("begin", None, timeout))

    async def settle(
        self, request_id: str, transaction_key: str, *, timeout: float
    ) -> BackendAnswer:
        """Determines at the primary whether a transaction has committed, and makes that final."""
        body = {"request_id": request_id, "transaction_key": transaction_key}
        return _ANSWER.validate_python(await self._call("settle", body, timeout))

    async def commit(
        self, request_id: str | None, transaction_key: str = "", *, timeout: float
    ) -> BackendAnswer:
        """Commits the open transaction and records the request id with it."""
        body = {"request_id": request_id, "transaction_key": transaction_key}
        return _ANSWER.validate_python(await self._call("commit", body, timeout))

    async def rollback(self, *, timeout: float) -> None:
        """Rolls the open transaction back."""
        await self._call("rollback", None, timeout)

    def close(self) -> None:
        """Closes the connection; an open transaction rolls back."""
        self._channel.close()

    async def _call(self, kind: str, body: Any, timeout: float) -> Any:
        answered = False
        try:
            result = await self._channel.request(kind, body, timeout=timeout)
            answered = True
            return result
        except (OutcomeUnknown, NotRun) as error:
            answered = error.code not in _UNANSWERED
            raise
        finally:
            if not answered:  # also if cancelled: a late answer must not reach the next request
                self._channel.close()


_UNANSWERED = {
    ResultCode.CONNECTION_LOST,
    ResultCode.DEADLINE_EXCEEDED,
    ResultCode.PEER_UNREACHABLE,
}


class WebSocketMember:
    """Control interface of one backend server over one persistent channel."""

    def __init__(self, address: str) -> None:
        self._url = f"ws://{address}/control"
        self._channel: JsonChannel | None = None

    async def status(self, *, timeout: float) -> MemberStatus:
        """Reports role, terms and log end."""
        return await self._call("status", None, timeout)

    async def fence(self, term: int, *, timeout: float) -> MemberStatus:
        """Makes the member refuse all lower terms."""
        return await self._call("fence", {"term": term}, timeout)

    async def promote(self, term: int, *, timeout: float) -> MemberStatus:
        """Makes the member primary of the term that it is fenced at."""
        return await self._call("promote", {"term": term}, timeout)

    async def _call(self, kind: str, body: Any, timeout: float) -> MemberStatus:
        if self._channel is None or self._channel.closed:
            self._channel = await self._open(timeout)
        try:
            return _STATUS.validate_python(await self._channel.request(kind, body, timeout=timeout))
        except OutcomeUnknown:
            self._channel.close()  # later calls must not wait on a channel to a stopped server
            raise

    async def _open(self, timeout: float) -> JsonChannel:
        try:
            return await JsonChannel.open(self._url, timeout=timeout)
        except NotRun as error:
            raise NotRun(ResultCode.BACKEND_UNREACHABLE, error.message) from error


class WebSocketBackend:
    """Opens connections and control channels to backend servers by address."""

    def __init__(self) -> None:
        self._members: dict[str, DatabaseMember] = {}

    def member(self, address: str) -> DatabaseMember:
        """The control interface of the server at an address (`host:port`)."""
        return self._members.setdefault(address, WebSocketMember(address))

    async def connect(self, address: str, *, timeout: float) -> BackendConnection:
        """Opens a statement connection."""
        try:
            channel = await JsonChannel.open(f"ws://{address}/session", timeout=timeout)
        except NotRun as error:
            if error.code == ResultCode.CONNECTION_LIMIT:
                raise
            raise NotRun(ResultCode.BACKEND_UNREACHABLE, error.message) from error
        return WebSocketConnection(channel)
