"""The waiting requests of one caller, dispatched by turns of its sessions."""

from __future__ import annotations

from collections import deque
from typing import Generic, Protocol, TypeVar


class OfSession(Protocol):
    """An entry that belongs to a session."""

    @property
    def session(self) -> int | None:
        """Number of the session, None if it is unknown."""
        ...


EntryT = TypeVar("EntryT", bound=OfSession)


class CallerQueue(Generic[EntryT]):
    """Entries of one caller, round-robin by session; those of a session in order of arrival."""

    def __init__(self) -> None:
        self._sessions: dict[int | None, deque[EntryT]] = {}  # in round-robin order
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, entry: EntryT) -> None:
        """Adds an entry after the others of its session."""
        self._sessions.setdefault(entry.session, deque()).append(entry)
        self._size += 1

    @property
    def first(self) -> EntryT:
        """The next entry; the queue must not be empty."""
        return next(iter(self._sessions.values()))[0]

    @property
    def heaviest(self) -> EntryT:
        """Newest entry of the session with the most entries; the queue must not be empty."""
        return max(self._sessions.values(), key=len)[-1]

    def pop_first(self) -> None:
        """Removes the next entry; its session takes its next turn after the others."""
        session, entries = next(iter(self._sessions.items()))
        del self._sessions[session]
        entries.popleft()
        if entries:
            self._sessions[session] = entries
        self._size -= 1

    def remove(self, entry: EntryT) -> bool:
        """Removes an entry; False if it is not waiting."""
        entries = self._sessions.get(entry.session)
        if entries is None or entry not in entries:
            return False
        entries.remove(entry)
        if not entries:
            del self._sessions[entry.session]
        self._size -= 1
        return True

    def ahead(self, session: int | None) -> int:
        """Number of entries that would be dispatched before a new entry of a session."""
        own = len(self._sessions.get(session, ()))
        others = sum(
            min(len(entries), own + 1)
            for number, entries in self._sessions.items()
            if number != session
        )
        return own + others
