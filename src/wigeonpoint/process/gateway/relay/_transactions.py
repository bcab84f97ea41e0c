"""Transactions that this instance runs as a relay."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wigeonpoint.connection.session import MemberAnswer, PooledConnection
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.pool import MemberPool

# Added to the time for which callers may leave transactions idle, because their own instance ends
# those first. This ends the transactions of instances that were lost.
IDLE_MARGIN_S = 1.0

TransactionKey = tuple[str, int]  # name of an instance, and number of its connection


@dataclass(slots=True, eq=False)
class RelayTransaction:
    """A transaction of another instance's caller.

    Attributes:
        group: The database group.
        pool: Pool of its connection.
        connection: Its connection to the member.
        at_primary: Whether the member must still be the primary when it commits.
        used_at: Event-loop time, in seconds, of its last message or answer.
        running: Whether a statement is in progress.
        ended: Whether its instance has ended it while a statement was in progress.
    """

    group: Group
    pool: MemberPool
    connection: PooledConnection
    at_primary: bool
    used_at: float
    running: bool = False
    ended: bool = False


class RelayTransactions:
    """The open transactions of other instances' callers."""

    def __init__(self) -> None:
        self._open: dict[TransactionKey, RelayTransaction] = {}
        # Transactions that are being begun, and whether they have been ended already.
        self._beginning: dict[TransactionKey, bool] = {}
        self._ending: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Number of open transactions."""
        return len(self._open)

    def get(self, key: TransactionKey) -> RelayTransaction | None:
        """The open transaction of an instance's connection."""
        return self._open.get(key)

    async def begin(
        self,
        key: TransactionKey,
        begin: Callable[[], Awaitable[tuple[MemberAnswer, RelayTransaction | None]]],
    ) -> MemberAnswer:
        """Begins a transaction; ends it at once if it is ended while it is being begun.

        Args:
            key: Connection that it is begun for.
            begin: Begins it; returns the member's answer and the transaction, if it is open.
        """
        self._beginning[key] = False
        try:
            answer, transaction = await begin()
        finally:
            ended = self._beginning.pop(key)
        if transaction is not None:
            self._open[key] = transaction
            if ended:
                await self.end(key)
        return answer

    async def run(
        self, key: TransactionKey, statement: Callable[[], Awaitable[MemberAnswer]]
    ) -> MemberAnswer:
        """Runs a statement of an open transaction, which may end it.

        Args:
            key: Connection of the transaction.
            statement: Runs the statement.
        """
        transaction = self._open[key]
        transaction.running = True
        try:
            return await statement()
        finally:
            transaction.running = False
            transaction.used_at = asyncio.get_running_loop().time()
            self._release_if_over(key, transaction)

    async def end(self, key: TransactionKey) -> None:
        """Rolls a transaction back, at once or when its statement in progress is over."""
        if key in self._beginning:
            self._beginning[key] = True
        transaction = self._open.get(key)
        if transaction is None:
            return
        if transaction.running:
            transaction.ended = True
            return
        del self._open[key]
        await transaction.pool.roll_back(transaction.connection)

    def end_abandoned(self, idle_s: float) -> None:
        """Ends transactions that their instance no longer uses, as it was probably lost.

        Args:
            idle_s: Seconds for which callers may leave transactions idle.
        """
        now = asyncio.get_running_loop().time()
        for key, transaction in list(self._open.items()):
            if transaction.running or now - transaction.used_at < idle_s + IDLE_MARGIN_S:
                continue
            log_event(Event.TRANSACTION_ABORTED, reason="abandoned", sender=key[0])
            task = asyncio.create_task(self.end(key))
            self._ending.add(task)
            task.add_done_callback(self._ending.discard)

    def close(self) -> None:
        """Closes the connections of all transactions; the members roll them back."""
        for transaction in self._open.values():
            transaction.connection.close()

    def _release_if_over(self, key: TransactionKey, transaction: RelayTransaction) -> None:
        if transaction.ended:
            transaction.connection.close()
        if transaction.connection.closed or transaction.connection.idle:
            self._open.pop(key, None)
            transaction.pool.release(transaction.connection)
