"""Control calls to members: reports, suspension of replicas and demotion of primaries."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from wigeonpoint.connection.session import (
    ControlConnection,
    ControlConnector,
    MemberConnectionLost,
    MemberFault,
    MemberRefused,
    MemberReport,
    MemberUnreachable,
)
from wigeonpoint.version.catalogue import MemberRecord

CALL_TIMEOUT_S = 0.25
# Longer than the interval between two calls to a member, so that a series of calls shares one
# connection; not much longer, because the connection counts against the member's limit.
IDLE_TIMEOUT_S = 0.5

_CALL_ERRORS = (MemberUnreachable, MemberRefused, MemberConnectionLost, TimeoutError)


class MemberControl:
    """Sends control calls to members on connections of its own.

    Args:
        connector: Opens connections to members.
        on_other_member: Called with a member whose address belongs to another one now.
    """

    def __init__(
        self,
        connector: ControlConnector,
        on_other_member: Callable[[MemberRecord], None] = lambda record: None,
    ) -> None:
        self._connector = connector
        self._on_other_member = on_other_member
        self._idle: dict[str, ControlConnection] = {}
        self._idle_timers: dict[str, asyncio.TimerHandle] = {}

    async def report(
        self, record: MemberRecord, *, timeout: float = CALL_TIMEOUT_S
    ) -> MemberReport | None:
        """The report of a member on itself, None if it does not answer.

        Args:
            record: The member.
            timeout: Seconds for the answer.
        """
        return await self._call(record, lambda connection: connection.report(), timeout=timeout)

    async def reports(
        self, records: list[MemberRecord], *, timeout: float = CALL_TIMEOUT_S
    ) -> dict[str, MemberReport]:
        """The reports of members by id; members that do not answer are left out.

        Args:
            records: The members.
            timeout: Seconds for each answer.
        """
        answers = await asyncio.gather(
            *(self.report(record, timeout=timeout) for record in records)
        )
        return {
            record.id: answer
            for record, answer in zip(records, answers, strict=True)
            if answer is not None
        }

    async def suspend(self, records: list[MemberRecord], term: int) -> set[str]:
        """Stops members from following primaries of lower terms.

        Returns:
            Ids of the members that confirmed it.
        """
        answers = await asyncio.gather(
            *(self._call(record, lambda connection: connection.suspend(term)) for record in records)
        )
        return {
            record.id
            for record, answer in zip(records, answers, strict=True)
            if answer is not None and answer.held_term >= term
        }

    async def resume(self, records: list[MemberRecord]) -> set[str]:
        """Lets suspended members follow the primary again.

        Returns:
            Ids of the members that confirmed it.
        """
        answers = await asyncio.gather(
            *(self._call(record, lambda connection: connection.resume()) for record in records)
        )
        return {
            record.id for record, answer in zip(records, answers, strict=True) if answer is not None
        }

    async def demote(self, record: MemberRecord, term: int) -> bool:
        """Makes a primary of a lower term a replica.

        Returns:
            Whether the member confirmed it.
        """
        answer = await self._call(record, lambda connection: connection.demote(term))
        return answer is not None

    def release(self) -> None:
        """Closes all idle connections."""
        for member_id in list(self._idle):
            self._close_idle(member_id)

    async def _call(
        self,
        record: MemberRecord,
        call: Callable[[ControlConnection], Awaitable[MemberReport | None]],
        *,
        timeout: float = CALL_TIMEOUT_S,
    ) -> MemberReport | None:
        connection: ControlConnection | None = None
        try:
            async with asyncio.timeout(timeout):
                connection = self._take_idle(record.id)
                if connection is None or connection.closed:
                    connection = await self._connector.connect(record, timeout=timeout)
                answer = await call(connection)
        except _CALL_ERRORS as error:
            if isinstance(error, MemberRefused) and error.fault is MemberFault.WRONG_MEMBER:
                self._on_other_member(record)
            if connection is not None:
                connection.close()  # a late answer must not be taken for that of the next call
            return None  # the calling function decides what a missing answer means, and logs it
        self._keep_idle(record.id, connection)
        return answer

    def _take_idle(self, member_id: str) -> ControlConnection | None:
        timer = self._idle_timers.pop(member_id, None)
        if timer is not None:
            timer.cancel()
        return self._idle.pop(member_id, None)

    def _keep_idle(self, member_id: str, connection: ControlConnection) -> None:
        if member_id in self._idle:
            connection.close()  # a simultaneous call has already returned its connection
            return
        self._idle[member_id] = connection
        loop = asyncio.get_running_loop()
        self._idle_timers[member_id] = loop.call_later(IDLE_TIMEOUT_S, self._close_idle, member_id)

    def _close_idle(self, member_id: str) -> None:
        connection = self._take_idle(member_id)
        if connection is not None:
            connection.close()
