"""Runs callers' transactions on the receiving instance by forwarding them to the owner."""

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
from wigeonpoint.process._commit_resolver import CommitResolver
from wigeonpoint.process._deadlines import remaining_s
from wigeonpoint.process._router import ConfigurationLookup
from wigeonpoint.process._topology import Topology
from wigeonpoint.request import Access, Answer, Rank, RetryBudgets, Statement
from wigeonpoint.version import GroupView, Pool

REQUEST_ID_BYTES = 12
COMMIT_TIMEOUT_SHARE = 0.5  # of the remaining time; the rest is for resolving a lost answer
ROLLBACK_TIMEOUT_S = 0.1
_TRANSACTION_ENDED_CODES = (
    ResultCode.UNKNOWN_TRANSACTION,
    ResultCode.FOREIGN_TRANSACTION,
    ResultCode.TRANSACTION_SEQUENCE,
)
_OWNER_LOST_CODES = (ResultCode.PEER_UNREACHABLE, ResultCode.BACKEND_UNREACHABLE)

ReplyT = TypeVar("ReplyT")


class TransactionRouter:
    """Forwards transactions of callers to owners.

    The transaction id names the owner, so any instance can forward the next request.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to owners.
        tokens: Session tokens.
        ids: Transaction ids.
        configuration: Returns the active configuration.
        budgets: Retry budgets, shared with the single statements on the instance.
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
        self._commit_resolver = CommitResolver(topology, transport, self._budgets)

    async def begin(
        self, route_name: str, *, rank: Rank, caller: str, deadline: float, session: str | None
    ) -> tuple[str, Answer]:
        """Opens a transaction on the primary of the route's group; retries refused attempts.

        Returns:
            The transaction id, and an answer with the session token to use in the transaction.
        """
        route, pool = self._configuration().resolve(route_name)
        session_state = self._tokens.decode(session)
        group = self._topology.group(pool.group)
        budget = self._budgets.of(route.name)
        budget.note_request()
        failed_attempts = 0
        while True:
            context = RequestContext(
                pool=pool.name,
                group=group.name,
                server_id="",
                route=route.name,
                rank=rank,
                caller=caller,
                remaining_ms=remaining_s(deadline) * 1000,
                accept_any=failed_attempts >= ATTEMPTS_BEFORE_ACCEPT_ANY,
            )
            try:
                transaction = await self._try_begin(context, group, session_state, deadline)
            except WigeonpointError as error:
                if error.code not in RETRYABLE_CODES:
                    raise
                failed_attempts += 1
                pause_s = self._budgets.pause(failed_attempts)
                if asyncio.get_running_loop().time() + pause_s >= deadline:
                    raise
                if not budget.take():
                    raise budget_exhausted_error(error, route.name) from error
                await asyncio.sleep(pause_s)
                continue
            return self._ids.encode(transaction), Answer(session=self._tokens.encode(session_state))

    async def _try_begin(
        self, context: RequestContext, group: GroupView, session_state: Session, deadline: float
    ) -> TransactionId:
        primary = await group.require_primary()
        owner = self._topology.owner_of(primary)
        message = BeginMessage(replace(context, server_id=primary.id), session_state.id)
        try:
            reply = await self._send(owner.address, message, BeginReply, deadline)
        except WigeonpointError as error:
            if error.code in (ResultCode.NOT_PRIMARY, ResultCode.BACKEND_UNREACHABLE):
                group.forget_primary(primary.id)
            raise
        return TransactionId(
            owner.address, reply.number, group.name, context.route, reply.term, primary.id
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
            deadline: Event-loop time, in seconds, after which the answer is useless.
            sequence: Number of requests that the caller has sent in the transaction, including this
                one. HTTP callers always give it; without it the order is not checked.

        Returns:
            The rows, and the id for the next request.
        """
        transaction, session_state = self._decode(transaction_id, session)
        message = StatementMessage(
            number=transaction.number,
            session_id=session_state.id,
            exchange=Exchange(statement, read_only=access is Access.READ),
            remaining_ms=remaining_s(deadline) * 1000,
            sequence=_statement_sequence(transaction, sequence),
        )
        next_id = self._ids.encode(replace(transaction, answered=transaction.answered + 1))
        try:
            reply = await self._send(transaction.address, message, BackendAnswer, deadline)
        except InvalidRequest as error:
            # The backend server refused the statement, so the owner has counted it.
            if error.code not in _TRANSACTION_ENDED_CODES:
                error.transaction = next_id
            raise
        # The session does not advance: the rows stay provisional until the commit is confirmed.
        return Answer(
            rows=reply.rows, session=self._tokens.encode(session_state), transaction=next_id
        )

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

        The sequence counts the commit too, so that the owner notices a lost statement.
        """
        transaction, session_state = self._decode(transaction_id, session)
        id_from_caller = request_id is not None
        request_id = request_id or secrets.token_urlsafe(REQUEST_ID_BYTES)
        _, pool = self._configuration().resolve(transaction.route)
        message = CommitMessage(
            transaction.number,
            session_state.id,
            request_id,
            remaining_s(deadline) * COMMIT_TIMEOUT_SHARE * 1000,
            sequence=_statement_sequence(transaction, sequence),
            pool=pool.name,
        )
        try:
            reply = await self._commit(
                transaction, pool, message, deadline, id_from_caller=id_from_caller
            )
        except OutcomeUnknown as error:
            error.request_id = request_id
            raise
        session_state.advance(transaction.group, reply.at)
        return Answer(
            session=self._tokens.encode(session_state),
            request_id=request_id,
            repeated=reply.repeated,
        )

    async def _commit(
        self,
        transaction: TransactionId,
        pool: Pool,
        message: CommitMessage,
        deadline: float,
        *,
        id_from_caller: bool,
    ) -> BackendAnswer:
        """Commits, and resolves the outcome when the owner's answer is lost."""
        try:
            return await self._transport.request(
                transaction.address, message, BackendAnswer, timeout=message.remaining_ms / 1000
            )
        except OutcomeUnknown:
            pass
        except NotRun as error:
            # Nothing was sent, because the owner cannot be reached. But if the caller chose the
            # request id, an earlier commit with the same id may have taken effect.
            if not id_from_caller:
                raise _rolled_back_error(error.message) from error
        except InvalidRequest as error:
            if error.code != ResultCode.UNKNOWN_TRANSACTION or not id_from_caller:
                raise
        return await self._commit_resolver.resolve(transaction, pool, message.request_id, deadline)

    async def rollback(
        self, transaction_id: str, *, session: str | None, deadline: float
    ) -> Answer:
        """Rolls a transaction back."""
        transaction, session_state = self._decode(transaction_id, session)
        message = RollbackMessage(
            transaction.number, session_state.id, remaining_s(deadline) * 1000
        )
        await self._send(transaction.address, message, Acknowledgement, deadline)
        return Answer(session=self._tokens.encode(session_state))

    def _decode(self, transaction_id: str, session: str | None) -> tuple[TransactionId, Session]:
        if session is None:
            raise InvalidRequest(
                ResultCode.FOREIGN_TRANSACTION,
                "send the session token that the transaction began with",
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
                # The transaction may be open, but the caller cannot use it, so it holds no changes.
                raise NotRun(
                    ResultCode.PEER_UNREACHABLE, "the owner did not answer; begin again"
                ) from error
            if isinstance(message, StatementMessage):
                await self._roll_back_unanswered(address, message)
            raise _rolled_back_error("the answer to a statement was lost") from error
        except NotRun as error:
            if isinstance(message, BeginMessage) or error.code not in _OWNER_LOST_CODES:
                raise
            raise _rolled_back_error(error.message) from error

    async def _roll_back_unanswered(self, address: str, message: StatementMessage) -> None:
        """Rolls back a transaction after a lost answer, so that it cannot be committed."""
        rollback = RollbackMessage(message.number, message.session_id, ROLLBACK_TIMEOUT_S * 1000)
        try:
            await self._transport.request(
                address, rollback, Acknowledgement, timeout=ROLLBACK_TIMEOUT_S
            )
        except WigeonpointError:
            return  # a closed connection or the idle timeout will roll it back


def _statement_sequence(transaction: TransactionId, number: int | None) -> StatementSequence | None:
    return None if number is None else StatementSequence(number, transaction.answered)


def _rolled_back_error(reason: str) -> NotRun:
    return NotRun(
        ResultCode.TRANSACTION_LOST, f"the transaction was rolled back; begin it again: {reason}"
    )
