"""Messages between an instance and the relays of a member.

The replies to `RelayBegin`, `RelayStatement` and `RelayRollback` are `MemberAnswer`s.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wigeonpoint.backend import LogPosition
from wigeonpoint.request import Rank
from wigeonpoint.request.session import PreparedStatement, SessionStatement


@dataclass(frozen=True, slots=True)
class RelayCheck:
    """Asks a relay whether it reaches a member."""

    group: str
    member_id: str


@dataclass(frozen=True, slots=True)
class RelayPing:
    """Asks a relay whether it answers at all."""


@dataclass(frozen=True, slots=True)
class RelayReady:
    """The relay answers, or reaches the member that it was asked about."""


@dataclass(frozen=True, slots=True)
class FetchSample:
    """Asks a relay of a primary for the newest position that it knows of it."""

    group: str
    member_id: str


@dataclass(frozen=True, slots=True)
class SharedSample:
    """Answers `FetchSample`.

    Attributes:
        position: A position of the primary, None if the relay knows no recent one.
        age_s: Seconds before the answer at which the statement that reported it was sent.
    """

    position: LogPosition | None = None
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Tells a relay of a member the demand at another one; the answer tells that at the relay.

    Attributes:
        relay: Address of the sender.
        member_id: Member.
        weight: Demand at the sender, weighed by rank.
    """

    relay: str
    member_id: str
    weight: float


@dataclass(frozen=True, slots=True)
class RelayTerms:
    """Where a statement runs, and on whose behalf.

    Attributes:
        sender: Name of the sending instance.
        connection: Number of the sender's connection, unique for the sender.
        group: Database group.
        member_id: Member.
        after: Position that the member must have applied; None if it must be the primary.
        rank: Urgency.
        caller: Key for fair queueing within the rank.
        session: Number of the caller's session at the sender.
        remaining_s: Seconds that the caller still waits.
        configuration: Store version of the configuration by which the sender routes the statement;
            0 from an instance of an earlier build.
        customer: Name of the caller's customer, empty if it has none.
        patience_s: Seconds beyond which it is not worth waiting for a connection; None from an
            instance of an earlier build.
    """

    sender: str
    connection: int
    group: str
    member_id: str
    after: LogPosition | None
    rank: Rank
    caller: str
    session: int
    remaining_s: float
    configuration: int = 0
    customer: str = ""
    patience_s: float | None = None


@dataclass(frozen=True, slots=True)
class RelayBegin:
    """Asks a relay to begin a transaction on a connection that is kept for the sender's one."""

    terms: RelayTerms
    read_only: bool


@dataclass(frozen=True, slots=True)
class RelayStatement:
    """Asks a relay to run a statement.

    Attributes:
        terms: Where it runs, and on whose behalf.
        statement: The statement.
        in_transaction: Whether it belongs to the transaction that was begun on the connection.
        values: Session values.
        prepared: What the statement executes, None if it executes no prepared statement.
    """

    terms: RelayTerms
    statement: SessionStatement
    in_transaction: bool = False
    values: dict[str, str] = field(default_factory=dict)
    prepared: PreparedStatement | None = None


@dataclass(frozen=True, slots=True)
class RelayRollback:
    """Asks a relay to roll back the transaction of a connection, if it has one."""

    sender: str
    connection: int
