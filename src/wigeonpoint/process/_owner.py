"""The owner's side of a backend server: admission, connections, execution, confirmation."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from wigeonpoint.backend import Backend, BackendAnswer, BackendConnection, LogPosition
from wigeonpoint.connection import (
    BackendPool,
    BeginMessage,
    ExecuteMessage,
    ExecuteReply,
    OpenTransaction,
    RecordedMessage,
    Transactions,
    WorkDetails,
)
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.version import BackendServer, Durability, GroupView

DEFAULT_SLOTS = 2
DEFAULT_CONNECTIONS = 8
MIN_TIMEOUT_S = 0.001


class OwnedServer:
    """One backend server that this instance owns or has open work on.

    Args:
        server: The backend server.
        group: View of its group.
        backend: Access to the server.
        slots: Statements to run at once.
        connections: Connections that may be open at once.
    """

    def __init__(
        self,
        server: BackendServer,
        group: GroupView,
        backend: Backend,
        *,
        slots: int,
        connections: int,
    ) -> None:
        self._server = server
        self._group = group
        self._slots = asyncio.Semaphore(slots)
        self._pool = BackendPool(backend, server.address, limit=connections)

    @property
    def pool(self) -> BackendPool:
        """Connections to the server."""
        return self._pool

    @property
    def server(self) -> BackendServer:
        """The backend server."""
        return self._server

    def release_ownership(self) -> None:
        """Closes idle connections now and busy ones as they finish."""
        self._pool.keep_idle(False)

    def resume_ownership(self) -> None:
        """Keeps connections open between uses again."""
        self._pool.keep_idle(True)

    async def execute(self, message: ExecuteMessage) -> ExecuteReply:
        """Runs a statement and has it confirmed where the message asks for it."""
        deadline = _deadline(message.work)
        async with self._admit(deadline):
            connection = await self._pool.acquire(deadline=deadline)
            answer = await self._run(connection, message, deadline)
        self._group.note_position(self._server.id, answer.at)
        if message.confirm:
            await self.confirm(answer.at, message.durability, deadline)
        elif message.required is not None and answer.at < message.required:
            raise NotRun(
                ResultCode.MEMBER_BEHIND,
                f"{self._server.id} is at {answer.at}, behind {message.required}",
            )
        return ExecuteReply(answer.rows, answer.term, answer.position, answer.repeated)

    async def recorded(self, message: RecordedMessage) -> BackendAnswer:
        """Looks a request id up and has the answer, also that of absence, confirmed."""
        deadline = _deadline(message.work)
        connection = await self._pool.acquire(deadline=deadline)
        try:
            answer = await connection.recorded(message.request_id, timeout=_remaining(deadline))
        finally:
            self._pool.release(connection)
        await self.confirm(answer.at, Durability.MAJORITY, deadline)
        return answer

    async def begin(self, message: BeginMessage, transactions: Transactions) -> OpenTransaction:
        """Opens a transaction on a connection of its own."""
        deadline = _deadline(message.work)
        async with self._admit(deadline):
            connection = await self._pool.acquire(deadline=deadline)
            return await transactions.begin(
                session_id=message.session_id,
                group=self._group.name,
                server_id=self._server.id,
                pool=self._pool,
                connection=connection,
                timeout=_remaining(deadline),
            )

    @asynccontextmanager
    async def slot(self, deadline: float) -> AsyncIterator[None]:
        """Holds a slot of the server for a statement of an open transaction."""
        async with self._admit(deadline):
            yield

    async def confirm(self, at: LogPosition, durability: Durability, deadline: float) -> None:
        """Waits until the group has confirmed an answer of this server."""
        # The statement has run, so a deadline that has passed leaves its outcome unknown.
        timeout = deadline - asyncio.get_running_loop().time()
        await self._group.confirmer.confirm(
            at, self._server.id, timeout=max(timeout, MIN_TIMEOUT_S), durability=durability
        )

    @asynccontextmanager
    async def _admit(self, deadline: float) -> AsyncIterator[None]:
        try:
            await asyncio.wait_for(self._slots.acquire(), _remaining(deadline))
        except TimeoutError as error:
            raise NotRun(
                ResultCode.DEADLINE_UNREACHABLE,
                f"no slot of {self._server.id} became free before the deadline",
            ) from error
        try:
            yield
        finally:
            self._slots.release()

    async def _run(
        self, connection: BackendConnection, message: ExecuteMessage, deadline: float
    ) -> BackendAnswer:
        try:
            return await connection.execute(message.exchange, timeout=_remaining(deadline))
        except WigeonpointError as error:
            if error.code in (ResultCode.NOT_PRIMARY, ResultCode.BACKEND_UNREACHABLE):
                self._group.forget_primary(self._server.id)
            if message.exchange.read_only and isinstance(error, OutcomeUnknown):
                raise NotRun(
                    ResultCode.BACKEND_UNREACHABLE, f"{self._server.id} did not answer"
                ) from error
            raise
        finally:
            self._pool.release(connection)


def _deadline(work: WorkDetails) -> float:
    return asyncio.get_running_loop().time() + work.remaining_ms / 1000


def _remaining(deadline: float) -> float:
    """Seconds until a deadline; raises DEADLINE_UNREACHABLE when it has passed."""
    remaining = deadline - asyncio.get_running_loop().time()
    if remaining <= 0:
        raise NotRun(ResultCode.DEADLINE_UNREACHABLE, "the deadline passed before the work ran")
    return remaining
