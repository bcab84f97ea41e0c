"""Sends statements to the owners of backend servers, and cancels those that time out."""

from __future__ import annotations

import itertools
import secrets

from wigeonpoint.backend import BackendAnswer, Exchange
from wigeonpoint.connection import (
    CancelMessage,
    CancelReply,
    ExecuteMessage,
    PeerTransport,
    RequestContext,
)
from wigeonpoint.errors import OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.process._attempt import RequestAttempt
from wigeonpoint.process._deadlines import deadline_passed_error
from wigeonpoint.process._topology import Topology
from wigeonpoint.request import Access
from wigeonpoint.version import BackendServer

CANCEL_TIMEOUT_S = 0.1
ATTEMPT_TIMEOUT_SHARE = (
    0.5  # of the remaining time, so that a retry is possible after a lost answer
)
REPLY_GRACE_S = 0.01  # time for a refusal that the owner sends at the deadline to arrive
MESSAGE_ID_PREFIX_BYTES = 6


class StatementSender:
    """Sends single statements to owners.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to owners.
    """

    def __init__(self, topology: Topology, transport: PeerTransport) -> None:
        self._topology = topology
        self._transport = transport
        self._message_id_prefix = secrets.token_urlsafe(MESSAGE_ID_PREFIX_BYTES)
        self._message_numbers = itertools.count(1)
        self._cancelled = 0

    @property
    def cancelled(self) -> int:
        """Number of statements whose cancellation an owner has confirmed."""
        return self._cancelled

    async def send(
        self, attempt: RequestAttempt, server: BackendServer, *, confirm: bool
    ) -> BackendAnswer:
        """Sends one attempt and waits for the owner's answer.

        Raises:
            WigeonpointError: The owner refused, or the outcome is unknown. An attempt that timed
                out counts as not run only if the owner confirms that it was cancelled.
        """
        timeout = attempt.remaining_time_s * ATTEMPT_TIMEOUT_SHARE
        message = self._build_message(attempt, server, timeout, confirm=confirm)
        address = self._topology.owner_of(server).address
        try:
            return await self._transport.request(
                address, message, BackendAnswer, timeout=timeout + REPLY_GRACE_S
            )
        except OutcomeUnknown as error:
            if error.code == ResultCode.DEADLINE_EXCEEDED and await self._cancel(address, message):
                raise deadline_passed_error(
                    f"{server.id} did not start the statement in time; it was cancelled"
                ) from error
            raise

    async def _cancel(self, address: str, message: ExecuteMessage) -> bool:
        try:
            reply = await self._transport.request(
                address,
                CancelMessage(message.work.server_id, message.message_id),
                CancelReply,
                timeout=CANCEL_TIMEOUT_S,
            )
        except WigeonpointError:
            return False
        removed = reply.known and not reply.sent
        self._cancelled += removed
        return removed

    def _build_message(
        self, attempt: RequestAttempt, server: BackendServer, timeout: float, *, confirm: bool
    ) -> ExecuteMessage:
        request = attempt.request
        return ExecuteMessage(
            work=RequestContext(
                pool=attempt.pool.name,
                group=attempt.group.name,
                server_id=server.id,
                route=attempt.route.name,
                rank=request.rank,
                caller=request.caller,
                remaining_ms=timeout * 1000,
                accept_any=attempt.accept_any,
            ),
            exchange=Exchange(
                request.statement,
                read_only=request.access is Access.READ,
                request_id=attempt.request_id,
            ),
            confirm=confirm,
            durability=attempt.pool.durability,
            required=attempt.required,
            message_id=f"{self._message_id_prefix}-{next(self._message_numbers)}",
        )
