"""The entry's side of transactions: begin at the primary's owner, then forward to it."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import replace
from typing import Any, TypeVar

from wigeonpoint.backend import BackendAnswer, Exchange
from wigeonpoint.connection import (
    Acknowledgement,
    BeginMessage,
    BeginReply,
    CommitMessage,
    PeerTransport,
    RequestContext,
    RollbackMessage,
    Session,
    SessionTokens,
    StatementMessage,
    StatementSequence,
    TransactionId,
    TransactionIds,
)
from wigeonpoint.errors import (
    InvalidRequest,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    WigeonpointError,
)
from wigeonpoint.process._attempt import (
    ATTEMPTS_BEFORE_ACCEPT_ANY,
    RETRYABLE_CODES,
    budget_exhausted_error,
)
from wigeonpoint.process._commit_resolution import CommitResolution
from wigeonpoint.process._deadlines import remaining_s
from wigeonpoint.process._router import ConfigurationLookup
from wigeonpoint.process._topology import Topology
from wigeonpoint.request import Access, Answer, Rank, RetryBudgets, Statement
from wigeonpoint.version import GroupView, Pool

REQUEST_ID_BYTES = 12
COMMIT_SHARE = 0.5  # of the remaining time; the rest is for looking a lost answer up
ROLLBACK_TIMEOUT_S = 0.1
_TRANSACTION_ENDED = (
    ResultCode.UNKNOWN_TRANSACTION,
    ResultCode.FOREIGN_TRANSACTION,
    ResultCode.TRANSACTION_SEQUENCE,
)
_OWNER_LOST = (ResultCode.PEER_UNREACHABLE, ResultCode.BACKEND_UNREACHABLE)

ReplyT = TypeVar("ReplyT")


class TransactionRouter:
    """Carries transactions of callers; an id names the owner, so any instance can forward.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to owners.
        tokens: Session tokens.
        ids: Transaction ids.
        configuration: Gives the configuration in force.
        budgets: Retry budgets, shared with the single statements of the instance.
    """

    def __init__(
        self,
        topology: Topology,
        transport: PeerTransport,
        tokens: SessionTokens,
        ids: TransactionIds,
        configuration: ConfigurationLookup,
        *,
        budgets: RetryBudgets | None = None,
    ) -> None:
        self._topology = topology
        self._transport = transport
        self._tokens = tokens
        self._ids = ids
        self._configuration = configuration
        self._budgets = budgets or RetryBudgets()
        self._resolution = CommitResolution(topology, transport, self._budgets)

    async def begin(
        self, route_name: str, *, rank: Rank, caller: str, deadline: float, session: str | None
    ) -> tuple[str, Answer]:
        """Opens a transaction on the primary of the route's group; retried while it did not run.

        Returns:
            The transaction id, and an answer with the session token to use in it.
        """
        route, pool = self._configuration().resolve(route_name)
        known = self._tokens.decode(session)
        group = self._topology.group(pool.group)
        budget = self._budgets.of(route.name)
        budget.note_request()
        count = 0
        while True:
            work = RequestContext(
                pool=pool.name,
                group=group.name,
                server_id="",
                route=route.name,
                rank=rank,
                caller=caller,
                remaining_ms=remaining_s(deadline) * 1000,
                accept_any=count >= ATTEMPTS_BEFORE_ACCEPT_ANY,
            )
            try:
                transaction = await self._begin_once(work, group, known, deadline)
            except WigeonpointError as error:
                if error.code not in RETRYABLE_CODES:
                    raise
                count += 1
                pause = self._budgets.pause(count)
                if asyncio.get_running_loop().time() + pause >= deadline:
                    raise
                if not budget.take():
                    raise budget_exhausted_error(error, route.name) from error
                await asyncio.sleep(pause)
                continue
            return self._ids.encode(transaction), Answer(session=self._tokens.encode(known))

    async def _begin_once(
        self, work: RequestContext, group: GroupView, known: Session, deadline: float
    ) -> TransactionId:
        primary = await group.require_primary()
        owner = self._topology.owner_of(primary)
        message = BeginMessage(replace(work, server_id=primary.id), known.id)
        try:
            reply = await self._send(owner.address, message, BeginReply, deadline)
        except WigeonpointError as error:
            if error.code in (ResultCode.NOT_PRIMARY, ResultCode.BACKEND_UNREACHABLE):
                group.forget_primary(primary.id)
            raise
        return TransactionId(
            owner.address, reply.number, group.name, work.route, reply.term, primary.id
        )

    async def execute(
        self,
        transaction_id: str,
        statement: Statement,
        access: Access,
        *,
        session: str | None,
        deadline: float,
        sequence: int | None = None,
    ) -> Answer:
        """Runs a statement in a transaction.

        Args:
            transaction_id: Id from the previous answer of the transaction.
            statement: The statement.
            access: Read or write.
            session: Session token.
            deadline: Event-loop time after which the answer is of no use.
            sequence: Requests that the caller has sent in the transaction, this one included.
                Callers over HTTP always give it; without it the place is not checked.

        Returns:
            The rows, and the id for the next request.
        """
        transaction, known = self._identify(transaction_id, session)
        message = StatementMessage(
            number=transaction.number,
            session_id=known.id,
            exchange=Exchange(statement, read_only=access is Access.READ),
            remaining_ms=remaining_s(deadline) * 1000,
            sequence=_sequence(transaction, sequence),
        )
        following = self._ids.encode(replace(transaction, answered=transaction.answered + 1))
        try:
            reply = await self._send(transaction.address, message, BackendAnswer, deadline)
        except InvalidRequest as error:
            # The server itself refused the statement, so the owner has counted it.
            if error.code not in _TRANSACTION_ENDED:
                error.transaction = following
            raise
        # The session does not advance: the rows are provisional until the commit is confirmed.
        return Answer(rows=reply.rows, session=self._tokens.encode(known), transaction=following)

    async def commit(
        self,
        transaction_id: str,
        *,
        request_id: str | None,
        session: str | None,
        deadline: float,
        sequence: int | None = None,
    ) -> Answer:
        """Commits a transaction and advances the session to the commit.

        The sequence counts the commit too, so that a statement which did not arrive is missed.
        """
        transaction, known = self._identify(transaction_id, session)
        given = request_id is not None
        request_id = request_id or secrets.token_urlsafe(REQUEST_ID_BYTES)
        _, pool = self._configuration().resolve(transaction.route)
        message = CommitMessage(
            transaction.number,
            known.id,
            request_id,
            remaining_s(deadline) * COMMIT_SHARE * 1000,
            sequence=_sequence(transaction, sequence),
            pool=pool.name,
        )
        try:
            reply = await self._commit(transaction, pool, message, deadline, given=given)
        except OutcomeUnknown as error:
            error.request_id = request_id
            raise
        known.advance(transaction.group, reply.at)
        return Answer(
            session=self._tokens.encode(known), request_id=request_id, repeated=reply.repeated
        )

    async def _commit(
        self,
        transaction: TransactionId,
        pool: Pool,
        message: CommitMessage,
        deadline: float,
        *,
        given: bool,
    ) -> BackendAnswer:
        """Commits, and looks the recorded answer up when the owner's answer is lost."""
        try:
            return await self._transport.request(
                transaction.address, message, BackendAnswer, timeout=message.remaining_ms / 1000
            )
        except OutcomeUnknown:
            pass
        except NotRun as error:
            # The owner cannot be reached, so nothing was sent now; an earlier commit under an id
            # that the caller gave may have taken effect all the same.
            if not given:
                raise _rolled_back(error.message) from error
        except InvalidRequest as error:
            if error.code != ResultCode.UNKNOWN_TRANSACTION or not given:
                raise
        return await self._resolution.resolve(transaction, pool, message.request_id, deadline)

    async def rollback(
        self, transaction_id: str, *, session: str | None, deadline: float
    ) -> Answer:
        """Rolls a transaction back."""
        transaction, known = self._identify(transaction_id, session)
        message = RollbackMessage(transaction.number, known.id, remaining_s(deadline) * 1000)
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
                address, message, reply_type, timeout=remaining_s(deadline)
            )
        except OutcomeUnknown as error:
            if isinstance(message, BeginMessage):
                # A transaction that was opened without the caller's knowledge holds no changes.
                raise NotRun(
                    ResultCode.PEER_UNREACHABLE, "the owner did not answer; begin again"
                ) from error
            if isinstance(message, StatementMessage):
                await self._roll_back_lost(address, message)
            raise _rolled_back("the answer to a statement was lost") from error
        except NotRun as error:
            if isinstance(message, BeginMessage) or error.code not in _OWNER_LOST:
                raise
            raise _rolled_back(error.message) from error

    async def _roll_back_lost(self, address: str, message: StatementMessage) -> None:
        """Ends a transaction whose statement has no answer, so that it cannot be committed."""
        rollback = RollbackMessage(message.number, message.session_id, ROLLBACK_TIMEOUT_S * 1000)
        try:
            await self._transport.request(
                address, rollback, Acknowledgement, timeout=ROLLBACK_TIMEOUT_S
            )
        except WigeonpointError:
            return  # closed connections and the idle timeout roll it back


def _sequence(transaction: TransactionId, number: int | None) -> StatementSequence | None:
    return None if number is None else StatementSequence(number, transaction.answered)


def _rolled_back(reason: str) -> NotRun:
    return NotRun(
        ResultCode.TRANSACTION_LOST, f"the transaction was rolled back; begin it again: {reason}"
    )
