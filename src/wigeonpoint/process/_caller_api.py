"""HTTP interface of callers."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import orjson
from tornado.iostream import StreamClosedError
from tornado.web import HTTPError, RequestHandler

from wigeonpoint.errors import (
    InvalidRequest,
    Outcome,
    OutcomeUnknown,
    ResultCode,
    WigeonpointError,
)
from wigeonpoint.process._core import InstanceCore
from wigeonpoint.process._request_recorder import objective_of
from wigeonpoint.request import (
    Answer,
    BeginBody,
    CommitBody,
    Rank,
    RollbackBody,
    Statement,
    StatementBody,
    StatementRequest,
    TransactionStatementBody,
    parse_body,
)

BEARER = "Bearer "
_STATUS_BY_FAMILY = {1: 400, 2: 503, 3: 504, 4: 409, 5: 503}
_STATUS_BY_CODE = {
    ResultCode.DONE: 200,
    ResultCode.UNAUTHORISED: 401,
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.UNKNOWN_PATH: 404,
    ResultCode.UNKNOWN_TRANSACTION: 404,
    ResultCode.METHOD_NOT_ALLOWED: 405,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNKNOWN_ROW: 404,
    ResultCode.INTERNAL: 500,
}


class JsonHandler(RequestHandler):
    """Answers with JSON, and with a numbered error for whatever goes wrong."""

    sent: Awaitable[None] | None = None  # done once the answer has left the process

    def compute_etag(self) -> str | None:
        """Leaves the ETag out: answers are never cached, and hashing each body costs time."""
        return None

    def answer(self, answer: Answer, **extra: Any) -> None:
        """Sends an answer with the HTTP status that belongs to its code."""
        code = answer.code
        self.set_status(_STATUS_BY_CODE.get(code) or _STATUS_BY_FAMILY.get(code // 100, 500))
        self.set_header("Content-Type", "application/json")
        if answer.retry_after_ms is not None:
            self.set_header("Retry-After", str(math.ceil(answer.retry_after_ms / 1000)))
        self.sent = self.finish(orjson.dumps({**_fields(answer), **extra}))

    def answer_error(self, error: WigeonpointError, **extra: Any) -> None:
        """Sends a numbered error."""
        self.answer(
            Answer(
                code=error.code,
                outcome=error.outcome,
                message=error.message,
                retry_after_ms=error.retry_after_ms,
                request_id=error.request_id,
                transaction=error.transaction,
            ),
            **extra,
        )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Turns tornado's own errors into numbered ones."""
        codes = {404: ResultCode.UNKNOWN_PATH, 405: ResultCode.METHOD_NOT_ALLOWED}
        if status_code in codes:
            self.answer_error(InvalidRequest(codes[status_code], self._reason))
        else:
            self.answer_error(OutcomeUnknown(ResultCode.INTERNAL, "internal error"))

    def bearer_name(self, names: dict[str, str]) -> str:
        """Finds the name that belongs to the request's bearer token.

        Raises:
            InvalidRequest: UNAUTHORISED.
        """
        header = self.request.headers.get("Authorization", "")
        name = names.get(header.removeprefix(BEARER)) if header.startswith(BEARER) else None
        if name is None:
            raise InvalidRequest(ResultCode.UNAUTHORISED, "send a known bearer token")
        return name


class UnknownPathHandler(JsonHandler):
    """Answers paths that do not exist."""

    def prepare(self) -> None:
        """Refuses the request."""
        raise HTTPError(404, reason=f"there is no {self.request.path}")


class CallerHandler(JsonHandler):
    """Base of the handlers that callers reach."""

    def initialize(self, core: InstanceCore) -> None:
        """Takes the parts of the instance."""
        self.core = core

    async def run(self, work: Callable[[str], Awaitable[None]]) -> None:
        """Checks token and size, then runs a handler; its errors become numbered answers."""
        with self.core.drain.request_scope(self.request):
            await self._run_checked(work)
            if self.sent is not None:
                with suppress(StreamClosedError):  # the caller has gone
                    await self.sent

    def answer(self, answer: Answer, **extra: Any) -> None:
        """Sends an answer; while draining, tells the caller to open its next connection anew."""
        if self.core.drain.draining:
            self.set_header("Connection", "close")
        super().answer(answer, **extra)

    async def _run_checked(self, work: Callable[[str], Awaitable[None]]) -> None:
        try:
            caller = self.bearer_name(self.core.settings.callers)
            limit = self.core.settings.limits.body_bytes
            if len(self.request.body) > limit:
                raise InvalidRequest(ResultCode.BODY_TOO_LARGE, f"the body has over {limit} bytes")
            await work(caller)
        except WigeonpointError as error:
            self.answer_error(error)

    async def measured(self, route: str, rank: Rank, work: Awaitable[Answer]) -> Answer:
        """Waits for an answer and counts it for metrics and the burn report."""
        started = asyncio.get_running_loop().time()
        code, outcome = ResultCode.INTERNAL, Outcome.UNKNOWN
        try:
            answer = await work
            code, outcome = answer.code, answer.outcome
            return answer
        except WigeonpointError as error:
            code, outcome = error.code, error.outcome
            raise
        finally:
            self.core.recorder.record(
                route,
                rank,
                code=code,
                outcome=outcome,
                seconds=asyncio.get_running_loop().time() - started,
                objective=objective_of(self.core.feed.configuration, route, rank),
            )

    def deadline(self, deadline_ms: int | None) -> float:
        """Event-loop time, in seconds, until which the request may run."""
        limits = self.core.settings.limits
        wanted = deadline_ms or limits.default_deadline_ms
        return asyncio.get_running_loop().time() + min(wanted, limits.max_deadline_ms) / 1000

    def rank(self, route_name: str, rank: Rank | None) -> Rank:
        """The stated rank, or the route's."""
        route, _ = self.core.feed.configuration.resolve(route_name)
        return rank or route.rank


