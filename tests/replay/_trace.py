"""Format of a trace: a deployment, steps in order of time, and the expected outcome."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field

TRACES = Path(__file__).resolve().parent.parent / "traces"


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid")


class Deployment(_Model):
    """Instances and members of a trace.

    Attributes:
        instances: Names of the instances by data centre.
        members: Data centre of each member of the group; the first member is the primary.
        member_options: Limits and delays of the members.
        instance_settings: Settings of the instances.
    """

    instances: dict[str, list[str]]
    members: list[str]
    member_options: dict[str, float] = Field(default_factory=dict)
    instance_settings: dict[str, Any] = Field(default_factory=dict)


class Step(_Model):
    """One action of callers or of an operator, or one fault.

    Attributes:
        at: Seconds after the start.
        do: Kind of the step.
        id: Name of the step; its answer is compared with the expected answer of this name.
        target: Instance, member or data centre that it affects; an `edit` without one is written
            directly into the tables.
        other: Second data centre of a network partition (`cut`), or the data centre of a new
            instance.
        seconds: Length of the steps `stream`, `transactions` and `readers`.
        callers: Number of callers of the steps `stream` and `transactions`.
        resolve_s: Seconds for which a caller repeats a request whose outcome is unknown; longer
            than the longest time without a primary in the trace.
        instances: Instances that a stream uses; all if empty.
        body: Fields of a statement, of an edit or of a fault.
        session_of: Id of the step whose session token the statement sends.
    """

    at: float
    do: Literal[
        "statement",
        "stream",
        "transactions",
        "readers",
        "drop",
        "kill",
        "pause",
        "resume",
        "terminate",
        "cut",
        "heal",
        "platform",
        "member",
        "leave",
        "start_instance",
        "edit",
    ]
    id: str = ""
    target: str = ""
    other: str = ""
    seconds: float = 0.0
    callers: int = 1
    resolve_s: float = 30.0
    instances: list[str] = Field(default_factory=list)
    body: dict[str, Any] = Field(default_factory=dict)
    session_of: str = ""


class ExpectedAnswer(_Model):
    """Accepted answers to a step; an empty list accepts any value."""

    outcome: list[str] = Field(default_factory=list)
    name: list[str] = Field(default_factory=list)
    rows: list[Any] | None = None


class Expected(_Model):
    """Expected outcome of a trace; counts without `min_` in their name are upper bounds."""

    missing: int = 0
    run_twice: int = 0
    not_run_that_ran: int = 0
    stale_reads: int = 0
    never_resolved: int = 0
    half_transactions: int = 0
    wrong_answers: int = 0
    cut_off_requests: int = 0
    work_after_leaving: int = 0
    reverts: int = 0
    numbers_at_end: int = 1
    in_force_s: float | None = None
    min_acknowledged: int = 0
    min_aged_reads: int = 0
    longest_gap_s: float | None = None
    answers: dict[str, ExpectedAnswer] = Field(default_factory=dict)


class Trace(_Model):
    """A trace that shows that a promise holds.

    Attributes:
        promise: Number of the promise.
        description: What happens in the trace.
        deployment: Instances and members.
        steps: Steps of the trace.
        settle_s: Seconds to wait after the last step before the database is read.
        expected: Expected outcome.
    """

    promise: int
    description: str
    deployment: Deployment
    steps: list[Step]
    settle_s: float = 2.0
    expected: Expected


def read_trace(name: str) -> Trace:
    """Reads a trace from `tests/traces` by name."""
    return Trace.model_validate_json((TRACES / f"{name}.json").read_bytes())
