"""Answer to a caller: outcome, result code, rows and session token."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from wigeonpoint.errors import Outcome, ResultCode


@dataclass(slots=True)
class Answer:
    """The answer to one request of a caller.

    Attributes:
        code: Result code.
        outcome: Done, not run or unknown.
        rows: Result rows of the statement.
        session: Session token to send with the next request.
        request_id: Id under which a write was recorded.
        repeated: Whether the rows come from an earlier run of the same request id.
        served_by: Backend server that answered.
        from_replica: Whether a replica answered.
        age_ms: Proven upper bound of the data's age in milliseconds, for reads that allow an age.
        retry_after_ms: Milliseconds after which a retry may succeed.
        transaction: Id for the next request of an open transaction.
        message: Description of the error; empty without one.
    """

    code: ResultCode = ResultCode.DONE
    outcome: Outcome = Outcome.DONE
    rows: list[Any] = field(default_factory=list)
    session: str | None = None
    request_id: str | None = None
    repeated: bool = False
    served_by: str | None = None
    from_replica: bool = False
    age_ms: int | None = None
    retry_after_ms: int | None = None
    transaction: str | None = None
    message: str = ""
