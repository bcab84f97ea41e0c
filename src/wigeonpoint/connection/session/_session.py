"""State of one caller's session."""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection.session._pooled_connection import PooledConnection
from wigeonpoint.request.session import PreparedStatement, TransactionState
from wigeonpoint.version.catalogue import Customer, DatabaseRoute

_SESSION_NUMBERS = itertools.count(1)


@dataclass(slots=True)
class SessionTransaction:
    """An open transaction of a session.

    It has no connection until its first statement runs, so that a caller that pauses after BEGIN
    occupies none.

    Attributes:
        route: The route when it began; later changes of the route do not affect it.
        read_only: Whether it was begun read-only.
        connection: The connection that it is bound to, or None before its first statement.
        wrote: Whether one of its writes has run.
    """

    route: DatabaseRoute
    read_only: bool
    connection: PooledConnection | None = None
    wrote: bool = False


@dataclass(frozen=True, slots=True)
class SessionSnapshot:
    """What a statement needs of its session, as it was when the statement was accepted.

    An attempt that has been given up may go on while the session takes further statements.

    Attributes:
        number: Number of the session.
        values: Session values by name.
        prepared: The prepared statement that is executed, None if it is another statement.
        committed: Position of the session's last commit in the statement's group, or None.
    """

    number: int
    values: Mapping[str, str] = field(default_factory=dict)
    prepared: PreparedStatement | None = None
    committed: LogPosition | None = None


@dataclass(slots=True, eq=False)
class CallerSession:
    """A caller's session; it lasts as long as the caller's connection.

    Attributes:
        database: Database name that the caller connected to.
        number: Unique number within the process.
        values: Session values by name.
        prepared: Prepared statements by the caller's names.
        state: Transaction state as the caller sees it.
        transaction: The open transaction, or None.
        committed: Position of the session's last commit, by database group.
        active_at: Event-loop time, in seconds, of the last answer.
        abort_unreported: Whether its transaction was rolled back and the caller does not know yet.
        key_digest: Digest of the key that the caller presented, empty if it presented none.
        customer: The caller's customer when its last operation began, None if it has none.
    """

    database: str
    number: int = field(default_factory=lambda: next(_SESSION_NUMBERS))
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    state: TransactionState = TransactionState.IDLE
    transaction: SessionTransaction | None = None
    committed: dict[str, LogPosition] = field(default_factory=dict)
    active_at: float = 0.0
    abort_unreported: bool = False
    key_digest: bytes = field(default=b"", repr=False)
    customer: Customer | None = None

    @property
    def idle(self) -> bool:
        """Whether no transaction is open."""
        return self.state is TransactionState.IDLE

    @property
    def customer_name(self) -> str:
        """Name of the caller's customer, empty if it has none."""
        return self.customer.name if self.customer is not None else ""

    def snapshot(self, *, group: str, prepared_name: str | None) -> SessionSnapshot:
        """Copies what a statement needs of the session.

        Args:
            group: Name of the statement's group.
            prepared_name: Name of the prepared statement that it executes, None for others.
        """
        return SessionSnapshot(
            self.number,
            dict(self.values),
            None if prepared_name is None else self.prepared.get(prepared_name),
            self.committed.get(group),
        )

    def begin(self, route: DatabaseRoute, *, read_only: bool) -> None:
        """Opens a transaction."""
        self.transaction = SessionTransaction(route, read_only)
        self.state = TransactionState.OPEN

    def note_abort(self) -> None:
        """Records a rollback between two statements; the next reply tells the caller of it."""
        self.state = TransactionState.FAILED
        self.abort_unreported = True

    def end(self) -> PooledConnection | None:
        """Ends the transaction.

        Returns:
            The connection that it was bound to.
        """
        connection = self.transaction.connection if self.transaction else None
        self.transaction = None
        self.state = TransactionState.IDLE
        self.abort_unreported = False
        return connection
