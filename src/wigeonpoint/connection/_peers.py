"""Requests between instances: the transport interface and its implementation over channels."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from pydantic import TypeAdapter, ValidationError

from wigeonpoint.channel import JsonChannel
from wigeonpoint.errors import InvalidRequest, NotRun, OutcomeUnknown, ResultCode

CONNECT_TIMEOUT_S = 1.0
PEER_KEY_HEADER = "X-Wigeonpoint-Peer-Key"

MessageT = TypeVar("MessageT")
ReplyT = TypeVar("ReplyT")


class PeerTransport(Protocol):
    """Sends typed messages to instances by address."""

    async def request(
        self, address: str, message: Any, reply_type: type[ReplyT], *, timeout: float
    ) -> ReplyT:
        """Sends a message and waits for its reply.

        Raises:
            NotRun: Nothing was sent, or the receiver refused.
            OutcomeUnknown: The message was sent and no reply arrived.
        """
        ...

    def disconnect(self, address: str) -> None:
        """Closes the connection to a dead instance; open requests fail with an unknown outcome."""
        ...

    def close(self) -> None:
        """Closes all connections."""
        ...


@dataclass(frozen=True, slots=True)
class _Handler:
    adapter: TypeAdapter[Any]
    handle: Callable[[Any], Awaitable[Any]]


class PeerDispatcher:
    """Routes messages of peers to the handler of their type."""

    def __init__(self) -> None:
        self._handlers: dict[str, _Handler] = {}

    def register(
        self, message_type: type[MessageT], handle: Callable[[MessageT], Awaitable[Any]]
    ) -> None:
        """Registers the handler of a message type."""
        self._handlers[message_type.__name__] = _Handler(TypeAdapter(message_type), handle)

    async def respond(self, kind: str, body: Any) -> Any:
        """Validates a message, passes it to its handler and returns the reply.

        Raises:
            InvalidRequest: INVALID_FIELD for a message that is unknown or does not validate.
        """
        handler = self._handlers.get(kind)
        if handler is None:
            raise InvalidRequest(ResultCode.INVALID_FIELD, f"unknown peer message {kind}")
        try:
            message = handler.adapter.validate_python(body)
        except ValidationError as error:
            raise InvalidRequest(
                ResultCode.INVALID_FIELD, f"peer message {kind} does not validate: {error}"
            ) from error
        return await handler.handle(message)

    async def deliver(self, message: Any) -> Any:
        """Passes a message that this instance sends to itself to its handler, without encoding it.

        Raises:
            InvalidRequest: INVALID_FIELD for an unknown message.
        """
        handler = self._handlers.get(type(message).__name__)
        if handler is None:
            raise InvalidRequest(
                ResultCode.INVALID_FIELD, f"unknown peer message {type(message).__name__}"
            )
        return await handler.handle(message)


class PeerChannels:
    """Peer transport over one long-lived channel for each address.

    Args:
        own_address: Address of this instance; messages to it need no connection.
        dispatcher: Handlers of this instance.
        peer_key: Secret shared by all instances, sent when a channel opens.
        compress: Whether to compress messages.
    """

    def __init__(
        self,
        own_address: str,
        dispatcher: PeerDispatcher,
        peer_key: str,
        *,
        compress: bool = False,
    ) -> None:
        self._own_address = own_address
        self._dispatcher = dispatcher
        self._headers = {PEER_KEY_HEADER: peer_key}
        self._compress = compress
        self._channels: dict[str, JsonChannel] = {}
        self._opening: dict[str, asyncio.Task[JsonChannel]] = {}
        self._adapters: dict[type[Any], TypeAdapter[Any]] = {}

    async def request(
        self, address: str, message: Any, reply_type: type[ReplyT], *, timeout: float
    ) -> ReplyT:
        """Sends a message and waits for its reply."""
        if address == self._own_address:
            reply: ReplyT = await self._dispatcher.deliver(message)
            return reply
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        try:
            async with asyncio.timeout_at(deadline):
                channel = await self._channel(address)
        except TimeoutError as error:
            raise NotRun(
                ResultCode.PEER_UNREACHABLE, f"connecting to {address} timed out"
            ) from error
        remaining = max(deadline - loop.time(), 0.0)
        body = await channel.request(type(message).__name__, message, timeout=remaining)
        try:
            decoded: ReplyT = self._adapter(reply_type).validate_python(body)
        except ValidationError as error:
            raise OutcomeUnknown(
                ResultCode.INTERNAL, f"the reply of {address} does not validate: {error}"
            ) from error
        return decoded

    def disconnect(self, address: str) -> None:
        """Closes the channel to a dead instance.

        A failed machine sends nothing, so open requests would otherwise wait for their deadlines.
        A connection attempt is cancelled too: behind a network partition its first packet is lost
        and is sent again only after a second.
        """
        opening = self._opening.pop(address, None)
        if opening is not None:
            opening.cancel()
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes all channels."""
        for opening in self._opening.values():
            opening.cancel()
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _channel(self, address: str) -> JsonChannel:
        channel = self._channels.get(address)
        if channel is not None and not channel.closed:
            return channel
        opening = self._opening.get(address)
        if opening is None:
            opening = asyncio.create_task(self._open(address))
            opening.add_done_callback(_retrieve_exception)
            self._opening[address] = opening
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            if not opening.cancelled():
                raise
            # Only the connection attempt was cancelled; requests that wait for it fail instead.
            raise NotRun(
                ResultCode.PEER_UNREACHABLE, f"the connection attempt to {address} was cancelled"
            ) from None

    async def _open(self, address: str) -> JsonChannel:
        try:
            channel = await JsonChannel.open(
                f"ws://{address}/peer",
                timeout=CONNECT_TIMEOUT_S,
                headers=self._headers,
                compress=self._compress,
            )
        finally:
            if self._opening.get(address) is asyncio.current_task():
                del self._opening[address]
        self._channels[address] = channel
        return channel

    def _adapter(self, reply_type: type[Any]) -> TypeAdapter[Any]:
        adapter = self._adapters.get(reply_type)
        if adapter is None:
            # Building an adapter takes 1 ms or more; setdefault would build one on each call.
            adapter = self._adapters[reply_type] = TypeAdapter(reply_type)
        return adapter


def _retrieve_exception(task: asyncio.Task[Any]) -> None:
    """Marks the failure of a task as known, as the requests that waited may all have given up.

    Those that still wait raise it; otherwise the event loop would log a traceback of its own.
    """
    if not task.cancelled():
        task.exception()
