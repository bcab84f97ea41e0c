"""A statement of a caller's session, independent of the protocol that carried it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from wigeonpoint.request._statement import Access


class Verb(Enum):
    """What a statement asks for."""

    BEGIN = auto()
    BEGIN_READ = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    READ = auto()
    WRITE = auto()
    SET = auto()
    PREPARE = auto()
    EXECUTE = auto()
    DEALLOCATE = auto()
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A statement shape that a session has prepared under a name.

    Attributes:
        access: Whether executing it reads or writes.
        shape: The shape as the caller wrote it.
    """

    access: Access
    shape: str


@dataclass(frozen=True, slots=True)
class SessionStatement:
    """One statement of a session.

    Attributes:
        id: The caller's id of the statement, forwarded unchanged.
        text: The statement text, forwarded unchanged except for the name of a prepared statement.
        verb: What it asks for.
        name: Name of the value or of the prepared statement, empty where the verb has none.
        argument: Value, item or data after the name, as the caller wrote it.
        prepared: The statement that `PREPARE` defines, otherwise None.
    """

    id: str
    text: str
    verb: Verb
    name: str = ""
    argument: str = ""
    prepared: PreparedStatement | None = None


class TransactionState(Enum):
    """State of a session or of a connection to a backend server."""

    IDLE = auto()
    OPEN = auto()
    FAILED = auto()  # only the end of the transaction is accepted
