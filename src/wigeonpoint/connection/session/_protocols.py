"""Interfaces to callers and to members of database groups, implemented by an adapter."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from wigeonpoint.backend import LogPosition, MemberRole
from wigeonpoint.request import Rank
from wigeonpoint.request.session import (
    PreparedStatement,
    Reply,
    SessionStatement,
    TransactionState,
)
from wigeonpoint.version.catalogue import MemberRecord


class MemberFault(Enum):
    """Why a member did not give a result."""

    # It did not run the statement.
    BUSY = auto()
    BEHIND = auto()  # its log lacks the required position
    NOT_PRIMARY = auto()
    WRONG_MEMBER = auto()  # the address belongs to another member or service now
    TOO_MANY_CONNECTIONS = auto()
    UNKNOWN_STATEMENT = auto()

    # It ran the statement.
    FAILED = auto()
    TIMED_OUT = auto()

    MALFORMED = auto()
    OTHER = auto()

    @property
    def not_run(self) -> bool:
        """Whether the member says that it did not run the statement."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        MemberFault.BUSY,
        MemberFault.BEHIND,
        MemberFault.NOT_PRIMARY,
        MemberFault.WRONG_MEMBER,
        MemberFault.TOO_MANY_CONNECTIONS,
        MemberFault.UNKNOWN_STATEMENT,
    }
)


