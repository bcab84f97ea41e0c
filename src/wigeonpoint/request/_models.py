"""Validated request bodies of the HTTP interface for callers."""

from __future__ import annotations

from typing import Any, TypeVar

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wigeonpoint.errors import InvalidRequest, ResultCode
from wigeonpoint.request._statement import Access, Rank

MAX_NAME_LENGTH = 200

BodyT = TypeVar("BodyT", bound=BaseModel)


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid")


class StatementBody(_Body):
    """Body of a single statement.

    Attributes:
        route: Name of the route.
        text: Statement text.
        parameters: Values for the `?` placeholders, in order.
        access: Read or write.
        request_id: Id under which a write is recorded with its answer.
        idempotent: Whether the statement may run more than once.
        rank: Urgency of the request; the route's rank when absent.
        deadline_ms: Milliseconds after which the answer is useless.
        max_age_ms: Accepted age of the data in milliseconds; 0 asks for current data.
        session: Session token of the previous answer.
    """

    route: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    text: str = Field(min_length=1)
    parameters: list[Any] = Field(default_factory=list)
    access: Access
    request_id: str | None = Field(default=None, min_length=1, max_length=MAX_NAME_LENGTH)
    idempotent: bool = False
    rank: Rank | None = None
    deadline_ms: int | None = Field(default=None, gt=0)
    max_age_ms: int | None = Field(default=None, ge=0)
    session: str | None = None


class BeginBody(_Body):
    """Body of a request that opens a transaction."""

    route: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    rank: Rank | None = None
    deadline_ms: int | None = Field(default=None, gt=0)
    session: str | None = None


class TransactionStatementBody(_Body):
    """Body of a statement in a transaction.

    Attributes:
        text: Statement text.
        sequence: Number of requests that the caller has sent in the transaction, including this
            one.
        parameters: Values for the `?` placeholders, in order.
        access: Read or write.
        deadline_ms: Milliseconds after which the answer is useless.
        session: Session token of the previous answer.
    """

    text: str = Field(min_length=1)
    sequence: int = Field(ge=1)
    parameters: list[Any] = Field(default_factory=list)
    access: Access
    deadline_ms: int | None = Field(default=None, gt=0)
    session: str | None = None


class RollbackBody(_Body):
    """Body of a rollback."""

    deadline_ms: int | None = Field(default=None, gt=0)
    session: str | None = None


class CommitBody(_Body):
    """Body of a commit; its `sequence` counts the commit too."""

    sequence: int = Field(ge=1)

    request_id: str | None = Field(default=None, min_length=1, max_length=MAX_NAME_LENGTH)
    deadline_ms: int | None = Field(default=None, gt=0)
    session: str | None = None


def parse_body(model: type[BodyT], data: bytes) -> BodyT:
    """Parses and validates a JSON request body.

    Raises:
        InvalidRequest: MALFORMED_JSON, or INVALID_FIELD with the path of each invalid field.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise InvalidRequest(ResultCode.MALFORMED_JSON, f"the body is not JSON: {error}") from error
    try:
        return model.model_validate(value)
    except ValidationError as error:
        fields = "; ".join(
            f"{'.'.join(map(str, detail['loc'])) or 'body'}: {detail['msg']}"
            for detail in error.errors()
        )
        raise InvalidRequest(ResultCode.INVALID_FIELD, fields) from error
