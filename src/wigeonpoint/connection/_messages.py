"""Messages between the instance that receives a request and the owner of a backend server."""

from __future__ import annotations

from dataclasses import dataclass, field

from wigeonpoint.backend import Exchange, LogPosition
from wigeonpoint.connection._statement_sequence import StatementSequence
from wigeonpoint.request import Rank
from wigeonpoint.version import Durability


@dataclass(frozen=True, slots=True)
class RequestContext:
    """Context that the owner of a backend server needs to queue a request.

    Attributes:
        pool: Name of the pool, whose row sets limits and shares.
        group: Name of the database group.
        server_id: Backend server that the request is for.
        route: Name of the route.
        rank: Urgency of the request.
        caller: Name of the caller, for fair queueing.
        remaining_ms: Milliseconds until the deadline, when the message was sent.
        accept_any: Serve the request even if the receiver is not the owner in its own view.
    """

    pool: str
    group: str
    server_id: str
    route: str
    rank: Rank
    caller: str
    remaining_ms: float
    accept_any: bool = False


@dataclass(frozen=True, slots=True)
class ExecuteMessage:
    """Runs one statement.

    Attributes:
        work: Request context.
        exchange: Statement and request id.
        confirm: Whether the answer must be confirmed by a majority of the group.
        durability: What a confirmation of a write requires.
        required: Position that the server's log must contain, for reads on replicas.
        message_id: Id by which the message can be cancelled.
    """

    work: RequestContext
    exchange: Exchange
    confirm: bool
    durability: Durability = Durability.MAJORITY
    required: LogPosition | None = None
    message_id: str = ""


@dataclass(frozen=True, slots=True)
class SamplePositionMessage:
    """Asks for the confirmed position of a primary."""

    group: str
    server_id: str


@dataclass(frozen=True, slots=True)
class SamplePositionReply:
    """End of the primary's log, read after the message was sent."""

    term: int
    position: int

    @property
    def at(self) -> LogPosition:
        """Term and position."""
        return LogPosition(self.term, self.position)


@dataclass(frozen=True, slots=True)
class SettleMessage:
    """Determines at the primary whether a transaction has committed; if not, it never will.

    Attributes:
        work: Request context.
        request_id: Request id of the commit.
        transaction_key: Number of the transaction at the owner that began it.
    """

    work: RequestContext
    request_id: str
    transaction_key: str


@dataclass(frozen=True, slots=True)
class BeginMessage:
    """Begins a transaction for a session.

    Attributes:
        work: Request context.
        session_id: Session that the transaction belongs to.
        message_id: Id by which the message can be cancelled.
    """

    work: RequestContext
    session_id: str
    message_id: str = ""


@dataclass(frozen=True, slots=True)
class BeginReply:
    """Number of the transaction at its owner, and the term of the primary."""

    number: str
    term: int = 0


@dataclass(frozen=True, slots=True)
class StatementMessage:
    """Runs a statement in an open transaction; without `sequence`, its place is not checked."""

    number: str
    session_id: str
    exchange: Exchange
    remaining_ms: float
    sequence: StatementSequence | None = None


@dataclass(frozen=True, slots=True)
class CommitMessage:
    """Commits an open transaction under a request id; the pool's row sets the durability."""

    number: str
    session_id: str
    request_id: str
    remaining_ms: float
    sequence: StatementSequence | None = None
    pool: str = ""


@dataclass(frozen=True, slots=True)
class RollbackMessage:
    """Rolls an open transaction back."""

    number: str
    session_id: str
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class CancelMessage:
    """Cancels an `ExecuteMessage` or `BeginMessage` by its message id."""

    server_id: str
    message_id: str


@dataclass(frozen=True, slots=True)
class CancelReply:
    """Whether the request was known, and whether it may have been sent to the backend server."""

    known: bool
    sent: bool


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A reply without content."""


@dataclass(frozen=True, slots=True)
class AnnouncePrimaryMessage:
    """Tells an instance about a new primary.

    Attributes:
        group: Name of the database group.
        server_id: Backend server that is the new primary.
        term: Term of the new primary.
        history: Pairs of term and start position, oldest first.
        members: Members of the group in that term, from the group record.
    """

    group: str
    server_id: str
    term: int
    history: list[tuple[int, int]]
    members: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class FetchHistoryMessage:
    """Asks a watcher of a group for the history of its terms."""

    group: str


@dataclass(frozen=True, slots=True)
class FetchHistoryReply:
    """History and members of a group, as the asked instance knows them.

    Attributes:
        history: Pairs of term and start position, oldest first.
        members: Members from the group record; empty if no record is known.
        members_term: Term of the group record.
    """

    history: list[tuple[int, int]]
    members: list[str]
    members_term: int


@dataclass(frozen=True, slots=True)
class PauseWritesMessage:
    """Asks the owner of a leaving primary to delay its writes.

    Attributes:
        group: Name of the database group.
        server_id: The leaving primary.
        pause_ms: Milliseconds after which writes continue in any case.
    """

    group: str
    server_id: str
    pause_ms: float


@dataclass(frozen=True, slots=True)
class ProbeMemberMessage:
    """Asks an instance whether it reaches a member."""

    group: str
    server_id: str


@dataclass(frozen=True, slots=True)
class ProbeMemberReply:
    """Whether the asked instance reached the member."""

    reached: bool
