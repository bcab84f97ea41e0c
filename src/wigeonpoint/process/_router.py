"""The entry's side of a request: attempts, retries, outcome and session token."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable

from wigeonpoint.connection import PeerTransport, SessionTokens
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.process._attempt import RequestAttempt
from wigeonpoint.process._member_choice import MemberChoice
from wigeonpoint.process._position_samples import PositionSampler
from wigeonpoint.process._read_executor import MemberAnswer, ReadExecutor, position_lost
from wigeonpoint.process._statement_sender import StatementSender
from wigeonpoint.process._topology import Topology
from wigeonpoint.request import Access, Answer, RetryBudgets, StatementRequest
from wigeonpoint.version import Configuration

REQUEST_ID_BYTES = 12

ConfigurationLookup = Callable[[], Configuration]


class Router:
    """Carries statements of callers to the owners of backend servers.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to owners.
        tokens: Session tokens.
        configuration: Gives the configuration in force.
        source: Source of jitter and random choices; tests pass a seeded one.
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
        choice = MemberChoice(topology.own.data_centre, source)
        self._reads = ReadExecutor(self._sender, choice, self._sampler)
        self._reads_done = 0
        self._replica_reads = 0

    @property
    def budgets(self) -> RetryBudgets:
        """Retry budgets of the routes."""
        return self._budgets

    @property
    def reads_done(self) -> int:
        """Reads that were answered."""
        return self._reads_done

    @property
    def replica_reads(self) -> int:
        """Reads that a replica answered."""
        return self._replica_reads

    @property
    def cancelled(self) -> int:
        """Messages that owners removed before they ran."""
        return self._sender.cancelled

    @property
    def samples_taken(self) -> int:
        """Confirmed positions that were asked for to prove ages."""
        return self._sampler.samples_taken

    def close(self) -> None:
        """Ends the tasks that sample positions."""
        self._sampler.close()

    async def execute(self, request: StatementRequest) -> Answer:
        """Runs a statement and answers with the merged session token.

        Raises:
            WigeonpointError: The request was refused, or its outcome is unknown; then the error
                carries the id to repeat a write with.
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
            budget=self._budgets.of(route.name),
        )
        attempt.budget.note_request()
        if attempt.required is not None and attempt.group.is_abandoned(attempt.required):
            raise NotRun(ResultCode.POSITION_LOST, position_lost(attempt).message)
        return attempt

    async def _run(self, attempt: RequestAttempt) -> MemberAnswer:
        while True:
            try:
                if attempt.request.access is Access.READ:
                    return await self._reads.read(attempt)
                return await self._reads.run_on_primary(attempt)
            except WigeonpointError as error:
                failure = attempt.record(error)
                await attempt.pause(self._budgets.pause(attempt.count), failure)

    def _answer(self, attempt: RequestAttempt, answer: MemberAnswer) -> Answer:
        reply = answer.reply
        if attempt.request.access is Access.READ:
            self._reads_done += 1
            self._replica_reads += answer.from_replica
        attempt.group.note_position(answer.server.id, reply.at)
        # Only answers that were given advance the token: confirmed ones of a primary, and those of
        # replicas that `ReadExecutor` has found to survive a failover.
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
    """Rounds up, since the age is an upper bound."""
    return -int(-(seconds or 0.0) * 1000 // 1)
