"""Runs reads on members and checks that their answers are new enough."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from wigeonpoint.backend import BackendAnswer, LogPosition
from wigeonpoint.errors import InvalidRequest, NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._attempt import PRIMARY_LOST_CODES, RequestAttempt
from wigeonpoint.process._position_samples import PositionSample, PositionSampler
from wigeonpoint.process._replica_selector import ReplicaSelector
from wigeonpoint.process._statement_sender import StatementSender
from wigeonpoint.request import Access
from wigeonpoint.version import BackendServer, Durability

CATCH_UP_WAIT_S = 0.025
MAX_REPLICAS_TRIED = 2
MAX_CATCH_UP_ATTEMPTS = 6  # enough for the doubling waits of two members to exceed 20 ms


@dataclass(frozen=True, slots=True)
class MemberAnswer:
    """An owner's reply that may be returned to the caller.

    Attributes:
        server: Member that answered.
        reply: Its reply.
        from_replica: Whether the member answered as a replica.
        age_s: Proven upper bound of the data's age in seconds, if known.
    """

    server: BackendServer
    reply: BackendAnswer
    from_replica: bool = False
    age_s: float | None = None


class ReadExecutor:
    """Runs one attempt of a read or write on a suitable member.

    Args:
        sender: Sends statements to owners.
        selector: Chooses the replicas to try.
        sampler: Samples confirmed positions of primaries.
    """

    def __init__(
        self, sender: StatementSender, selector: ReplicaSelector, sampler: PositionSampler
    ) -> None:
        self._sender = sender
        self._selector = selector
        self._sampler = sampler

    async def read(self, attempt: RequestAttempt) -> MemberAnswer:
        """Runs a read with the consistency that the request asks for."""
        max_age_ms = attempt.request.max_age_ms
        if max_age_ms:
            return await self._read_aged(attempt, max_age_ms / 1000)
        if max_age_ms is None and attempt.required is not None:
            answer = await self._read_in_session(attempt, attempt.required)
            if answer is not None:
                return answer
        return await self.run_on_primary(attempt)

    async def run_on_primary(self, attempt: RequestAttempt) -> MemberAnswer:
        """Runs the statement on the primary; its answer is confirmed by the group."""
        server = await attempt.group.require_primary()
        attempt.primary_id = server.id
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        reply = await self._sender.send(attempt, server, confirm=True)
        now = loop.time()
        # A valid sample: the primary read the position after `sent_at`, and a majority followed its
        # term after that.
        majority = attempt.pool.durability is Durability.MAJORITY
        self._sampler.samples(attempt.group).add(PositionSample(sent_at, reply.at, majority))
        self._selector.record_position(attempt.group, reply.at, now)
        if attempt.request.access is Access.READ:
            _check_session_position(attempt, reply.at)
        return MemberAnswer(server, reply, age_s=now - sent_at)

    async def _read_in_session(
        self, attempt: RequestAttempt, required: LogPosition
    ) -> MemberAnswer | None:
        """Reads from a replica that has the position, waiting briefly for one to catch up.

        Returns:
            The answer, or None if the primary has to serve the read.
        """
        loop = asyncio.get_running_loop()
        group = attempt.group
        wait_until = loop.time() + CATCH_UP_WAIT_S
        candidates = self._selector.replicas(group)[:MAX_REPLICAS_TRIED]
        for _ in range(MAX_CATCH_UP_ATTEMPTS):
            if not candidates:
                return None
            now = loop.time()
            catch_up_at = {
                s.id: self._selector.expected_catch_up_at(s.id, group, required, now)
                for s in candidates
            }
            server = min(candidates, key=lambda s: max(now, catch_up_at[s.id]))
            if catch_up_at[server.id] > wait_until:
                return None
            if catch_up_at[server.id] > now:
                await asyncio.sleep(catch_up_at[server.id] - now)
            try:
                reply = await self._read_replica(attempt, server)
                return MemberAnswer(server, reply, from_replica=True)
            except (NotRun, OutcomeUnknown) as error:
                if error.code == ResultCode.MEMBER_BEHIND:
                    self._selector.record_behind(server.id, group, required, loop.time())
                else:
                    candidates.remove(server)
        return None

    async def _read_aged(self, attempt: RequestAttempt, max_age_s: float) -> MemberAnswer:
        """Reads from a replica whose data is provably new enough, or else from the primary."""
        await self._sampler.request_samples(attempt.group, max_age_s)
        tried = 0
        for server in self._selector.replicas(attempt.group):
            now = asyncio.get_running_loop().time()
            if tried < MAX_REPLICAS_TRIED and self._may_be_recent_enough(
                attempt, server, max_age_s, now
            ):
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
            raise _age_not_provable_error(attempt, error.message) from error
        if answer.age_s is not None and answer.age_s > max_age_s:
            raise _age_not_provable_error(
                attempt, "the primary's answer took longer than the allowed age"
            )
        return answer

    def _may_be_recent_enough(
        self, attempt: RequestAttempt, server: BackendServer, max_age_s: float, now: float
    ) -> bool:
        """Whether a replica is probably new enough; a read in vain would waste one of its slots."""
        if self._selector.recent_age_s(server.id, now) > max_age_s:
            return False
        required = attempt.required
        return (
            required is None
            or self._selector.expected_catch_up_at(server.id, attempt.group, required, now) <= now
        )

    async def _read_replica_aged(
        self, attempt: RequestAttempt, server: BackendServer, max_age_s: float
    ) -> MemberAnswer | None:
        try:
            reply = await self._read_replica(attempt, server)
        except (NotRun, OutcomeUnknown) as error:
            if error.code == ResultCode.MEMBER_BEHIND and attempt.required is not None:
                now = asyncio.get_running_loop().time()
                self._selector.record_behind(server.id, attempt.group, attempt.required, now)
            return None
        now = asyncio.get_running_loop().time()
        age = self._sampler.samples(attempt.group).age(reply.at, now)
        self._selector.record_age(server.id, float("inf") if age is None else age, now)
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
                self._selector.record_failure(server.id, loop.time())
            raise
        now = loop.time()
        self._selector.record_response_time(server.id, now - started)
        attempt.group.note_position(server.id, reply.at)
        required = attempt.required
        if required is not None and not attempt.group.contains(reply.at, required):
            raise NotRun(
                ResultCode.MEMBER_BEHIND, f"the log of {server.id} does not contain {required}"
            )
        if not self._survives_failover(attempt, reply.at):
            raise NotRun(
                ResultCode.MEMBER_BEHIND,
                f"a failover may drop {reply.at}, the position of {server.id}",
            )
        if required is not None:
            self._selector.record_caught_up(server.id, attempt.group, required, now)
        return reply

    def _survives_failover(self, attempt: RequestAttempt, at: LogPosition) -> bool:
        """Whether the log entry at a replica's position survives every failover.

        The session token advances to the position of every answer, because later reads must not
        return older data. If a failover dropped that position, no member could ever satisfy the
        session again. So an answer is returned only in these cases:

        - Current term: the primary of the term, another member, has the entry too. Two of three
          members are a majority. (In larger groups the entry may be unconfirmed; the design page
          states this limit.)
        - Earlier term: a later primary may truncate the entry on this replica. The entry must be
          at or below a confirmed position of its own term, or be the session's own position.
        - Later term than the known one: never. This member may itself be the new primary, whose
          answers need confirmation.
        """
        if at.term == attempt.group.term or at == attempt.required:
            return at.term <= attempt.group.term
        if at.term > attempt.group.term:
            if attempt.group.primary is not None:
                attempt.group.forget_primary(attempt.group.primary.id)
            return False
        return self._sampler.samples(attempt.group).is_confirmed(at)


def _check_session_position(attempt: RequestAttempt, at: LogPosition) -> None:
    """Raises an error if the log of a confirmed primary lacks the session's position."""
    required = attempt.required
    if required is None or attempt.group.contains(at, required):
        return
    if at.term < required.term:
        raise OutcomeUnknown(ResultCode.PRIMARY_REPLACED, f"term {at.term} has ended")
    raise position_lost_error(attempt)


def position_lost_error(attempt: RequestAttempt) -> OutcomeUnknown:
    """Logs and returns the error for a session whose position a failover has dropped."""
    log_event(Event.POSITION_LOST, group=attempt.group.name, position=str(attempt.required))
    return OutcomeUnknown(
        ResultCode.POSITION_LOST,
        f"data that the session has read was lost in a failover of {attempt.group.name}; "
        "begin a new session",
    )


def _age_not_provable_error(attempt: RequestAttempt, reason: str) -> NotRun:
    return NotRun(
        ResultCode.AGE_NOT_PROVABLE,
        f"no member of {attempt.group.name} can prove the requested age now: {reason}",
    )
