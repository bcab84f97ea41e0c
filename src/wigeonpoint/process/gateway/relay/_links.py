"""Sends messages to relays, and remembers which of them do not answer."""

from __future__ import annotations

import asyncio
from typing import Any, TypeVar

from wigeonpoint.connection import PeerTransport
from wigeonpoint.connection.session import EndpointHealth
from wigeonpoint.errors import (
    InvalidRequest,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    WigeonpointError,
)
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway.relay._messages import RelayPing, RelayReady

LATE_RELAY_PAUSE_S = 0.1
# A relay that fails after it has answered nothing for this long is disconnected, which ends the
# statements that wait for it.
SILENT_RELAY_S = 0.2
BACKGROUND_TIMEOUT_S = 0.5
PING_TIMEOUT_S = 0.25

# Refusals of a relay that does not answer or stops; it is not used for a while.
_RELAY_LOST = frozenset({ResultCode.PEER_UNREACHABLE, ResultCode.INSTANCE_STOPPING})
# Refusals for what this relay knows now; another relay may run the statement.
_RELAY_BEHIND = frozenset({ResultCode.NO_PRIMARY, ResultCode.NOT_OWNER})

ReplyT = TypeVar("ReplyT")


class RelayUnavailable(Exception):
    """A relay did not run a statement, for a reason that need not hold for other relays."""


class RelayLinks:
    """Links of this instance to the relays of all members.

    Args:
        transport: Sends messages; it should carry nothing else, as it is disconnected from relays
            that stay silent.
    """

    def __init__(self, transport: PeerTransport) -> None:
        self._transport = transport
        self._health: dict[str, EndpointHealth] = {}
        self._background: set[asyncio.Task[None]] = set()
        self._pings: dict[str, asyncio.Task[None]] = {}

    def usable(self, address: str) -> bool:
        """Whether a relay should be used now."""
        health = self._health.get(address)
        return health is None or health.may_connect

    async def request(
        self, address: str, message: Any, reply_type: type[ReplyT], *, timeout: float
    ) -> ReplyT:
        """Sends a message to a relay and waits for the reply.

        Args:
            address: Address of the relay.
            message: The message.
            reply_type: Type of the reply.
            timeout: Seconds to wait for the reply.

        Raises:
            RelayUnavailable: The relay has not run anything, and another one may.
            NotRun: The relay refused for a reason that holds for other relays too.
            OutcomeUnknown: There was no reply, or the relay does not know the outcome.
        """
        try:
            reply = await self._transport.request(address, message, reply_type, timeout=timeout)
        except NotRun as error:
            if error.code in _RELAY_LOST:
                self.note_failed(address, error.message)
                raise RelayUnavailable(error.message) from error
            self.note_answered(address)
            if error.code in _RELAY_BEHIND:
                raise RelayUnavailable(error.message) from error
            raise
        except InvalidRequest as error:  # an instance of an older version
            self.note_answered(address)
            raise RelayUnavailable(error.message) from error
        self.note_answered(address)
        return reply

    def send_in_background(self, address: str, message: Any, reply_type: type[Any]) -> None:
        """Sends a message whose reply nothing waits for."""
        task = asyncio.create_task(self._send(address, message, reply_type))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def note_answered(self, address: str) -> None:
        """Records an answer of a relay."""
        self._health_of(address).note_answer()

    def note_late(self, address: str, sent_at: float) -> None:
        """Has other relays used for a moment, and pings one that has answered nothing since.

        Args:
            address: Address of the relay.
            sent_at: Event-loop time, in seconds, at which the message was sent.
        """
        health = self._health_of(address)
        if health.answered_at is not None and health.answered_at > sent_at:
            return
        health.pause(LATE_RELAY_PAUSE_S)
        if address not in self._pings:
            self._pings[address] = asyncio.create_task(self._ping(address))

    def note_failed(self, address: str, reason: str) -> None:
        """Records that a relay does not answer or stops; ends what waits for a silent one."""
        health = self._health_of(address)
        if health.available:
            log_event(Event.RELAY_UNAVAILABLE, address=address, reason=reason)
        health.note_unreachable()
        now = asyncio.get_running_loop().time()
        if health.answered_at is None or now - health.answered_at >= SILENT_RELAY_S:
            self._transport.disconnect(address)

    def close(self) -> None:
        """Closes the links."""
        for task in (*self._background, *self._pings.values()):
            task.cancel()
        self._transport.close()

    def _health_of(self, address: str) -> EndpointHealth:
        health = self._health.get(address)
        if health is None:
            health = self._health[address] = EndpointHealth()
        return health

    async def _ping(self, address: str) -> None:
        try:
            await self.request(address, RelayPing(), RelayReady, timeout=PING_TIMEOUT_S)
        except RelayUnavailable:
            return  # recorded with the refusal
        except OutcomeUnknown:
            self.note_failed(address, "no answer to a ping in time")
        finally:
            self._pings.pop(address, None)

    async def _send(self, address: str, message: Any, reply_type: type[Any]) -> None:
        try:
            await self._transport.request(
                address, message, reply_type, timeout=BACKGROUND_TIMEOUT_S
            )
        except WigeonpointError as error:
            log_event(Event.RELAY_MESSAGE_LOST, address=address, reason=error.message)
