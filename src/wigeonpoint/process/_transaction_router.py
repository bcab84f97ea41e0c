"""The entry's side of transactions: begin at the primary's owner, then forward to it."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any, TypeVar

from wigeonpoint.backend import Exchange
from wigeonpoint.connection import (
    Acknowledgement,
    BeginMessage,
    BeginReply,
    CommitMessage,
    ExecuteReply,
    PeerTransport,
    RollbackMessage,
    Session,
    SessionTokens,
    StatementMessage,
    TransactionId,
    TransactionIds,
    WorkDetails,
)
from wigeonpoint.errors import InvalidRequest, NotRun, OutcomeUnknown, ResultCode
from wigeonpoint.process._router import ConfigurationLookup
from wigeonpoint.process._topology import Topology
from wigeonpoint.request import Access, Answer, Rank, Statement
from wigeonpoint.version import GroupView, Pool, Route

REQUEST_ID_BYTES = 12
OWNER_RETRY_S = 0.1

ReplyT = TypeVar("ReplyT")


class TransactionRouter:
    """Carries transactions of callers; an id names the owner, so any instance can forward.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to owners.
        tokens: Session tokens.
        ids: Transaction ids.
        configuration: Gives the configuration in force.
    """

    def __init__(
        self,
        topology: Topology,
        transport: PeerTransport,
        tokens: SessionTokens,
        ids: TransactionIds,
        configuration: ConfigurationLookup,
    ) -> None:
        self._topology = topology
        self._transport = transport
        self._tokens = tokens
        self._ids = ids
        self._configuration = configuration

    async def begin(
        self, route_name: str, *, rank: Rank, caller: str, deadline: float, session: str | None
    ) -> tuple[str, Answer]:
        """Opens a transaction on the primary of the route's group.

        Returns:
            The transaction id, and an answer with the session token to use in it.
        """
        route, pool = self._configuration().resolve(route_name)
        known = self._tokens.decode(session)
        group = self._topology.group(pool.group)
        while True:
            try:
                return await self._begin_once(route, pool, group, known, rank, caller, deadline)
            except NotRun as error:
                # While ownership moves, the instances' views differ for up to a second.
                moving = error.code in (ResultCode.NOT_OWNER, ResultCode.PEER_UNREACHABLE)
                if not moving or _remaining(deadline) <= OWNER_RETRY_S:
                    raise
            await asyncio.sleep(OWNER_RETRY_S)

    async def _begin_once(
        self,
        route: Route,
        pool: Pool,
        group: GroupView,
        known: Session,
        rank: Rank,
        caller: str,
        deadline: float,
    ) -> tuple[str, Answer]:
        primary = await group.require_primary()
        work = WorkDetails(
            pool=pool.name,
            group=group.name,
            server_id=primary.id,
            route=route.name,
            rank=rank,
            caller=caller,
            remaining_ms=_remaining(deadline) * 1000,
        )
        owner = self._topology.owner_of(primary)
        reply = await self._send(owner.address, BeginMessage(work, known.id), BeginReply, deadline)
        transaction = TransactionId(owner.address, reply.number, group.name, route.name)
        return self._ids.encode(transaction), Answer(session=self._tokens.encode(known))

    async def execute(
        self,
        transaction_id: str,
        statement: Statement,
        access: Access,
        *,
        session: str | None,
        deadline: float,
    ) -> Answer:
        """Runs a statement in a transaction."""
        transaction, known = self._identify(transaction_id, session)
        message = StatementMessage(
            number=transaction.number,
            session_id=known.id,
            exchange=Exchange(statement, read_only=access is Access.READ),
            remaining_ms=_remaining(deadline) * 1000,
        )
        reply = await self._send(transaction.address, message, ExecuteReply, deadline)
        # The session does not advance: the rows are provisional until the commit is confirmed.
        return Answer(rows=reply.rows, session=self._tokens.encode(known))

    async def commit(
        self, transaction_id: str, *, request_id: str | None, session: str | None, deadline: float
    ) -> Answer:
        """Commits a transaction and advances the session to the commit."""
        transaction, known = self._identify(transaction_id, session)
        request_id = request_id or secrets.token_urlsafe(REQUEST_ID_BYTES)
        message = CommitMessage(
            transaction.number, known.id, request_id, _remaining(deadline) * 1000
        )
        reply = await self._send(transaction.address, message, ExecuteReply, deadline)
        known.advance(transaction.group, reply.at)
        return Answer(
            session=self._tokens.encode(known), request_id=request_id, repeated=reply.repeated
        )

    async def rollback(
        self, transaction_id: str, *, session: str | None, deadline: float
    ) -> Answer:
        """Rolls a transaction back."""
        transaction, known = self._identify(transaction_id, session)
        message = RollbackMessage(transaction.number, known.id, _remaining(deadline) * 1000)
        await self._send(transaction.address, message, Acknowledgement, deadline)
        return Answer(session=self._tokens.encode(known))

    def _identify(self, transaction_id: str, session: str | None) -> tuple[TransactionId, Session]:
        if session is None:
            raise InvalidRequest(
                ResultCode.FOREIGN_TRANSACTION,
                "send the session token that the transaction was begun with",
            )
        return self._ids.decode(transaction_id), self._tokens.decode(session)

    async def _send(
        self, address: str, message: Any, reply_type: type[ReplyT], deadline: float
    ) -> ReplyT:
        try:
            return await self._transport.request(
                address, message, reply_type, timeout=_remaining(deadline)
            )
        except OutcomeUnknown:
            if isinstance(message, CommitMessage):
                raise
            raise NotRun(
                ResultCode.PEER_UNREACHABLE,
                "the transaction's owner did not answer; it rolls the transaction back",
            ) from None


def _remaining(deadline: float) -> float:
    remaining = deadline - asyncio.get_running_loop().time()
    if remaining <= 0:
        raise NotRun(ResultCode.DEADLINE_UNREACHABLE, "the deadline passed before sending")
    return remaining
