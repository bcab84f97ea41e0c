"""The format of a trace: a deployment, steps in order of time, and the stated outcome."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field

TRACES = Path(__file__).resolve().parent.parent / "traces"


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid")


class Deployment(_Model):
    """Instances by data centre, data centres of the group's members, and member options."""

    instances: dict[str, list[str]]
    members: list[str]
    member_options: dict[str, float] = Field(default_factory=dict)
    instance_settings: dict[str, Any] = Field(default_factory=dict)


class Step(_Model):
    """One thing that a caller, an operator or a fault does.

    Attributes:
        at: Seconds after the start.
        do: What is done.
        id: Name under which the answer is compared with the stated outcome.
        target: Instance, member or data centre that it concerns; an `edit` without one is written
            straight into the tables.
        other: Second data centre of a cut.
        seconds: Length of a stream.
        callers: Number of callers of a stream.
        resolve_s: Time for which a caller repeats an entry without an outcome; longer than the
            longest time without a primary that the trace brings about.
        instances: Instances that a stream uses; all when empty.
        body: Fields of a statement, or of a fault.
        session_of: Step whose session token the statement carries.
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
    """What the answer of a step may be."""

    outcome: list[str] = Field(default_factory=list)
    name: list[str] = Field(default_factory=list)
    rows: list[Any] | None = None


class Expected(_Model):
    """The outcome stated beforehand; counts are upper bounds."""

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
    """A recorded trace."""

    promise: int
    description: str
    deployment: Deployment
    steps: list[Step]
    settle_s: float = 2.0
    expected: Expected


def read_trace(name: str) -> Trace:
    """Reads a trace of tests/traces by name."""
    return Trace.model_validate_json((TRACES / f"{name}.json").read_bytes())