class StatementHandler(CallerHandler):
    """`POST /v1/statements`."""

    async def post(self) -> None:
        """Runs a single statement."""
        await self.run(self._run_statement)

    async def _run_statement(self, caller: str) -> None:
        self.core.drain.require_accepting()
        body = parse_body(StatementBody, self.request.body)
        request = StatementRequest(
            route=body.route,
            statement=Statement(body.text, body.parameters),
            access=body.access,
            request_id=body.request_id,
            idempotent=body.idempotent,
            rank=self.rank(body.route, body.rank),
            caller=caller,
            deadline=self.deadline(body.deadline_ms),
            max_age_ms=body.max_age_ms,
            session=body.session,
        )
        answer = await self.measured(request.route, request.rank, self.core.router.execute(request))
        self.answer(answer)


class BeginHandler(CallerHandler):
    """`POST /v1/transactions`."""

    async def post(self) -> None:
        """Opens a transaction."""
        await self.run(self._run_begin)

    async def _run_begin(self, caller: str) -> None:
        self.core.drain.require_accepting()
        body = parse_body(BeginBody, self.request.body)
        transaction_id, answer = await self.core.transactions.begin(
            body.route,
            rank=self.rank(body.route, body.rank),
            caller=caller,
            deadline=self.deadline(body.deadline_ms),
            session=body.session,
        )
        self.answer(answer, transaction=transaction_id)


class TransactionStatementHandler(CallerHandler):
    """`POST /v1/transactions/{id}/statements`."""

    async def post(self, transaction_id: str) -> None:
        """Runs a statement in a transaction."""

        async def execute(caller: str) -> None:
            body = parse_body(TransactionStatementBody, self.request.body)
            answer = await self.core.transactions.execute(
                transaction_id,
                Statement(body.text, body.parameters),
                body.access,
                sequence=body.sequence,
                session=body.session,
                deadline=self.deadline(body.deadline_ms),
            )
            self.answer(answer)

        await self.run(execute)


class TransactionEndHandler(CallerHandler):
    """`POST /v1/transactions/{id}/commit` and `/rollback`."""

    async def post(self, transaction_id: str, action: str) -> None:
        """Ends a transaction."""

        async def end(caller: str) -> None:
            if action == "commit":
                answer = await self._commit(transaction_id)
            else:
                body = parse_body(RollbackBody, self.request.body or b"{}")
                answer = await self.core.transactions.rollback(
                    transaction_id, session=body.session, deadline=self.deadline(body.deadline_ms)
                )
            self.answer(answer)

        await self.run(end)

    async def _commit(self, transaction_id: str) -> Answer:
        body = parse_body(CommitBody, self.request.body or b"{}")
        return await self.core.transactions.commit(
            transaction_id,
            request_id=body.request_id,
            session=body.session,
            deadline=self.deadline(body.deadline_ms),
            sequence=body.sequence,
        )


def _fields(answer: Answer) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "code": int(answer.code),
        "name": answer.code.label,
        "outcome": answer.outcome,
    }
    if answer.outcome is Outcome.DONE:
        fields["rows"] = answer.rows
        fields["from_replica"] = answer.from_replica
        fields["repeated"] = answer.repeated
    optional = {
        "session": answer.session,
        "request_id": answer.request_id,
        "served_by": answer.served_by,
        "age_ms": answer.age_ms,
        "retry_after_ms": answer.retry_after_ms,
        "transaction": answer.transaction,
        "message": answer.message or None,
    }
    fields.update({name: value for name, value in optional.items() if value is not None})
    return fields
