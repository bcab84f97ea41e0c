"""Open transactions at the owner of a primary, each pinned to one connection and one session."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from dataclasses import dataclass, field

from wigeonpoint.backend import BackendAnswer, BackendConnection, Exchange
from wigeonpoint.connection._backend_pool import BackendPool
from wigeonpoint.connection._statement_sequence import StatementSequence
from wigeonpoint.errors import InvalidRequest, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.request import Rank

TRANSACTION_IDLE_TIMEOUT_S = 10.0
PREFIX_BYTES = 9
REFUSED = -2  # no request follows this number


@dataclass(slots=True)
class OpenTransaction:
    """A transaction, its connection and the session that began it."""

    number: str
    session_id: str
    group: str
    server_id: str
    pool: BackendPool
    connection: BackendConnection
    used_at: float
    term: int = 0
    rank: Rank = Rank.STANDARD
    caller: str = ""
    admitted: int = 0  # statements and commits that the owner has accepted
    committing: str = ""  # request id of the commit that was accepted last
    busy: asyncio.Lock = field(default_factory=asyncio.Lock)


class Transactions:
    """The open transactions of one owner.

    Args:
        idle_timeout: Seconds without a statement after which a transaction rolls back.
    """

    def __init__(self, *, idle_timeout: float = TRANSACTION_IDLE_TIMEOUT_S) -> None:
        self._idle_timeout = idle_timeout
        self._open: dict[str, OpenTransaction] = {}
        # Numbers stay unique across restarts, because databases record them.
        self._prefix = secrets.token_urlsafe(PREFIX_BYTES)
        self._numbers = itertools.count(1)
        self._reaper: asyncio.Task[None] | None = None

    @property
    def count(self) -> int:
        """Number of open transactions."""
        return len(self._open)

    def count_at(self, server_id: str) -> int:
        """Number of open transactions at a backend server."""
        return sum(transaction.server_id == server_id for transaction in self._open.values())

    async def begin(
        self,
        *,
        session_id: str,
        group: str,
        server_id: str,
        pool: BackendPool,
        connection: BackendConnection,
        timeout: float,
        rank: Rank = Rank.STANDARD,
        caller: str = "",
    ) -> OpenTransaction:
        """Opens a transaction on a connection, which it keeps until it ends."""
        try:
            term = await connection.begin(timeout=timeout)
        except BaseException:
            pool.discard(connection)
            raise
        transaction = OpenTransaction(
            number=f"{self._prefix}-{next(self._numbers)}",
            session_id=session_id,
            group=group,
            server_id=server_id,
            pool=pool,
            connection=connection,
            used_at=asyncio.get_running_loop().time(),
            term=term,
            rank=rank,
            caller=caller,
        )
        self._open[transaction.number] = transaction
        if self._reaper is None or self._reaper.done():
            self._reaper = asyncio.create_task(self._reap())
        return transaction

    def find(self, number: str, session_id: str) -> OpenTransaction:
        """Finds a transaction of a session.

        Raises:
            InvalidRequest: UNKNOWN_TRANSACTION, or FOREIGN_TRANSACTION for another session's.
        """
        transaction = self._open.get(number)
        if transaction is None:
            raise _not_open()
        if transaction.session_id != session_id:
            raise InvalidRequest(
                ResultCode.FOREIGN_TRANSACTION, "the transaction belongs to another session"
            )
        return transaction

    async def admit(
        self, transaction: OpenTransaction, sequence: StatementSequence | None, *, commit: str = ""
    ) -> None:
        """Counts the next request; one that does not follow the last rolls the transaction back.

        Args:
            transaction: The transaction.
            sequence: Place of the request; None is not checked.
            commit: Request id of a commit; its repeat while it runs is not counted again.

        Raises:
            InvalidRequest: TRANSACTION_SEQUENCE.
        """
        if commit and commit == transaction.committing:
            return
        transaction.committing = commit
        if sequence is None or sequence.follows(transaction.admitted):
            transaction.admitted += 1
            return
        admitted = transaction.admitted
        transaction.admitted = REFUSED  # requests that arrive while it ends do not fit either
        async with transaction.busy:
            self._require_open(transaction)
            transaction.connection.close()
            self._end(transaction)
        raise InvalidRequest(
            ResultCode.TRANSACTION_SEQUENCE,
            f"request {sequence.number} with {sequence.answered} answers does not follow request "
            f"{admitted} of the transaction, which was rolled back; begin it again",
        )

    async def execute(
        self, transaction: OpenTransaction, exchange: Exchange, *, timeout: float
    ) -> BackendAnswer:
        """Runs a statement; a lost connection ends the transaction."""
        async with transaction.busy:
            self._require_open(transaction)
            try:
                return await transaction.connection.execute(exchange, timeout=timeout)
            except (OutcomeUnknown, asyncio.CancelledError):
                transaction.connection.close()  # a late answer must not reach a later exchange
                raise
            finally:
                self._after_use(transaction)

    async def commit(
        self, transaction: OpenTransaction, request_id: str, *, timeout: float
    ) -> BackendAnswer:
        """Commits and gives the connection back."""
        async with transaction.busy:
            self._require_open(transaction)
            try:
                return await transaction.connection.commit(
                    request_id, transaction.number, timeout=timeout
                )
            except (OutcomeUnknown, asyncio.CancelledError):
                transaction.connection.close()  # a late answer must not reach a later exchange
                raise
            finally:
                self._end(transaction)

    async def rollback(self, transaction: OpenTransaction, *, timeout: float) -> None:
        """Rolls back and gives the connection back."""
        async with transaction.busy:
            self._require_open(transaction)
            try:
                await transaction.connection.rollback(timeout=timeout)
            except WigeonpointError:
                transaction.connection.close()  # closing rolls back as well
            finally:
                self._end(transaction)

    def close(self) -> None:
        """Rolls every open transaction back by closing its connection."""
        for transaction in list(self._open.values()):
            transaction.connection.close()
            self._end(transaction)
        if self._reaper is not None:
            self._reaper.cancel()

    def _require_open(self, transaction: OpenTransaction) -> None:
        """Refuses a request that waited while the transaction ended."""
        if transaction.number not in self._open:
            raise _not_open()

    def _after_use(self, transaction: OpenTransaction) -> None:
        transaction.used_at = asyncio.get_running_loop().time()
        if transaction.connection.closed:
            self._end(transaction)

    def _end(self, transaction: OpenTransaction) -> None:
        if self._open.pop(transaction.number, None) is not None:
            transaction.pool.release(transaction.connection)

    async def _reap(self) -> None:
        loop = asyncio.get_running_loop()
        while self._open:
            await asyncio.sleep(self._idle_timeout / 4)
            for transaction in list(self._open.values()):
                idle = loop.time() - transaction.used_at
                if idle >= self._idle_timeout and not transaction.busy.locked():
                    transaction.connection.close()
                    self._end(transaction)


def _not_open() -> InvalidRequest:
    return InvalidRequest(
        ResultCode.UNKNOWN_TRANSACTION,
        "the transaction is not open; it has ended or was rolled back",
    )
