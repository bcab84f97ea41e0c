"""A caller's request: statement, access, rank, deadline and consistency."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


class Access(StrEnum):
    """Whether a statement may change data; backend servers refuse changes by reads."""

    READ = "read"
    WRITE = "write"


class Rank(StrEnum):
    """Urgency of a request, from the most to the least urgent."""

    URGENT = "urgent"
    STANDARD = "standard"
    BULK = "bulk"


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement for a database.

    Attributes:
        text: Statement text, with a `?` placeholder for each parameter.
        parameters: Values for the `?` placeholders, in order.
    """

    text: str
    parameters: list[Any] = field(default_factory=list)


@dataclass(slots=True)
class StatementRequest:
    """One statement of a caller, as the receiving instance processes it.

    Attributes:
        route: Name of the route.
        statement: The statement.
        access: Read or write.
        request_id: Id under which a write is recorded with its answer.
        idempotent: Whether the caller allows the statement to run more than once.
        rank: Urgency of the request.
        caller: Name of the authenticated caller, used for fair queueing.
        deadline: Event-loop time, in seconds, after which the answer is useless.
        max_age_ms: Accepted age of the data in milliseconds; None for session consistency.
        session: Session token as received, or None.
    """

    route: str
    statement: Statement
    access: Access
    request_id: str | None
    idempotent: bool
    rank: Rank
    caller: str
    deadline: float
    max_age_ms: int | None = None
    session: str | None = None
