"""Runs callers' statements on the receiving instance: retries, outcome and session token."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable

from wigeonpoint.connection import PeerTransport, SessionTokens
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.process._attempt import RequestAttempt
from wigeonpoint.process._position_samples import PositionSampler
from wigeonpoint.process._read_executor import MemberAnswer, ReadExecutor, position_lost_error
from wigeonpoint.process._replica_selector import ReplicaSelector
from wigeonpoint.process._statement_sender import StatementSender
from wigeonpoint.process._topology import Topology
from wigeonpoint.request import Access, Answer, RetryBudgets, StatementRequest
from wigeonpoint.version import Configuration

REQUEST_ID_BYTES = 12

ConfigurationLookup = Callable[[], Configuration]


class Router:
    """Runs statements of callers through the owners of backend servers.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to owners.
        tokens: Session tokens.
        configuration: Returns the active configuration.
        source: Random number generator for jitter and choices; tests pass a seeded one.
        budgets: Retry budgets, shared with the transactions of the instance.
    """

    def __init__(
        self,
        topology: Topology,
        transport: PeerTransport,
        tokens: SessionTokens,
        configuration: ConfigurationLookup,
        *,
        source: random.Random | None = None,
        budgets: RetryBudgets | None = None,
    ) -> None:
        source = source or random.Random()
        self._topology = topology
        self._tokens = tokens
        self._configuration = configuration
        self._budgets = budgets or RetryBudgets(source)
        self._sender = StatementSender(topology, transport)
        self._sampler = PositionSampler(topology, transport)
        selector = ReplicaSelector(topology.own.data_centre, source)
        self._read_executor = ReadExecutor(self._sender, selector, self._sampler)
        self._reads_done = 0
        self._replica_reads = 0

    @property
    def budgets(self) -> RetryBudgets:
        """Retry budgets of the routes."""
        return self._budgets

    @property
    def reads_done(self) -> int:
        """Number of answered reads."""
        return self._reads_done

    @property
    def replica_reads(self) -> int:
        """Number of reads that a replica answered."""
        return self._replica_reads

    @property
    def cancelled(self) -> int:
        """Number of statements that owners cancelled before running them."""
        return self._sender.cancelled

    @property
    def samples_taken(self) -> int:
        """Number of position samples taken to prove the age of reads."""
        return self._sampler.samples_taken

    def close(self) -> None:
        """Cancels the tasks that sample positions."""
        self._sampler.close()

    async def execute(self, request: StatementRequest) -> Answer:
        """Runs a statement, retrying it within its deadline and retry budget.

        Returns:
            The answer, with the session token advanced to the position of the answer.

        Raises:
            WigeonpointError: The request was refused, or its outcome is unknown. With an unknown
                outcome the error carries the request id to repeat a write with.
        """
        attempt = self._prepare(request)
        try:
            return self._answer(attempt, await self._run(attempt))
        except OutcomeUnknown as error:
            error.request_id = attempt.request_id
            raise

    def _prepare(self, request: StatementRequest) -> RequestAttempt:
        route, pool = self._configuration().resolve(request.route)
        request_id = request.request_id
        if request.access is Access.WRITE and request_id is None:
            request_id = secrets.token_urlsafe(REQUEST_ID_BYTES)
        attempt = RequestAttempt(
            request=request,
            route=route,
            pool=pool,
            group=self._topology.group(pool.group),
            session=self._tokens.decode(request.session),
            request_id=request_id,
            retry_budget=self._budgets.of(route.name),
        )
        attempt.retry_budget.note_request()
        if attempt.required is not None and attempt.group.is_abandoned(attempt.required):
            raise NotRun(ResultCode.POSITION_LOST, position_lost_error(attempt).message)
        return attempt

    async def _run(self, attempt: RequestAttempt) -> MemberAnswer:
        while True:
            try:
                if attempt.request.access is Access.READ:
                    return await self._read_executor.read(attempt)
                return await self._read_executor.run_on_primary(attempt)
            except WigeonpointError as error:
                failure = attempt.record_failure(error)
                await attempt.wait_before_retry(
                    self._budgets.pause(attempt.failed_attempts), failure
                )

    def _answer(self, attempt: RequestAttempt, answer: MemberAnswer) -> Answer:
        reply = answer.reply
        if attempt.request.access is Access.READ:
            self._reads_done += 1
            self._replica_reads += answer.from_replica
        attempt.group.note_position(answer.server.id, reply.at)
        # Only answers returned to the caller advance the token: confirmed ones of a primary, and
        # those of replicas whose position survives a failover, which `ReadExecutor` has checked.
        attempt.session.advance(attempt.group.name, reply.at)
        aged = bool(attempt.request.max_age_ms) and answer.age_s is not None
        return Answer(
            rows=reply.rows,
            session=self._tokens.encode(attempt.session),
            request_id=attempt.request_id,
            repeated=reply.repeated,
            served_by=answer.server.id,
            from_replica=answer.from_replica,
            age_ms=_milliseconds(answer.age_s) if aged else None,
        )


def _milliseconds(seconds: float | None) -> int:
    """Converts seconds to milliseconds, rounded up because the age is an upper bound."""
    return -int(-(seconds or 0.0) * 1000 // 1)