@dataclass(frozen=True, slots=True)
class MemberAnswer:
    """A complete answer of a member.

    Attributes:
        state: State of the connection after the answer.
        position: Position of the member's applied log, None if it gave none.
        rows: Result rows, unchanged.
        proof: The member's proof, unchanged.
        fault: Why there is no result, or None.
        detail: Text that came with a fault.
    """

    state: TransactionState
    position: LogPosition | None = None
    rows: list[str] = field(default_factory=list)
    proof: str | None = None
    fault: MemberFault | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Status that a member reports of itself.

    Attributes:
        role: Role that it believes it has.
        term: Term of its log.
        received: End of the log that it has received.
        held_term: Term for which it has been suspended, 0 if it is not.
        lag_s: Replication lag of its applied log, in seconds.
        busy: Execution slots in use.
        connections: Connections from all instances together.
    """

    role: MemberRole
    term: int
    received: LogPosition | None
    held_term: int
    lag_s: float
    busy: int
    connections: int

    @property
    def newest_term(self) -> int:
        """Highest term that the member knows of."""
        return max(self.term, self.held_term)


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """On whose behalf a statement runs, and how long its caller waits.

    Attributes:
        rank: Urgency.
        caller: Key for fair queueing within the rank.
        deadline: Event-loop time, in seconds, until which the caller waits.
        session: Number of the caller's session.
        customer: Name of the caller's customer, empty if it has none.
        patience_s: Seconds beyond which it is not worth waiting for a connection, None if unknown.
    """

    rank: Rank
    caller: str
    deadline: float
    session: int
    customer: str = ""
    patience_s: float | None = None


class MemberUnreachable(Exception):
    """No connection to the member could be made; nothing was sent."""


class MemberConnectionLost(Exception):
    """The connection ended before the answer was complete; the statement may have run."""


class MemberRefused(Exception):
    """The member refused the connection.

    Args:
        fault: Why.
    """

    def __init__(self, fault: MemberFault) -> None:
        super().__init__(f"member refused the connection: {fault.name.lower()}")
        self.fault = fault


class MemberConnection(Protocol):
    """A connection to one member; it carries one statement at a time."""

    @property
    def customer(self) -> str | None:
        """The customer whose statements it may run; empty for none, None for any."""
        ...

    @property
    def closed(self) -> bool:
        """Whether it can carry no further statement."""
        ...

    @property
    def verified(self) -> bool:
        """Whether the member was reached when the connection was opened."""
        ...

    def assign(self, terms: RequestTerms) -> None:
        """Tells on whose behalf the next statements run, for a connection that queues them."""
        ...

    async def run(
        self,
        statement: SessionStatement,
        *,
        after: LogPosition | None = None,
        prepared_name: str | None = None,
    ) -> MemberAnswer:
        """Runs a caller's statement with its id and text unchanged.

        Args:
            statement: The statement.
            after: Position that the member's log must have applied; reads only.
            prepared_name: Name to execute instead of the caller's name of a prepared statement.

        Raises:
            MemberConnectionLost: The answer is incomplete or missing.
            NotRun: The statement was refused before it reached the member.
        """
        ...

    async def begin(self, *, read_only: bool, after: LogPosition | None = None) -> MemberAnswer:
        """Begins a transaction."""
        ...

    async def rollback(self) -> MemberAnswer:
        """Rolls the transaction back."""
        ...

    async def set_value(self, name: str, value: str) -> MemberAnswer:
        """Sets a session value."""
        ...

    async def prepare(self, name: str, prepared: PreparedStatement) -> MemberAnswer:
        """Prepares a statement."""
        ...

    async def reset(self) -> MemberAnswer:
        """Clears session values and prepared statements."""
        ...

    def close(self) -> None:
        """Closes the connection; an open transaction is rolled back by the member."""
        ...


class ControlConnection(MemberConnection, Protocol):
    """A connection to the member itself, which takes control calls too."""

    async def report(self) -> MemberReport | None:
        """Asks the member for its status; None if it is too busy to answer."""
        ...

    async def suspend(self, term: int) -> MemberReport | None:
        """Stops a replica from replicating from primaries of lower terms."""
        ...

    async def resume(self) -> MemberReport | None:
        """Ends the suspension of a replica."""
        ...

    async def demote(self, term: int) -> MemberReport | None:
        """Turns a primary of a lower term into a replica."""
        ...


class MemberConnector(Protocol):
    """Opens connections to members."""

    async def connect(
        self, record: MemberRecord, *, timeout: float, verify: bool = True, customer: str = ""
    ) -> MemberConnection:
        """Opens a connection and tells the member which one is expected at the address.

        Args:
            record: The member.
            timeout: Seconds to wait for the member to accept.
            verify: Whether the member must be contacted now, even if its first statement could do
                that as well.
            customer: Customer on whose behalf the connection runs statements; empty for none.

        Raises:
            MemberUnreachable: No connection could be made in time.
            MemberRefused: The member refused.
        """
        ...


class ControlConnector(Protocol):
    """Opens connections to members themselves; it is a `MemberConnector` as well."""

    async def connect(
        self, record: MemberRecord, *, timeout: float, verify: bool = True, customer: str = ""
    ) -> ControlConnection:
        """Opens a connection like `MemberConnector.connect`."""
        ...


@dataclass(frozen=True, slots=True)
class OpenSession:
    """Message that opens a caller's session.

    Attributes:
        database: Database name.
        key_digest: Digest of the key with which the caller identifies itself, empty if it sent
            none.
    """

    database: str
    key_digest: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class EndSession:
    """Message that ends a caller's session."""


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """A message that cannot be read.

    Attributes:
        problem: What is wrong with it.
        too_large: Whether it exceeds the size limit.
    """

    problem: str
    too_large: bool = False


CallerMessage = OpenSession | SessionStatement | EndSession | MalformedMessage


class CallerDisconnected(Exception):
    """The caller's connection has ended."""


class CallerConnection(Protocol):
    """The connection of one caller."""

    @property
    def message_arrived(self) -> bool:
        """Whether a message has arrived that `receive` has not returned yet."""
        ...

    async def receive(self) -> CallerMessage:
        """Waits for the next message.

        Raises:
            CallerDisconnected: The connection has ended.
        """
        ...

    async def accept(self) -> None:
        """Tells the caller that its session is open."""
        ...

    async def reply(self, reply: Reply, state: TransactionState) -> None:
        """Answers a statement.

        Raises:
            CallerDisconnected: The connection has ended.
        """
        ...

    async def reject(self, reply: Reply) -> None:
        """Answers with a refusal that ends the session."""
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...
