"""Serves callers' connections, from their first message to their end."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from contextlib import suppress
from math import ceil
from typing import Protocol

from wigeonpoint.connection.session import (
    CallerConnection,
    CallerDisconnected,
    CallerMessage,
    CallerSession,
    EndSession,
    MalformedMessage,
    OpenSession,
)
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._executor import StatementExecutor
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._open_sessions import OpenSessions
from wigeonpoint.process.gateway._quota_gate import (
    QuotaGate,
    UnlimitedQuota,
    starts_operation,
)
from wigeonpoint.process.gateway._session_memory import SessionMemory
from wigeonpoint.process.gateway._session_statements import (
    EMPTY_REPLY,
    answer_in_failed_transaction,
)
from wigeonpoint.process.gateway._statement_context import StatementContext
from wigeonpoint.process.gateway._statement_metrics import StatementMetrics
from wigeonpoint.process.gateway._transactions import TransactionRunner
from wigeonpoint.process.gateway.customers import Authenticator, Revocation
from wigeonpoint.request import Access
from wigeonpoint.request.session import (
    Refusal,
    Reply,
    SessionStatement,
    TransactionState,
    Verb,
    refuse_statement,
)
from wigeonpoint.version.catalogue import Catalogue, DatabaseRoute

STARTUP_WAIT_S = 1.0  # shorter than the two seconds that callers wait for their session to open


class WaitUntilLoaded(Protocol):
    """Function that waits until routes and members have been loaded."""

    async def __call__(self, *, timeout: float) -> bool:
        """Waits for at most `timeout` seconds; returns whether they have been loaded."""
        ...


class SessionService:
    """Serves callers' sessions.

    Args:
        wait_until_loaded: Waits until routes and members have been loaded.
        catalogue: Returns the active catalogue.
        group: Returns the group of a service.
        executor: Runs single statements.
        transactions: Runs transactions.
        authenticator: Checks callers' keys.
        quota: Counts the operations of customers.
        revoked_transaction_s: Seconds that an open transaction has after its key was taken away.
        memory: Bounds what the values and prepared statements of all sessions hold.
    """

    def __init__(
        self,
        wait_until_loaded: WaitUntilLoaded,
        catalogue: Callable[[], Catalogue],
        group: Callable[[str], Group],
        executor: StatementExecutor,
        transactions: TransactionRunner,
        authenticator: Authenticator,
        memory: SessionMemory,
        *,
        quota: QuotaGate | None = None,
        revoked_transaction_s: float,
    ) -> None:
        self._wait_until_loaded = wait_until_loaded
        self._catalogue = catalogue
        self._group = group
        self._executor = executor
        self._transactions = transactions
        self._authenticator = authenticator
        self._quota = quota or UnlimitedQuota()
        self._open = OpenSessions(self._route, self._roll_back_unasked)
        self._revocation = Revocation(
            authenticator,
            self._open.connections,
            is_busy=self._open.has_statement,
            abort=self._roll_back_unasked,
            transaction_s=revoked_transaction_s,
        )
        self._memory = memory
        self.metrics = StatementMetrics()

    @property
    def open(self) -> OpenSessions:
        """The open sessions."""
        return self._open

    def check_keys(self) -> None:
        """Ends sessions whose callers may not be served any longer."""
        self._revocation.apply()

    async def serve(self, connection: CallerConnection) -> None:
        """Serves a connection until it ends."""
        session: CallerSession | None = None
        try:
            session = await self._open_session(connection)
            if session is not None:
                self._open.add(session, connection)
                self._memory.add(session, connection.close)
                # The key may have been taken away before the session was listed.
                self._revocation.check_after_answer(session)
                await self._serve_session(connection, session)
        except CallerDisconnected:
            pass
        except Exception as error:  # an error in one session must be logged and not end others
            log_event(Event.INTERNAL_ERROR, error=repr(error), trace=traceback.format_exc())
        finally:
            if session is not None:
                self._open.remove(session)
                self._revocation.forget(session)
                self._transactions.roll_back(session)
                self._memory.end(session)
            connection.close()

    def _roll_back_unasked(self, session: CallerSession) -> None:
        self._transactions.roll_back(session)
        session.note_abort()

    def _check_after_answer(self, session: CallerSession) -> None:
        self._open.check_after_answer(session)
        self._revocation.check_after_answer(session)

    async def _open_session(self, connection: CallerConnection) -> CallerSession | None:
        message = await connection.receive()
        if not isinstance(message, OpenSession):
            problem = message.problem if isinstance(message, MalformedMessage) else "not connected"
            await connection.reject(refuse_statement(Refusal.MALFORMED, problem))
            return None
        # Until routes are loaded, this instance cannot tell whether the database exists.
        if not await self._wait_until_loaded(timeout=STARTUP_WAIT_S):
            reply = refuse_statement(
                Refusal.UNAVAILABLE,
                "the routes are not known here yet",
                retry_after_ms=int(STARTUP_WAIT_S * 1000),
            )
            await connection.reject(reply)
            return None
        route = self._catalogue().routes.get(message.database)
        if route is None:
            reply = refuse_statement(Refusal.UNKNOWN_DATABASE, f"no route {message.database}")
            await connection.reject(reply)
            return None
        refusal = self._authenticator.refusal(route, message.key_digest)
        if refusal is not None:
            log_event(Event.SESSION_REFUSED, database=route.database, reason=refusal.message)
            await connection.reject(refusal)
            return None
        await connection.accept()
        session = CallerSession(message.database, key_digest=message.key_digest)
        session.customer = self._authenticator.customer(message.key_digest)
        session.active_at = asyncio.get_running_loop().time()
        return session

    async def _serve_session(self, connection: CallerConnection, session: CallerSession) -> None:
        # No variable keeps a message, which may be large, while the session waits for the next one.
        while await self._serve_message(
            connection, session, await self._receive(connection, session)
        ):
            pass

    async def _serve_message(
        self, connection: CallerConnection, session: CallerSession, message: CallerMessage
    ) -> bool:
        """Serves a message; returns False if it ends the session."""
        if isinstance(message, EndSession):
            return False
        if isinstance(message, OpenSession):
            message = MalformedMessage("the session is open already")
        if isinstance(message, MalformedMessage):
            log_event(Event.MESSAGE_REFUSED, problem=message.problem)
            refusal = Refusal.TOO_LARGE if message.too_large else Refusal.MALFORMED
            await connection.reply(refuse_statement(refusal, message.problem), session.state)
        else:
            reply = await self._answer(connection, session, message)
            return reply.refusal is not Refusal.UNAUTHENTICATED
        return True

    async def _receive(self, connection: CallerConnection, session: CallerSession) -> CallerMessage:
        """Waits for the next message; rolls back a transaction that is idle for too long."""
        if session.transaction is None or session.transaction.connection is None:
            return await connection.receive()
        receiving = asyncio.ensure_future(connection.receive())
        try:
            if not await self._arrives_within_idle_limit(receiving):
                self._abort_idle_transaction(session)
            return await receiving
        finally:
            if not receiving.done():
                receiving.cancel()
                with suppress(asyncio.CancelledError, CallerDisconnected):
                    await receiving

    async def _arrives_within_idle_limit(self, receiving: asyncio.Future[CallerMessage]) -> bool:
        """Waits for a message; the limit may change meanwhile."""
        loop = asyncio.get_running_loop()
        idle_since = loop.time()
        while not receiving.done():
            remaining_s = idle_since + self._catalogue().transaction_idle_s - loop.time()
            if remaining_s <= 0:
                return False
            await asyncio.wait({receiving}, timeout=remaining_s)
        return True

    def _abort_idle_transaction(self, session: CallerSession) -> None:
        if session.transaction is not None:
            log_event(Event.TRANSACTION_ABORTED, reason="idle", session=session.number)
            self._roll_back_unasked(session)

    async def _answer(
        self,
        connection: CallerConnection,
        session: CallerSession,
        statement: SessionStatement,
    ) -> Reply:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with self._open.running(session):
            reply = await self._run(session, statement)
            await connection.reply(reply, session.state)
        self._record_answer(session, statement, reply, loop.time() - started_at)
        # By then the session waits for its next message, so that one which arrived shows.
        loop.call_soon(self._check_after_answer, session)
        return reply

    def _record_answer(
        self,
        session: CallerSession,
        statement: SessionStatement,
        reply: Reply,
        seconds: float,
    ) -> None:
        """Counts an answered statement; logs it if it was refused or slow."""
        route = self._route(session)
        self.metrics.record(route, reply.refusal, seconds, customer=session.customer_name)
        fields = {
            "request": statement.id,
            "database": session.database,
            "group": route.service if route is not None else None,
            "session": session.number,
            **({"customer": session.customer_name} if session.customer is not None else {}),
            "ms": round(seconds * 1000),
        }
        if reply.refusal is not None:
            log_event(
                Event.STATEMENT_REFUSED,
                **fields,
                refusal=reply.refusal.name.lower(),
                reason=reply.message,
                retry_after_ms=reply.retry_after_ms,
            )
        elif route is not None and seconds > route.target_s:
            log_event(Event.STATEMENT_SLOW, **fields, target_ms=round(route.target_s * 1000))

    async def _run(self, session: CallerSession, statement: SessionStatement) -> Reply:
        if session.state is TransactionState.FAILED:
            return self._run_in_failed_transaction(session, statement)
        refusal = await self._start_operation(session, statement) if session.idle else None
        if refusal is not None:
            return refusal
        reply = self._run_without_member(session, statement)
        if reply is not None:
            return reply
        if statement.verb is Verb.EXECUTE and statement.name not in session.prepared:
            return refuse_statement(Refusal.UNKNOWN_STATEMENT, f"no statement {statement.name}")
        transaction = session.transaction
        if transaction is not None:
            context = self._make_context(session, statement, transaction.route)
            if statement.verb is Verb.COMMIT:
                return await self._transactions.commit(context, transaction)
            return await self._transactions.run(context, transaction)
        return await self._run_single(session, statement)

    async def _over_quota(self, session: CallerSession) -> Reply | None:
        """Counts an operation of the session's customer; returns a refusal if it has no room."""
        if session.customer is None or self._route(session) is None:
            return None
        wait_s = await self._quota.admit(session.customer)
        if wait_s <= 0:
            return None
        return refuse_statement(
            Refusal.QUOTA_EXCEEDED,
            f"the quota of customer {session.customer.name} is used up",
            retry_after_ms=ceil(wait_s * 1000),
        )

    async def _run_single(self, session: CallerSession, statement: SessionStatement) -> Reply:
        if statement.verb in (Verb.COMMIT, Verb.ROLLBACK):
            return refuse_statement(Refusal.MALFORMED, "no transaction is open")
        route = self._route(session)
        if route is None:
            return self._unknown_database(session)
        context = self._make_context(session, statement, route)
        if self._is_write(session, statement):
            return await self._executor.write(context)
        return await self._executor.read(context)

    async def _start_operation(
        self, session: CallerSession, statement: SessionStatement
    ) -> Reply | None:
        """Identifies the caller outside a transaction; returns the refusal if it is not served."""
        refusal = self._identify(session)
        if refusal is not None or not starts_operation(session, statement):
            return refusal
        refusal = await self._over_quota(session)
        # The key may have been taken away during the wait.
        return refusal if refusal is not None else self._identify(session)

    def _identify(self, session: CallerSession) -> Reply | None:
        """Finds out the caller's customer; returns the refusal if it is not served."""
        route = self._route(session)
        if route is None:
            return None  # refused as such by what needs the route
        refusal = self._authenticator.refusal(route, session.key_digest)
        if refusal is None:
            session.customer = self._authenticator.customer(session.key_digest)
        return refusal

    def _run_in_failed_transaction(
        self, session: CallerSession, statement: SessionStatement
    ) -> Reply:
        if statement.verb not in (Verb.ROLLBACK, Verb.COMMIT):
            return answer_in_failed_transaction(session)
        self._transactions.roll_back(session)
        if statement.verb is Verb.ROLLBACK:
            return EMPTY_REPLY
        return refuse_statement(Refusal.ABORTED, "the transaction had failed")

    def _run_without_member(
        self, session: CallerSession, statement: SessionStatement
    ) -> Reply | None:
        """Answers a statement that needs no member; returns None for any other."""
        match statement.verb:
            case Verb.SET | Verb.PREPARE | Verb.DEALLOCATE:
                return self._memory.run(session, statement)
            case Verb.BEGIN | Verb.BEGIN_READ:
                return self._begin(session, read_only=statement.verb is Verb.BEGIN_READ)
            case Verb.ROLLBACK if session.transaction is not None:
                self._transactions.roll_back(session)
                return EMPTY_REPLY
            case Verb.UNKNOWN:
                return refuse_statement(Refusal.MALFORMED, "unknown statement")
        return None

    def _begin(self, session: CallerSession, *, read_only: bool) -> Reply:
        if session.transaction is not None:
            return refuse_statement(Refusal.MALFORMED, "a transaction is open already")
        route = self._route(session)
        if route is None:
            return self._unknown_database(session)
        session.begin(route, read_only=read_only)
        return EMPTY_REPLY

    def _route(self, session: CallerSession) -> DatabaseRoute | None:
        return self._catalogue().routes.get(session.database)

    @staticmethod
    def _unknown_database(session: CallerSession) -> Reply:
        return refuse_statement(Refusal.UNKNOWN_DATABASE, f"no route {session.database}")

    def _make_context(
        self, session: CallerSession, statement: SessionStatement, route: DatabaseRoute
    ) -> StatementContext:
        now = asyncio.get_running_loop().time()
        group = self._group(route.service)
        revoked_at = self._revocation.transaction_end(session)
        deadline = min(now + route.timeout_s, self._open.last_end_at, revoked_at)
        prepared_name = statement.name if statement.verb is Verb.EXECUTE else None
        snapshot = session.snapshot(group=group.name, prepared_name=prepared_name)
        return StatementContext(
            session, snapshot, route, group, statement, deadline, customer=session.customer
        )

    @staticmethod
    def _is_write(session: CallerSession, statement: SessionStatement) -> bool:
        if statement.verb is Verb.EXECUTE:
            return session.prepared[statement.name].access is Access.WRITE
        return statement.verb is Verb.WRITE
