"""Owner of a backend server: queues, executes and confirms the requests sent to it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

from wigeonpoint.backend import Backend, BackendAnswer, BackendConnection, LogPosition
from wigeonpoint.connection import (
    BackendPool,
    BeginMessage,
    CancelReply,
    ExecuteMessage,
    OpenTransaction,
    RequestContext,
    SettleMessage,
    Transactions,
)
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.process._concurrency import AdaptiveLimit, FixedLimit
from wigeonpoint.process._deadlines import deadline_in, remaining_s
from wigeonpoint.process._rank_queue import RankQueue
from wigeonpoint.process._schedule import QueueEntry, RankedSchedule, Schedule
from wigeonpoint.request import Rank
from wigeonpoint.version import BackendServer, Durability, GroupView

DEFAULT_CONNECTION_LIMIT = 8
MIN_CONFIRM_TIMEOUT_S = 0.001


class OwnedServer:
    """A backend server that this instance owns or still has requests in progress on.

    Args:
        server: The backend server.
        group: View of its group.
        backend: Access to the server.
        slots: Number of statements to run at once; None adapts it to the latency.
        connections: Maximum number of open connections.
        schedule: Order of waiting requests; the default is urgent first with guaranteed shares.
    """

    def __init__(
        self,
        server: BackendServer,
        group: GroupView,
        backend: Backend,
        *,
        slots: int | None,
        connections: int,
        schedule: Schedule | None = None,
    ) -> None:
        self._server = server
        self._group = group
        self._schedule = schedule or RankedSchedule()
        self._queue = RankQueue(
            server.id,
            limit=AdaptiveLimit(connections) if slots is None else FixedLimit(slots),
            schedule=self._schedule,
        )
        self._pool = BackendPool(backend, server.address, limit=connections, keep=slots or 1)

    @property
    def pool(self) -> BackendPool:
        """Pool of connections to the server."""
        return self._pool

    @property
    def server(self) -> BackendServer:
        """The backend server."""
        return self._server

    def release_ownership(self) -> None:
        """Closes idle connections now and busy ones when they are released."""
        self._pool.keep_idle(False)

    def resume_ownership(self) -> None:
        """Keeps connections open between uses again."""
        self._pool.keep_idle(True)

    @property
    def queue(self) -> RankQueue:
        """Queue for the slots of the server."""
        return self._queue

    def set_shares(self, shares: Mapping[Rank, float]) -> None:
        """Sets the guaranteed shares of dispatches, if the schedule is a `RankedSchedule`."""
        if isinstance(self._schedule, RankedSchedule):
            self._schedule.shares = shares

    def cancel(self, message_id: str) -> CancelReply:
        """Cancels a queued request; the reply says whether it may have been sent already."""
        result = self._queue.cancel(message_id)
        return CancelReply(result.known, result.sent)

    async def execute(self, message: ExecuteMessage) -> BackendAnswer:
        """Runs a statement and waits for its confirmation if the message asks for one.

        Raises:
            WigeonpointError: The statement was refused, or its outcome is unknown. NotRun with
                MEMBER_BEHIND when a replica's log does not reach the required position.
        """
        deadline = deadline_in(message.work.remaining_ms)
        async with self._admit(message.work, deadline, message.message_id) as entry:
            connection = await self._pool.acquire(deadline=deadline)
            answer = await self._execute_statement(connection, message, deadline, entry)
        self._group.note_position(self._server.id, answer.at)
        if message.confirm:
            answered_at = asyncio.get_running_loop().time()
            await self.confirm(answer.at, message.durability, deadline)
            self._queue.record_confirmation(asyncio.get_running_loop().time() - answered_at)
        elif message.required is not None and answer.at < message.required:
            raise NotRun(
                ResultCode.MEMBER_BEHIND,
                f"{self._server.id} is at {answer.at}, behind {message.required}",
            )
        return answer

    async def settle(self, message: SettleMessage) -> BackendAnswer:
        """Decides the outcome of a transaction and waits until the decision is confirmed."""
        deadline = deadline_in(message.work.remaining_ms)
        connection = await self._pool.acquire(deadline=deadline)
        try:
            answer = await connection.settle(
                message.request_id, message.transaction_key, timeout=remaining_s(deadline)
            )
        finally:
            self._pool.release(connection)
        await self.confirm(answer.at, Durability.MAJORITY, deadline)
        return answer

    async def begin(self, message: BeginMessage, transactions: Transactions) -> OpenTransaction:
        """Opens a transaction on a dedicated connection."""
        deadline = deadline_in(message.work.remaining_ms)
        # Acquires the connection before the slot, so that no slot is held while waiting for it.
        connection = await self._pool.acquire_pinned(deadline=deadline)
        handed_over = False
        try:
            async with self._admit(message.work, deadline, message.message_id) as entry:
                timeout = remaining_s(deadline)
                entry.mark_sent()
                handed_over = True
                return await transactions.begin(
                    session_id=message.session_id,
                    group=self._group.name,
                    server_id=self._server.id,
                    pool=self._pool,
                    connection=connection,
                    timeout=timeout,
                    rank=message.work.rank,
                    caller=message.work.caller,
                )
        finally:
            if not handed_over:
                self._pool.release(connection)

    @asynccontextmanager
    async def slot(self, transaction: OpenTransaction, deadline: float) -> AsyncIterator[None]:
        """Waits for a slot of the server for a statement of an open transaction and holds it."""
        async with self._queue.admit(
            rank=transaction.rank, caller=transaction.caller, deadline=deadline, in_transaction=True
        ) as entry:
            entry.mark_sent()
            yield

    async def confirm(self, at: LogPosition, durability: Durability, deadline: float) -> None:
        """Waits until the group has confirmed the position of an answer of this server."""
        # The statement has run already: after the deadline, the confirmation must fail with an
        # unknown outcome instead of NotRun, so it always gets a positive timeout.
        timeout = deadline - asyncio.get_running_loop().time()
        await self._group.confirmer.confirm(
            at, self._server.id, timeout=max(timeout, MIN_CONFIRM_TIMEOUT_S), durability=durability
        )

    @asynccontextmanager
    async def _admit(
        self, context: RequestContext, deadline: float, message_id: str = ""
    ) -> AsyncIterator[QueueEntry]:
        if self._queue.running >= self._queue.limit:
            # One spare connection serves the next begin or replaces a closed connection.
            self._pool.prewarm(self._queue.limit + 1)
        async with self._queue.admit(
            rank=context.rank, caller=context.caller, deadline=deadline, message_id=message_id
        ) as entry:
            yield entry

    async def _execute_statement(
        self,
        connection: BackendConnection,
        message: ExecuteMessage,
        deadline: float,
        entry: QueueEntry,
    ) -> BackendAnswer:
        try:
            timeout = remaining_s(deadline)
            entry.mark_sent()
            return await connection.execute(message.exchange, timeout=timeout)
        except asyncio.CancelledError:
            connection.close()  # the next user must not receive a late answer
            raise
        except WigeonpointError as error:
            if isinstance(error, OutcomeUnknown):
                connection.close()
            if error.code in (ResultCode.NOT_PRIMARY, ResultCode.BACKEND_UNREACHABLE):
                self._group.forget_primary(self._server.id)
            if message.exchange.read_only and isinstance(error, OutcomeUnknown):
                raise NotRun(
                    ResultCode.BACKEND_UNREACHABLE, f"{self._server.id} did not answer"
                ) from error
            raise
        finally:
            self._pool.release(connection)
