"""HTTP handlers for the requests of callers."""

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

BEARER_PREFIX = "Bearer "
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
    """Base handler that answers in JSON; every error carries a result code."""

    answer_sent: Awaitable[None] | None = None  # completes when the answer is written to the socket

    def compute_etag(self) -> str | None:
        """Omits the ETag: answers are never cached, and hashing each body takes time."""
        return None

    def answer(self, answer: Answer, **extra: Any) -> None:
        """Sends an answer with the HTTP status of its result code.

        Args:
            answer: The answer.
            extra: Additional JSON fields.
        """
        code = answer.code
        self.set_status(_STATUS_BY_CODE.get(code) or _STATUS_BY_FAMILY.get(code // 100, 500))
        self.set_header("Content-Type", "application/json")
        if answer.retry_after_ms is not None:
            self.set_header("Retry-After", str(math.ceil(answer.retry_after_ms / 1000)))
        self.answer_sent = self.finish(orjson.dumps({**_json_fields(answer), **extra}))

    def answer_error(self, error: WigeonpointError, **extra: Any) -> None:
        """Sends an error with its result code.

        Args:
            error: The error.
            extra: Additional JSON fields.
        """
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
        """Answers tornado's own errors with a result code."""
        codes = {404: ResultCode.UNKNOWN_PATH, 405: ResultCode.METHOD_NOT_ALLOWED}
        if status_code in codes:
            self.answer_error(InvalidRequest(codes[status_code], self._reason))
        else:
            self.answer_error(OutcomeUnknown(ResultCode.INTERNAL, "internal error"))

    def bearer_name(self, names_by_token: dict[str, str]) -> str:
        """Returns the name that belongs to the request's bearer token.

        Args:
            names_by_token: Names by bearer token.

        Raises:
            InvalidRequest: UNAUTHORISED when the token is missing or unknown.
        """
        header = self.request.headers.get("Authorization", "")
        name = (
            names_by_token.get(header.removeprefix(BEARER_PREFIX))
            if header.startswith(BEARER_PREFIX)
            else None
        )
        if name is None:
            raise InvalidRequest(ResultCode.UNAUTHORISED, "send a known bearer token")
        return name


class UnknownPathHandler(JsonHandler):
    """Answers requests for paths that do not exist."""

    def prepare(self) -> None:
        """Refuses the request with UNKNOWN_PATH."""
        raise HTTPError(404, reason=f"there is no {self.request.path}")


class CallerHandler(JsonHandler):
    """Base of the handlers for callers: authentication, size limit, draining and counts."""

    def initialize(self, core: InstanceCore) -> None:
        """Stores the parts of the instance that the handlers use."""
        self.core = core

    async def run(self, handle: Callable[[str], Awaitable[None]]) -> None:
        """Checks token and body size, runs a handler and waits until its answer is written.

        Args:
            handle: Handles the request; it gets the caller's name.
        """
        with self.core.drain.request_scope(self.request):
            await self._run_authenticated(handle)
            if self.answer_sent is not None:
                with suppress(StreamClosedError):  # the caller disconnected
                    await self.answer_sent

    def answer(self, answer: Answer, **extra: Any) -> None:
        """Sends an answer; while draining, asks the caller to close the connection."""
        if self.core.drain.draining:
            self.set_header("Connection", "close")
        super().answer(answer, **extra)

    async def _run_authenticated(self, handle: Callable[[str], Awaitable[None]]) -> None:
        try:
            caller = self.bearer_name(self.core.settings.callers)
            limit = self.core.settings.limits.body_bytes
            if len(self.request.body) > limit:
                raise InvalidRequest(
                    ResultCode.BODY_TOO_LARGE, f"the body is longer than {limit} bytes"
                )
            await handle(caller)
        except WigeonpointError as error:
            self.answer_error(error)

    async def measure(self, route: str, rank: Rank, pending_answer: Awaitable[Answer]) -> Answer:
        """Waits for an answer and records it for the metrics and the burn report."""
        started = asyncio.get_running_loop().time()
        code, outcome = ResultCode.INTERNAL, Outcome.UNKNOWN
        try:
            answer = await pending_answer
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
        """Event-loop time, in seconds, by which the request must be answered.

        Args:
            deadline_ms: Milliseconds that the caller allows, or None for the default.
        """
        limits = self.core.settings.limits
        requested_ms = deadline_ms or limits.default_deadline_ms
        return asyncio.get_running_loop().time() + min(requested_ms, limits.max_deadline_ms) / 1000

    def rank(self, route_name: str, rank: Rank | None) -> Rank:
        """Returns the rank that the caller states, or else that of the route."""
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
        answer = await self.measure(request.route, request.rank, self.core.router.execute(request))
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
        """Commits the transaction or rolls it back."""

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


def _json_fields(answer: Answer) -> dict[str, Any]:
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
