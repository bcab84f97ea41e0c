"""The open sessions of callers, and how they are closed without interrupting a statement."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

from wigeonpoint.connection.session import CallerConnection, CallerSession
from wigeonpoint.version.catalogue import DatabaseRoute


class OpenSessions:
    """The open sessions.

    Args:
        route: Returns a session's route, None if it has been removed.
        roll_back: Rolls back a session's transaction between two statements.
    """

    def __init__(
        self,
        route: Callable[[CallerSession], DatabaseRoute | None],
        roll_back: Callable[[CallerSession], None],
    ) -> None:
        self._route = route
        self._roll_back = roll_back
        self._connections: dict[CallerSession, CallerConnection] = {}
        self._running: set[CallerSession] = set()
        self._closes_left = 0  # of busy sessions, until the next call of `end_sessions`
        self._last_end_at = float("inf")
        self._aborting = False

    def __len__(self) -> int:
        """Number of open sessions."""
        return len(self._connections)

    @property
    def connections(self) -> Mapping[CallerSession, CallerConnection]:
        """The connections of the open sessions."""
        return self._connections

    @property
    def last_end_at(self) -> float:
        """Event-loop time, in seconds, by which all statements must end."""
        return self._last_end_at

    def add(self, session: CallerSession, connection: CallerConnection) -> None:
        """Adds a session that has been opened."""
        self._connections[session] = connection

    def remove(self, session: CallerSession) -> None:
        """Removes a session that has ended."""
        self._connections.pop(session, None)

    @contextmanager
    def running(self, session: CallerSession) -> Iterator[None]:
        """Marks that a session has a statement in progress."""
        self._running.add(session)
        try:
            yield
        finally:
            self._running.discard(session)
            session.active_at = asyncio.get_running_loop().time()

    def has_statement(self, session: CallerSession) -> bool:
        """Whether a statement is in progress, or has arrived and has not begun to be answered."""
        return session in self._running or self._connections[session].message_arrived

    def close_idle(self, max_sessions: int) -> int:
        """Closes sessions without a statement in progress or a transaction, longest idle first.

        Args:
            max_sessions: Sessions to close at most.

        Returns:
            Number of closed sessions.
        """
        idle = [session for session in self._connections if not self._is_busy(session)]
        closed = sorted(idle, key=lambda one: one.active_at)[:max_sessions]
        for session in closed:
            self._connections[session].close()
        return len(closed)

    def end_sessions(self, max_sessions: int, *, last_end_at: float) -> None:
        """Closes some sessions: idle ones now, busy ones when their statements end.

        Sessions whose next statement might not end in time are closed whatever their number. No
        statement runs longer than until that time.

        Args:
            max_sessions: Sessions to close until the next call, beside those.
            last_end_at: Event-loop time in seconds by which all statements must have ended.
        """
        self._last_end_at = last_end_at
        for session in [one for one in self._connections if self._is_last_statement(one)]:
            if not self._is_busy(session):
                self._connections[session].close()
        self._closes_left = max_sessions - self.close_idle(max_sessions)

    def abort_transactions(self) -> None:
        """Rolls back open transactions, those with a statement in progress at its end."""
        self._aborting = True
        for session in list(self._connections):
            self._abort_transaction(session)

    def check_after_answer(self, session: CallerSession) -> None:
        """Ends the session or its transaction, if that is due and nothing else has arrived."""
        if session not in self._connections or self._last_end_at == float("inf"):
            return
        if self._aborting:
            self._abort_transaction(session)
        if self._is_busy(session):
            return
        if self._is_last_statement(session):
            self._connections[session].close()
        elif self._closes_left > 0:
            self._closes_left -= 1
            self._connections[session].close()

    def _is_busy(self, session: CallerSession) -> bool:
        return self.has_statement(session) or not session.idle

    def _is_last_statement(self, session: CallerSession) -> bool:
        """Whether a statement that is sent after the present one might not end in time."""
        route = self._route(session)
        timeout_s = route.timeout_s if route is not None else 0.0
        return asyncio.get_running_loop().time() + timeout_s >= self._last_end_at

    def _abort_transaction(self, session: CallerSession) -> None:
        if session.transaction is not None and not self.has_statement(session):
            self._roll_back(session)
