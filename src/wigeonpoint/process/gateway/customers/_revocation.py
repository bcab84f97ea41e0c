"""Ends the sessions and transactions of callers whose keys have been taken away."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from wigeonpoint.connection.session import CallerConnection, CallerDisconnected, CallerSession
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway.customers._authenticator import Authenticator
from wigeonpoint.request.session import Refusal, refuse_statement

# Of the time in which a revoked key must be refused, for an open transaction to end. The rest is
# for the change to reach this instance.
TRANSACTION_SHARE = 0.2
REJECT_TIMEOUT_S = 0.5  # a caller that reads nothing is closed without an answer


class Revocation:
    """Applies changes of the customers' keys to the open sessions.

    Sessions without a transaction end at once, those with a statement in progress after its answer.
    An open transaction has some time left; then it is rolled back. The session goes on if its key
    has only gone to another customer, or cannot be checked now.

    Args:
        authenticator: Checks keys.
        sessions: The open sessions with their connections.
        is_busy: Tells whether a session has a statement in progress.
        abort: Rolls back a session's open transaction.
        transaction_s: Seconds that an open transaction has left.
    """

    def __init__(
        self,
        authenticator: Authenticator,
        sessions: Mapping[CallerSession, CallerConnection],
        *,
        is_busy: Callable[[CallerSession], bool],
        abort: Callable[[CallerSession], None],
        transaction_s: float,
    ) -> None:
        self._authenticator = authenticator
        self._sessions = sessions
        self._is_busy = is_busy
        self._abort = abort
        self._transaction_s = transaction_s
        self._ends: dict[CallerSession, asyncio.TimerHandle] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def apply(self) -> None:
        """Ends the sessions that may not go on, and gives open transactions their end."""
        ended = transactions = 0
        for session in list(self._sessions):
            if session.transaction is not None:
                transactions += self._limit_transaction(session)
            elif not self._is_busy(session) and self._authenticator.revoked(session):
                self._end(session)
                ended += 1
        if ended or transactions:
            log_event(Event.KEYS_REVOKED, sessions=ended, transactions=transactions)

    def transaction_end(self, session: CallerSession) -> float:
        """Event-loop time, in seconds, by which a session's transaction must have ended."""
        timer = self._ends.get(session)
        return float("inf") if timer is None else timer.when()

    def check_after_answer(self, session: CallerSession) -> None:
        """Ends a session after an answer if that is due."""
        if session not in self._sessions:
            return
        if session.transaction is None:
            self.forget(session)
            if not self._is_busy(session) and self._authenticator.revoked(session):
                self._end(session)
        elif self.transaction_end(session) <= asyncio.get_running_loop().time():
            self._end_transaction(session)

    def forget(self, session: CallerSession) -> None:
        """Forgets the end of a session's transaction, which is over."""
        timer = self._ends.pop(session, None)
        if timer is not None:
            timer.cancel()

    def _limit_transaction(self, session: CallerSession) -> bool:
        """Gives a transaction its end if it has none yet; returns whether it is new."""
        if not self._authenticator.transaction_revoked(session):
            self.forget(session)
            return False
        if session in self._ends:
            return False
        loop = asyncio.get_running_loop()
        self._ends[session] = loop.call_later(self._transaction_s, self._end_transaction, session)
        return True

    def _end_transaction(self, session: CallerSession) -> None:
        """Rolls a transaction back; one with a statement in progress is ended after its answer."""
        if session not in self._sessions or self._is_busy(session):
            return
        if session.transaction is None:
            return
        log_event(
            Event.TRANSACTION_ABORTED,
            reason="key taken away or uncertain",
            session=session.number,
            customer=session.customer_name,
        )
        self._abort(session)
        self.forget(session)
        if self._authenticator.revoked(session):
            self._end(session)

    def _end(self, session: CallerSession) -> None:
        """Tells the caller why its session ends, and closes the connection."""
        self.forget(session)
        log_event(Event.SESSION_REVOKED, session=session.number, customer=session.customer_name)
        task = asyncio.create_task(_reject(self._sessions[session]))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _reject(connection: CallerConnection) -> None:
    refusal = refuse_statement(Refusal.UNAUTHENTICATED, "the key has been taken away")
    try:
        async with asyncio.timeout(REJECT_TIMEOUT_S):
            await connection.reject(refusal)
    except (CallerDisconnected, TimeoutError):
        pass
    finally:
        connection.close()
