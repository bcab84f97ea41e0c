"""Bounds what the values and prepared statements of sessions hold."""

from __future__ import annotations

from collections.abc import Callable

from wigeonpoint.connection.session import CallerSession
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.policy import ByteBudget
from wigeonpoint.request.session import (
    PreparedStatement,
    Refusal,
    Reply,
    SessionStatement,
    Verb,
    refuse_statement,
)

ENTRY_BYTES = 200  # of the objects of an entry, beside its texts


class SessionMemory:
    """Keeps values and prepared statements of sessions within a budget of all sessions.

    An entry for which a session alone has no room is refused. If all sessions together hold too
    much, the one that holds most is closed.

    Args:
        limit: Bytes that all sessions may hold.

    Attributes:
        refusals: Number of entries refused so far.
        closed: Number of sessions closed so far.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._budget: ByteBudget[CallerSession] = ByteBudget(limit)
        self._close: dict[CallerSession, Callable[[], None]] = {}
        self.refusals = 0
        self.closed = 0

    @property
    def held(self) -> int:
        """Bytes that all sessions hold."""
        return self._budget.total

    def add(self, session: CallerSession, close: Callable[[], None]) -> None:
        """Adds a session.

        Args:
            session: The session.
            close: Closes its connection.
        """
        self._close[session] = close

    def run(self, session: CallerSession, statement: SessionStatement) -> Reply:
        """Runs a SET, PREPARE or DEALLOC statement."""
        name, prepared = statement.name, statement.prepared
        if statement.verb is Verb.DEALLOCATE:
            if self._deallocate(session, name):
                return Reply()
            return refuse_statement(Refusal.UNKNOWN_STATEMENT, f"no statement {name}")
        if prepared is not None:
            kept = self._prepare(session, name, prepared)
        else:
            kept = self._set_value(session, name, statement.argument)
        if kept:
            return Reply()
        # Not a refusal that guarantees no effect: writes of an open transaction may still commit.
        return refuse_statement(Refusal.TOO_LARGE, "the session holds too much already")

    def end(self, session: CallerSession) -> None:
        """Drops the values and prepared statements of a session that has ended."""
        self._budget.release(session)
        self._close.pop(session, None)
        session.values.clear()
        session.prepared.clear()

    def _set_value(self, session: CallerSession, name: str, value: str) -> bool:
        """Sets a session value; returns False if there is no room for it."""
        old = session.values.get(name)
        removed = 0 if old is None else _entry_bytes(name, old)
        if not self._replace(session, removed, _entry_bytes(name, value)):
            return False
        session.values[name] = value
        return True

    def _prepare(self, session: CallerSession, name: str, prepared: PreparedStatement) -> bool:
        """Keeps a prepared statement; returns False if there is no room for it."""
        old = session.prepared.get(name)
        removed = 0 if old is None else _entry_bytes(name, old.shape)
        if not self._replace(session, removed, _entry_bytes(name, prepared.shape)):
            return False
        session.prepared[name] = prepared
        return True

    def _deallocate(self, session: CallerSession, name: str) -> bool:
        """Drops a prepared statement; returns False if the session has none of this name."""
        prepared = session.prepared.pop(name, None)
        if prepared is None:
            return False
        self._replace(session, _entry_bytes(name, prepared.shape), 0)
        return True

    def _replace(self, session: CallerSession, removed: int, added: int) -> bool:
        count = self._budget.held(session) - removed + added
        if added > removed and count > self._limit:
            self.refusals += 1
            return False
        self._budget.hold(session, count)
        while self._budget.exceeded:
            self._close_heaviest()
        return True

    def _close_heaviest(self) -> None:
        heaviest = self._budget.heaviest()
        if heaviest is None:
            return
        self.closed += 1
        log_event(
            Event.SESSION_MEMORY_FULL,
            held=self._budget.total,
            session=heaviest.number,
            session_bytes=self._budget.held(heaviest),
        )
        self._budget.release(heaviest)
        self._close[heaviest]()


def _entry_bytes(name: str, text: str) -> int:
    return ENTRY_BYTES + len(name) + len(text)
