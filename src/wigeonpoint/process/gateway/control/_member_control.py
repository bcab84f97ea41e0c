"""Control calls to members: reports, and the end of a primary's lead."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from wigeonpoint.connection.session import (
    MemberConnection,
    MemberConnectionLost,
    MemberConnector,
    MemberRefused,
    MemberReport,
    MemberUnreachable,
)
from wigeonpoint.version.catalogue import MemberRecord

CALL_TIMEOUT_S = 0.25

_FAILURES = (MemberUnreachable, MemberRefused, MemberConnectionLost, TimeoutError)


class MemberControl:
    """Asks and commands members on connections of its own.

    Args:
        connector: Opens connections.
    """

    def __init__(self, connector: MemberConnector) -> None:
        self._connector = connector
        self._connections: dict[str, MemberConnection] = {}

    async def report(self, record: MemberRecord) -> MemberReport | None:
        """What a member says of itself, None if it does not answer."""
        return await self._call(record, lambda connection: connection.report())

    async def reports(self, records: list[MemberRecord]) -> dict[str, MemberReport | None]:
        """What each of some members says of itself; those that do not answer are left out."""
        answers = await asyncio.gather(*(self.report(record) for record in records))
        return {
            record.id: answer
            for record, answer in zip(records, answers, strict=True)
            if answer is not None
        }

    async def suspend(self, records: list[MemberRecord], term: int) -> set[str]:
        """Stops members from following primaries of lower terms; those that confirmed it."""
        answers = await asyncio.gather(
            *(self._call(record, lambda one: one.suspend(term)) for record in records)
        )
        return {
            record.id
            for record, answer in zip(records, answers, strict=True)
            if answer is not None and answer.held_term >= term
        }

    async def resume(self, records: list[MemberRecord]) -> None:
        """Lets members follow the primary again."""
        await asyncio.gather(*(self._call(record, lambda one: one.resume()) for record in records))

    async def demote(self, record: MemberRecord, term: int) -> bool:
        """Makes a primary of a lower term a replica; whether it confirmed."""
        answer = await self._call(record, lambda connection: connection.demote(term))
        return answer is not None

    def release(self) -> None:
        """Closes the connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def _call(
        self,
        record: MemberRecord,
        call: Callable[[MemberConnection], Awaitable[MemberReport | None]],
    ) -> MemberReport | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                connection = self._connections.pop(record.id, None)
                if connection is None or connection.closed:
                    connection = await self._connector.connect(record, timeout=CALL_TIMEOUT_S)
                answer = await call(connection)
        except _FAILURES:
            return None  # the caller decides what a missing answer means, and logs it
        self._connections[record.id] = connection
        return answer
