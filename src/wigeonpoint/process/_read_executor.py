"""Reads: which members may answer, and the proof that an answer is new enough."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from wigeonpoint.backend import BackendAnswer, LogPosition
from wigeonpoint.errors import InvalidRequest, NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._attempt import PRIMARY_LOST_CODES, RequestAttempt
from wigeonpoint.process._member_choice import MemberChoice
from wigeonpoint.process._position_samples import PositionSample, PositionSampler
from wigeonpoint.process._statement_sender import StatementSender
from wigeonpoint.request import Access
from wigeonpoint.version import BackendServer, Durability

CATCH_UP_WAIT_S = 0.025
REPLICAS_TRIED = 2
CATCH_UP_TRIES = 6  # with two members, doubled waits pass 20 ms


@dataclass(frozen=True, slots=True)
class MemberAnswer:
    """An owner's reply that may be given to the caller.

    Attributes:
        server: Member that answered.
        reply: Its reply.
        from_replica: Whether it answered as a replica.
        age_s: Proved age of the data in seconds, for aged reads.
    """

    server: BackendServer
    reply: BackendAnswer
    from_replica: bool = False
    age_s: float | None = None


class ReadExecutor:
    """Runs one attempt of a read or write.

    Args:
        sender: Sends statements to owners.
        choice: Order of the members.
        sampler: Confirmed positions of primaries.
    """

    def __init__(
        self, sender: StatementSender, choice: MemberChoice, sampler: PositionSampler
    ) -> None:
        self._sender = sender
        self._choice = choice
        self._sampler = sampler

    async def read(self, attempt: RequestAttempt) -> MemberAnswer:
        """Reads with the consistency that the request asks for."""
        max_age_ms = attempt.request.max_age_ms
        if max_age_ms:
            return await self._read_aged(attempt, max_age_ms / 1000)
        if max_age_ms is None and attempt.required is not None:
            answer = await self._read_in_session(attempt, attempt.required)
            if answer is not None:
                return answer
        return await self.run_on_primary(attempt)

    async def run_on_primary(self, attempt: RequestAttempt) -> MemberAnswer:
        """Runs the statement on the primary and has the answer confirmed."""
        server = await attempt.group.require_primary()
        attempt.primary_id = server.id
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        reply = await self._sender.send(attempt, server, confirm=True)
        now = loop.time()
        # The position was read after the message was sent, and a majority obeyed the term later.
        majority = attempt.pool.durability is Durability.MAJORITY
        self._sampler.samples(attempt.group).add(PositionSample(sent_at, reply.at, majority))
        self._choice.note_position(attempt.group, reply.at, now)
        if attempt.request.access is Access.READ:
            _require_position(attempt, reply.at)
        return MemberAnswer(server, reply, age_s=now - sent_at)

    async def _read_in_session(
        self, attempt: RequestAttempt, required: LogPosition
    ) -> MemberAnswer | None:
        """Reads at a replica that holds the position, waiting briefly for one to catch up."""
        loop = asyncio.get_running_loop()
        group = attempt.group
        wait_until = loop.time() + CATCH_UP_WAIT_S
        candidates = self._choice.replicas(group)[:REPLICAS_TRIED]
        for _ in range(CATCH_UP_TRIES):
            if not candidates:
                return None
            now = loop.time()
            ready = {s.id: self._choice.ready_at(s.id, group, required, now) for s in candidates}
            server = min(candidates, key=lambda s: max(now, ready[s.id]))
            if ready[server.id] > wait_until:
                return None
            if ready[server.id] > now:
                await asyncio.sleep(ready[server.id] - now)
            try:
                reply = await self._read_replica(attempt, server)
                return MemberAnswer(server, reply, from_replica=True)
            except (NotRun, OutcomeUnknown) as error:
                if error.code == ResultCode.MEMBER_BEHIND:
                    self._choice.note_behind(server.id, group, required, loop.time())
                else:
                    candidates.remove(server)
        return None

    async def _read_aged(self, attempt: RequestAttempt, max_age_s: float) -> MemberAnswer:
        await self._sampler.request_samples(attempt.group, max_age_s)
        tried = 0
        for server in self._choice.replicas(attempt.group):
            now = asyncio.get_running_loop().time()
            if tried < REPLICAS_TRIED and self._may_prove(attempt, server, max_age_s, now):
                tried += 1
                answer = await self._read_replica_aged(attempt, server, max_age_s)
                if answer is not None:
                    return answer
        try:
            answer = await self.run_on_primary(attempt)
        except InvalidRequest:
            raise
        except WigeonpointError as error:
            if error.code == ResultCode.POSITION_LOST:
                raise
            if isinstance(error, OutcomeUnknown) or error.code in PRIMARY_LOST_CODES:
                attempt.group.forget_primary(attempt.primary_id)
            raise _age_not_provable(attempt, error.message) from error
        if answer.age_s is not None and answer.age_s > max_age_s:
            raise _age_not_provable(attempt, "the primary's answer took longer than the age")
        return answer

    def _may_prove(
        self, attempt: RequestAttempt, server: BackendServer, max_age_s: float, now: float
    ) -> bool:
        """Whether a replica seems new enough; statements that it runs in vain take its slots."""
        if self._choice.recent_age(server.id, now) > max_age_s:
            return False
        required = attempt.required
        return (
            required is None
            or self._choice.ready_at(server.id, attempt.group, required, now) <= now
        )

    async def _read_replica_aged(
        self, attempt: RequestAttempt, server: BackendServer, max_age_s: float
    ) -> MemberAnswer | None:
        try:
            reply = await self._read_replica(attempt, server)
        except (NotRun, OutcomeUnknown) as error:
            if error.code == ResultCode.MEMBER_BEHIND and attempt.required is not None:
                now = asyncio.get_running_loop().time()
                self._choice.note_behind(server.id, attempt.group, attempt.required, now)
            return None
        now = asyncio.get_running_loop().time()
        age = self._sampler.samples(attempt.group).age(reply.at, now)
        self._choice.note_age(server.id, float("inf") if age is None else age, now)
        if age is None or age > max_age_s:
            return None
        return MemberAnswer(server, reply, from_replica=True, age_s=age)

    async def _read_replica(self, attempt: RequestAttempt, server: BackendServer) -> BackendAnswer:
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            reply = await self._sender.send(attempt, server, confirm=False)
        except WigeonpointError as error:
            if error.code == ResultCode.BACKEND_LEAVING:
                attempt.group.note_leaving(server.id)
            elif error.code != ResultCode.MEMBER_BEHIND:
                self._choice.note_failure(server.id, loop.time())
            raise
        now = loop.time()
        self._choice.note_answer(server.id, now - started)
        attempt.group.note_position(server.id, reply.at)
        required = attempt.required
        if required is not None and not attempt.group.contains(reply.at, required):
            raise NotRun(ResultCode.MEMBER_BEHIND, f"{server.id} does not hold {required}")
        if not self._may_be_required_later(attempt, reply.at):
            raise NotRun(ResultCode.MEMBER_BEHIND, f"{reply.at} of {server.id} may be abandoned")
        if required is not None:
            self._choice.note_caught_up(server.id, attempt.group, required, now)
        return reply

    def _may_be_required_later(self, attempt: RequestAttempt, at: LogPosition) -> bool:
        """Whether the log up to a replica's position survives every failover.

        The session token advances to the position of every answer, since a later read must not
        show older data. A position that a failover abandons could never be satisfied again, so an
        answer is given only in these cases. In the current term the one primary of that term is
        another member and holds the entry too: two of three members, which is a majority. (In
        larger groups the entry may be unconfirmed, as the design page states.) In an earlier
        term the entry may be on a replica that a later primary truncates; it must be at or below a
        confirmed position of its own term, or be what the session has seen already. A term later
        than the known one means that this member may itself be the new primary, whose answers need
        confirmation.
        """
        if at.term == attempt.group.term or at == attempt.required:
            return at.term <= attempt.group.term
        if at.term > attempt.group.term:
            if attempt.group.primary is not None:
                attempt.group.forget_primary(attempt.group.primary.id)
            return False
        return self._sampler.samples(attempt.group).is_confirmed(at)


def _require_position(attempt: RequestAttempt, at: LogPosition) -> None:
    """Refuses an answer of a confirmed primary whose log does not hold the session's position."""
    required = attempt.required
    if required is None or attempt.group.contains(at, required):
        return
    if at.term < required.term:
        raise OutcomeUnknown(ResultCode.PRIMARY_REPLACED, f"term {at.term} has ended")
    raise position_lost(attempt)


def position_lost(attempt: RequestAttempt) -> OutcomeUnknown:
    """The error for a session whose position no current log contains."""
    log_event(Event.POSITION_LOST, group=attempt.group.name, position=str(attempt.required))
    return OutcomeUnknown(
        ResultCode.POSITION_LOST,
        f"data that the session has read was lost in a failover of {attempt.group.name}; "
        "begin a new session",
    )


def _age_not_provable(attempt: RequestAttempt, reason: str) -> NotRun:
    return NotRun(
        ResultCode.AGE_NOT_PROVABLE,
        f"no member of {attempt.group.name} can prove the stated age now: {reason}",
    )
