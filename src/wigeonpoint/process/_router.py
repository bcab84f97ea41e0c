"""The entry's side of a request: route, backend server, owner, retries and session token."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from wigeonpoint.backend import Exchange, LogPosition
from wigeonpoint.connection import (
    ExecuteMessage,
    ExecuteReply,
    PeerTransport,
    Session,
    SessionTokens,
    WorkDetails,
)
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.process._topology import Topology
from wigeonpoint.request import Access, Answer, StatementRequest
from wigeonpoint.version import BackendServer, Configuration, GroupView, Pool, Route

REQUEST_ID_BYTES = 12
BACKOFF_FIRST_S = 0.01
BACKOFF_MAX_S = 0.25
ATTEMPTS_BEFORE_ACCEPT_ANY = 2

ConfigurationLookup = Callable[[], Configuration]

_RETRYABLE_CODES = {
    ResultCode.NO_PRIMARY,
    ResultCode.NOT_OWNER,
    ResultCode.NOT_PRIMARY,
    ResultCode.BACKEND_UNREACHABLE,
    ResultCode.CONNECTION_LIMIT,
    ResultCode.PEER_UNREACHABLE,
    ResultCode.INSTANCE_STOPPING,
}


@dataclass(slots=True)
class _Attempt:
    """One request on its way through its attempts."""

    request: StatementRequest
    route: Route
    pool: Pool
    group: GroupView
    session: Session
    request_id: str | None
    sent: bool = False  # an earlier attempt may have run
    count: int = 0

    @property
    def required(self) -> LogPosition | None:
        """Position that the session has seen in the group."""
        return self.session.positions.get(self.group.name)


class Router:
    """Carries statements of callers to the owners of backend servers.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to owners.
        tokens: Session tokens.
        configuration: Gives the configuration in force.
    """

    def __init__(
        self,
        topology: Topology,
        transport: PeerTransport,
        tokens: SessionTokens,
        configuration: ConfigurationLookup,
    ) -> None:
        self._topology = topology
        self._transport = transport
        self._tokens = tokens
        self._configuration = configuration

    async def execute(self, request: StatementRequest) -> Answer:
        """Runs a statement and answers with the merged session token.

        Raises:
            WigeonpointError: The request was refused, or its outcome is unknown.
        """
        attempt = self._prepare(request)
        if request.access is Access.READ and not self._needs_primary(attempt):
            answer = await self._read_from_replica(attempt)
            if answer is not None:
                return answer
        return await self._run_on_primary(attempt)

    def _prepare(self, request: StatementRequest) -> _Attempt:
        route, pool = self._configuration().resolve(request.route)
        request_id = request.request_id
        if request.access is Access.WRITE and request_id is None:
            request_id = secrets.token_urlsafe(REQUEST_ID_BYTES)
        return _Attempt(
            request=request,
            route=route,
            pool=pool,
            group=self._topology.group(pool.group),
            session=self._tokens.decode(request.session),
            request_id=request_id,
        )

    @staticmethod
    def _needs_primary(attempt: _Attempt) -> bool:
        # Without an accepted age, only a session's own position tells how new the data must be.
        return attempt.request.max_age_ms is not None or attempt.required is None

    async def _read_from_replica(self, attempt: _Attempt) -> Answer | None:
        """Reads from a replica that holds the session's position, or gives None."""
        for server in self._replicas_nearest_first(attempt.group):
            try:
                reply = await self._send(attempt, server, confirm=False)
            except (NotRun, OutcomeUnknown) as error:
                if error.code is ResultCode.BACKEND_LEAVING:
                    attempt.group.note_leaving(server.id)
                continue
            return self._answer(attempt, server, reply, from_replica=True)
        return None

    def _replicas_nearest_first(self, group: GroupView) -> list[BackendServer]:
        own = self._topology.own.data_centre
        usable = [server for server in group.replicas if not server.leaving]
        return sorted(usable, key=lambda server: (server.data_centre != own, server.id))

    async def _run_on_primary(self, attempt: _Attempt) -> Answer:
        while True:
            try:
                server = await attempt.group.require_primary()
                reply = await self._send(attempt, server, confirm=True)
                return self._answer(attempt, server, reply)
            except WigeonpointError as error:
                failure = self._classify(attempt, error)
                await self._pause_before_retry(attempt, failure)

    def _classify(self, attempt: _Attempt, error: WigeonpointError) -> WigeonpointError:
        """Decides whether to retry; gives the error to raise when the deadline passes first."""
        read = attempt.request.access is Access.READ
        if isinstance(error, OutcomeUnknown):
            attempt.sent = attempt.sent or not read
            attempt.group.forget_primary(self._primary_id(attempt.group))
        elif error.code not in _RETRYABLE_CODES:
            raise _after_earlier_attempt(error) if attempt.sent else error
        elif error.code in (ResultCode.NOT_PRIMARY, ResultCode.BACKEND_UNREACHABLE):
            attempt.group.forget_primary(self._primary_id(attempt.group))
        if attempt.sent:
            return _after_earlier_attempt(error)
        return NotRun(error.code, error.message, retry_after_ms=error.retry_after_ms)

    @staticmethod
    def _primary_id(group: GroupView) -> str:
        primary = group.primary
        return primary.id if primary is not None else ""

    async def _pause_before_retry(self, attempt: _Attempt, failure: WigeonpointError) -> None:
        attempt.count += 1
        ceiling = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**attempt.count)
        pause = random.uniform(0, ceiling)
        if asyncio.get_running_loop().time() + pause >= attempt.request.deadline:
            raise failure
        await asyncio.sleep(pause)

    async def _send(
        self, attempt: _Attempt, server: BackendServer, *, confirm: bool
    ) -> ExecuteReply:
        request = attempt.request
        remaining = request.deadline - asyncio.get_running_loop().time()
        if remaining <= 0:
            raise NotRun(ResultCode.DEADLINE_UNREACHABLE, "the deadline passed before sending")
        work = WorkDetails(
            pool=attempt.pool.name,
            group=attempt.group.name,
            server_id=server.id,
            route=attempt.route.name,
            rank=request.rank,
            caller=request.caller,
            remaining_ms=remaining * 1000,
            accept_any=attempt.count >= ATTEMPTS_BEFORE_ACCEPT_ANY,
        )
        message = ExecuteMessage(
            work=work,
            exchange=Exchange(
                request.statement,
                read_only=request.access is Access.READ,
                request_id=attempt.request_id,
            ),
            confirm=confirm,
            durability=attempt.pool.durability,
            required=attempt.required,
        )
        owner = self._topology.owner_of(server)
        return await self._transport.request(
            owner.address, message, ExecuteReply, timeout=remaining
        )

    def _answer(
        self,
        attempt: _Attempt,
        server: BackendServer,
        reply: ExecuteReply,
        *,
        from_replica: bool = False,
    ) -> Answer:
        attempt.group.note_position(server.id, reply.at)
        attempt.session.advance(attempt.group.name, reply.at)
        return Answer(
            rows=reply.rows,
            session=self._tokens.encode(attempt.session),
            request_id=attempt.request_id,
            repeated=reply.repeated,
            served_by=server.id,
            from_replica=from_replica,
        )


def _after_earlier_attempt(error: WigeonpointError) -> OutcomeUnknown:
    """A refusal of a later attempt says nothing about an earlier one that may have run."""
    return OutcomeUnknown(
        ResultCode.DEADLINE_EXCEEDED, f"{error.message}; an earlier attempt may have run"
    )
