"""Open transactions at the owner of a primary, each bound to one connection and one session."""

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
NUMBER_PREFIX_BYTES = 9
CLOSED_SEQUENCE = -2  # value of `admitted` that no request follows


@dataclass(slots=True)
class OpenTransaction:
    """An open transaction with its connection and the session that began it."""

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
    admitted: int = 0  # number of statements and commits that the owner has accepted
    committing: str = ""  # request id if the last accepted request is a commit
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class Transactions:
    """The open transactions of one owner.

    Args:
        idle_timeout: Seconds without a statement after which a transaction is rolled back.
    """

    def __init__(self, *, idle_timeout: float = TRANSACTION_IDLE_TIMEOUT_S) -> None:
        self._idle_timeout = idle_timeout
        self._open: dict[str, OpenTransaction] = {}
        # A random prefix keeps numbers unique across restarts, because databases store them.
        self._prefix = secrets.token_urlsafe(NUMBER_PREFIX_BYTES)
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
        """Begins a transaction on a connection, which it holds until it ends.

        If the begin fails, the connection is closed.
        """
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
        """Returns an open transaction of a session.

        Raises:
            InvalidRequest: UNKNOWN_TRANSACTION, or FOREIGN_TRANSACTION for another session's.
        """
        transaction = self._open.get(number)
        if transaction is None:
            raise _not_open_error()
        if transaction.session_id != session_id:
            raise InvalidRequest(
                ResultCode.FOREIGN_TRANSACTION, "the transaction belongs to another session"
            )
        return transaction

    async def admit(
        self, transaction: OpenTransaction, sequence: StatementSequence | None, *, commit: str = ""
    ) -> None:
        """Accepts the next request; one out of sequence rolls the transaction back.

        Args:
            transaction: The transaction.
            sequence: Place of the request; None skips the check.
            commit: Request id of a commit; a repeat of it while it runs is not counted again.

        Raises:
            InvalidRequest: TRANSACTION_SEQUENCE if the request is out of sequence,
                UNKNOWN_TRANSACTION if the transaction ended meanwhile.
        """
        if commit and commit == transaction.committing:
            return
        transaction.committing = commit
        if sequence is None or sequence.follows(transaction.admitted):
            transaction.admitted += 1
            return
        admitted = transaction.admitted
        # Requests that arrive before the rollback are out of sequence too.
        transaction.admitted = CLOSED_SEQUENCE
        async with transaction.lock:
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
        """Runs a statement; the transaction ends if its connection is lost."""
        async with transaction.lock:
            self._require_open(transaction)
            try:
                return await transaction.connection.execute(exchange, timeout=timeout)
            except (OutcomeUnknown, asyncio.CancelledError):
                transaction.connection.close()  # no later exchange may read a late answer
                raise
            finally:
                self._after_use(transaction)

    async def commit(
        self, transaction: OpenTransaction, request_id: str, *, timeout: float
    ) -> BackendAnswer:
        """Commits and returns the connection to its pool."""
        async with transaction.lock:
            self._require_open(transaction)
            try:
                return await transaction.connection.commit(
                    request_id, transaction.number, timeout=timeout
                )
            except (OutcomeUnknown, asyncio.CancelledError):
                transaction.connection.close()  # no later exchange may read a late answer
                raise
            finally:
                self._end(transaction)

    async def rollback(self, transaction: OpenTransaction, *, timeout: float) -> None:
        """Rolls back and returns the connection to its pool."""
        async with transaction.lock:
            self._require_open(transaction)
            try:
                await transaction.connection.rollback(timeout=timeout)
            except WigeonpointError:
                transaction.connection.close()  # closing the connection also rolls back
            finally:
                self._end(transaction)

    def close(self) -> None:
        """Rolls back all open transactions by closing their connections."""
        for transaction in list(self._open.values()):
            transaction.connection.close()
            self._end(transaction)
        if self._reaper is not None:
            self._reaper.cancel()

    def _require_open(self, transaction: OpenTransaction) -> None:
        """Rejects a request that waited while the transaction ended."""
        if transaction.number not in self._open:
            raise _not_open_error()

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
                if idle >= self._idle_timeout and not transaction.lock.locked():
                    transaction.connection.close()
                    self._end(transaction)


def _not_open_error() -> InvalidRequest:
    return InvalidRequest(
        ResultCode.UNKNOWN_TRANSACTION,
        "the transaction is not open; it has ended or was rolled back",
    )
