"""A pooled connection to a member, with the session state that is set on it."""

from __future__ import annotations

from collections.abc import Mapping

from wigeonpoint.connection.session._protocols import MemberAnswer, MemberConnection, MemberFault
from wigeonpoint.request.session import PreparedStatement, TransactionState
from wigeonpoint.version.catalogue import MemberRecord


class PooledConnection:
    """One connection to a member.

    It tracks which session values are set and which statements are prepared on it. A statement is
    prepared once, so that sessions that prepared it under different names share it.

    Args:
        member_connection: The connection.
        record: The member.
    """

    def __init__(self, member_connection: MemberConnection, record: MemberRecord) -> None:
        self._member_connection = member_connection
        self._customer = member_connection.customer
        self._record = record
        self._values: dict[str, str] = {}
        self._prepared: dict[PreparedStatement, str] = {}
        self.last_session: int | None = None
        self.idle_since = 0.0
        self.waiting_since: float | None = None  # event-loop time of an unanswered statement
        self.resting = False  # whether it waits for the next statement of its transaction
        self.state = TransactionState.IDLE

    @property
    def member_connection(self) -> MemberConnection:
        """The connection."""
        return self._member_connection

    @property
    def record(self) -> MemberRecord:
        """The member."""
        return self._record

    @property
    def customer(self) -> str | None:
        """The customer whose statements it may run; empty for none, None for any."""
        return self._customer

    @property
    def closed(self) -> bool:
        """Whether it can carry no further statement."""
        return self._member_connection.closed

    @property
    def idle(self) -> bool:
        """Whether no transaction is open on it."""
        return self.state is TransactionState.IDLE

    async def restore_values(self, values: Mapping[str, str]) -> MemberAnswer | None:
        """Sets the values of a session on the connection, sending only what differs.

        Returns:
            The member's answer if it refused, otherwise None.
        """
        if self._values.keys() - values.keys():
            answer = await self._member_connection.reset()
            if answer.fault is not None:
                return answer
            self._values.clear()
            self._prepared.clear()
        for name, value in values.items():
            if self._values.get(name) == value:
                continue
            answer = await self._member_connection.set_value(name, value)
            if answer.fault is not None:
                return answer
            self._values[name] = value
        return None

    async def prepare(self, prepared: PreparedStatement) -> str | MemberAnswer:
        """Prepares a statement unless it is prepared already.

        Returns:
            The name to execute it by, or the member's answer if it refused.
        """
        name = self._prepared.get(prepared)
        if name is not None:
            return name
        name = f"p{len(self._prepared) + 1}"
        answer = await self._member_connection.prepare(name, prepared)
        if answer.fault is not None:
            return answer
        self._prepared[prepared] = name
        return name

    def forget_prepared(self, answer: MemberAnswer) -> None:
        """Forgets all prepared statements if the member answered that it does not know one."""
        if answer.fault is MemberFault.UNKNOWN_STATEMENT:
            self._prepared.clear()

    def close(self) -> None:
        """Closes the connection."""
        self._member_connection.close()
