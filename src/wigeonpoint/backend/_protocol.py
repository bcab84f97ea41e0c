"""Interface to a database group: control of members, connections and answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from wigeonpoint.request import Statement


@dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """A position in a group's log; entries are counted across terms.

    Attributes:
        term: Term of the primary that wrote the entry.
        position: Number of the entry in the log, from 1.
    """

    term: int
    position: int


class MemberRole(StrEnum):
    """Role in which a member of a group acts."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Status that a member reports.

    Attributes:
        role: Role in which the member acts; it may not know yet that it was replaced.
        fenced_term: Highest term that the member accepts; it refuses lower ones.
        log_term: Term of the last entry in its log.
        position: Position of the last entry in its log.
        slots: Statements that it runs at the same time; None if not reported.
        connection_limit: Connections that it accepts; None if not reported.
        leaving: Whether the member announces that it is leaving.
    """

    role: MemberRole
    fenced_term: int
    log_term: int
    position: int
    slots: int | None = None
    connection_limit: int | None = None
    leaving: bool = False

    @property
    def at(self) -> LogPosition:
        """The end of the member's log."""
        return LogPosition(self.log_term, self.position)


@dataclass(frozen=True, slots=True)
class Exchange:
    """A statement as sent on a backend connection.

    Attributes:
        statement: The statement.
        read_only: Whether the server must refuse changes.
        request_id: For writes, id recorded with the answer in the same database transaction.
    """

    statement: Statement
    read_only: bool
    request_id: str | None = None


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """A server's answer, with the log position that its data reflects.

    Attributes:
        rows: Result rows.
        term: Term of the last entry that the answer reflects.
        position: Position of the last entry that the answer reflects.
        repeated: Whether the rows were recorded by an earlier run with the same request id.
        refused: Whether `settle` has prevented the transaction from committing.
    """

    rows: list[Any] = field(default_factory=list)
    term: int = 0
    position: int = 0
    repeated: bool = False
    refused: bool = False

    @property
    def at(self) -> LogPosition:
        """The last entry that the answer reflects."""
        return LogPosition(self.term, self.position)


class DatabaseMember(Protocol):
    """Control interface of one backend server, separate from statement connections.

    All calls raise `NotRun` with BACKEND_UNREACHABLE or `OutcomeUnknown` with CONNECTION_LOST when
    the member does not answer within `timeout` seconds.
    """

    async def status(self, *, timeout: float) -> MemberStatus:
        """Reports role, terms and log end."""
        ...

    async def fence(self, term: int, *, timeout: float) -> MemberStatus:
        """Makes the member refuse all lower terms; raises if it accepted a later term."""
        ...

    async def promote(self, term: int, *, timeout: float) -> MemberStatus:
        """Makes the member primary of the term that it is fenced at; the call is idempotent."""
        ...


class BackendConnection(Protocol):
    """One connection to a backend server; it carries one exchange at a time."""

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer be used."""
        ...

    async def execute(self, exchange: Exchange, *, timeout: float) -> BackendAnswer:
        """Runs a statement, inside the open transaction if there is one."""
        ...

    async def begin(self, *, timeout: float) -> int:
        """Opens a transaction and returns its term; a commit in another term is refused."""
        ...

    async def settle(
        self, request_id: str, transaction_key: str, *, timeout: float
    ) -> BackendAnswer:
        """Determines at the primary whether a transaction has committed, and makes that final.

        Unless the request id is recorded, the key of the transaction is recorded as refused in a
        database transaction of its own, so that a commit that arrives later is refused.

        Returns:
            The recorded answer with `repeated` set, or an answer with `refused` set.
        """
        ...

    async def commit(
        self, request_id: str | None, transaction_key: str = "", *, timeout: float
    ) -> BackendAnswer:
        """Commits the open transaction and records the request id with it.

        Raises:
            NotRun: TRANSACTION_LOST when the key of the transaction is recorded as refused.
        """
        ...

    async def rollback(self, *, timeout: float) -> None:
        """Rolls the open transaction back."""
        ...

    def close(self) -> None:
        """Closes the connection; an open transaction rolls back."""
        ...


class Backend(Protocol):
    """Access to the backend servers of database groups by address."""

    def member(self, address: str) -> DatabaseMember:
        """The control interface of the server at an address (`host:port`)."""
        ...

    async def connect(self, address: str, *, timeout: float) -> BackendConnection:
        """Opens a statement connection.

        Raises:
            NotRun: CONNECTION_LIMIT when the server is full, BACKEND_UNREACHABLE otherwise.
        """
        ...
