"""Runs one statement on a pooled connection and records what its answer tells of the member."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection.session import (
    MemberAnswer,
    MemberFault,
    PooledConnection,
    SessionSnapshot,
)
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._primary_guard import PrimaryGuard
from wigeonpoint.process.gateway.pool import MIN_LATE_S, MemberPool
from wigeonpoint.request import Access
from wigeonpoint.request.session import SessionStatement, TransactionState, Verb


class StatementNotSent(Exception):
    """The member refused to restore the session's state, so the statement was not sent.

    Args:
        answer: The member's answer.
    """

    def __init__(self, answer: MemberAnswer) -> None:
        super().__init__(answer.detail)
        self.answer = answer


class Exchange:
    """Sends one statement on one connection and waits for its answer.

    Attributes:
        sent: Whether the statement may have reached the member.
    """

    def __init__(
        self,
        group: Group,
        pool: MemberPool,
        connection: PooledConnection,
        session: SessionSnapshot,
        statement: SessionStatement,
        guard: PrimaryGuard,
    ) -> None:
        self._group = group
        self._pool = pool
        self._connection = connection
        self._session = session
        self._statement = statement
        self._guard = guard
        self.sent = False

    @property
    def connection(self) -> PooledConnection:
        """The connection."""
        return self._connection

    @property
    def pool(self) -> MemberPool:
        """Pool that the connection belongs to."""
        return self._pool

    @property
    def _reads(self) -> bool:
        """Whether the statement is a read."""
        prepared = self._session.prepared
        if prepared is not None:
            return prepared.access is Access.READ
        return self._statement.verb is Verb.READ

    async def begin(self, *, read_only: bool, after: LogPosition | None) -> MemberAnswer:
        """Begins the session's transaction on the connection.

        Raises:
            MemberConnectionLost: The connection was lost; nothing of the transaction is kept.
            NotRun: The member cannot begin it now.
        """
        with self._awaiting_answer():
            answer = await self._connection.member_connection.begin(
                read_only=read_only, after=after
            )
        self._connection.state = answer.state
        return _require_position(answer, after)

    async def run(self, *, after: LogPosition | None = None) -> MemberAnswer:
        """Runs the statement.

        Args:
            after: Position that the member must have applied; for a read outside a transaction.

        Raises:
            StatementNotSent: The member refused to restore the session's state.
            MemberConnectionLost: The connection was lost, after the statement was sent if `sent`.
            NotRun: The statement was refused before it reached the member.
        """
        name = await self._restore_session()
        sent_at = asyncio.get_running_loop().time()
        self.sent = True
        with self._awaiting_answer():
            answer = await self._connection.member_connection.run(
                self._statement, after=after, prepared_name=name
            )
        self._record_answer(answer, sent_at)
        return _require_position(answer, after)

    @contextmanager
    def _awaiting_answer(self) -> Iterator[None]:
        """Marks the connection as waiting for an answer; tells the pool when the answer is late."""
        loop = asyncio.get_running_loop()
        late_s = max(self._pool.latency.late_after_s, MIN_LATE_S)
        timer = loop.call_later(late_s, self._pool.note_late)
        self._connection.waiting_since = loop.time()
        self._connection.resting = False
        try:
            yield
        except NotRun as error:
            self.sent = False
            if error.code is ResultCode.BACKEND_UNREACHABLE:
                self._pool.note_late()
            raise
        finally:
            timer.cancel()
            self._connection.waiting_since = None
            self._connection.resting = True
            self._pool.note_resting()

    async def _restore_session(self) -> str | None:
        connection, session = self._connection, self._session
        connection.last_session = session.number
        refused = await connection.restore_values(session.values)
        if refused is not None:
            raise StatementNotSent(refused)
        if session.prepared is None:
            return None
        prepared = await connection.prepare(session.prepared)
        if isinstance(prepared, MemberAnswer):
            raise StatementNotSent(prepared)
        return prepared

    def _record_answer(self, answer: MemberAnswer, sent_at: float) -> None:
        now = asyncio.get_running_loop().time()
        self._connection.state = answer.state
        self._connection.forget_prepared(answer)
        self._pool.note_answered(sent_at, answer.fault)
        # A refusal or failure takes less time than the work, so it tells nothing of the latency.
        if answer.fault is None:
            self._pool.latency.record(now - sent_at, now)
        if self._group.remote_reads.is_remote(self._pool.record):
            self._group.remote_reads.note_statement(
                self._pool.record.data_centre,
                sent=len(self._statement.text),
                received=sum(len(row) for row in answer.rows),
            )
        failed = answer.fault in (MemberFault.FAILED, MemberFault.TIMED_OUT)
        if self._reads and (failed or answer.fault is None):
            self._group.note_read(self._pool.record.id, failed=failed, seconds=now - sent_at)
        if self._connection.state is TransactionState.FAILED:
            return
        member_id = self._pool.record.id
        # Without a lease, a newer primary may have commits that this position does not cover.
        if member_id == self._group.primary_id and not self._guard.leads(
            self._group.name, member_id
        ):
            return
        self._group.note_answer(member_id, answer.position, sent_at=sent_at)


def _require_position(answer: MemberAnswer, after: LogPosition | None) -> MemberAnswer:
    """Replaces an answer without the required position by the fault `BEHIND`.

    A replaced primary that has not been demoted yet may compare log lengths only, and so serve the
    read although its log is of an older term.
    """
    if answer.fault is not None or after is None:
        return answer
    if answer.position is not None and answer.position >= after:
        return answer
    return replace(answer, rows=[], proof=None, fault=MemberFault.BEHIND, detail="older term")
