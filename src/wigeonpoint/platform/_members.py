"""Connections to members over the line protocol."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream, StreamClosedError

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection.session import (
    MemberAnswer,
    MemberConnectionLost,
    MemberFault,
    MemberRefused,
    MemberReport,
    MemberUnreachable,
    RequestTerms,
)
from wigeonpoint.platform._answer_reader import AnswerReader
from wigeonpoint.platform._line_protocol import (
    NO_VALUE,
    encode_line,
    format_execute,
    format_position,
    format_prepare,
    parse_fault,
    parse_ready,
    parse_report,
)
from wigeonpoint.platform._sockets import connect_stream
from wigeonpoint.process.gateway import MessageGate
from wigeonpoint.request.session import PreparedStatement, SessionStatement
from wigeonpoint.version.catalogue import MemberRecord

TCP_CONNECT_TIMEOUT_S = 0.15  # TCP handshake only; the member may take longer to answer CONNECT
MEMBER_USER = "wigeonpoint"  # user name in CONNECT of connections that serve no customer
GATEWAY_STATEMENT_ID = "-"  # id of statements that the gateway sends on its own account


class LineMemberConnector:
    """Opens connections to members over the line protocol.

    Args:
        gate: Admits large answers.
    """

    def __init__(self, gate: MessageGate) -> None:
        self._gate = gate

    async def connect(
        self, record: MemberRecord, *, timeout: float, verify: bool = True, customer: str = ""
    ) -> LineMemberConnection:
        """Opens a connection and names the service and the member expected at the address."""
        try:
            async with asyncio.timeout(timeout):
                stream = await connect_stream(record.address, timeout=TCP_CONNECT_TIMEOUT_S)
                connection = LineMemberConnection(stream, self._gate, customer)
                try:
                    await connection.open(record)
                except BaseException:
                    connection.close()
                    raise
        except MemberConnectionLost as error:
            # A member over its connection limit may reset the connection instead of reporting it.
            raise MemberRefused(MemberFault.TOO_MANY_CONNECTIONS) from error
        except (OSError, TimeoutError) as error:
            raise MemberUnreachable(str(error) or "no answer in time") from error
        return connection


class LineMemberConnection:
    """A connection to one member over the line protocol.

    Args:
        stream: The stream.
        gate: Admits what the member answers.
        customer: Customer that the member is told, empty for none.
    """

    def __init__(self, stream: IOStream, gate: MessageGate, customer: str = "") -> None:
        self._stream = stream
        self._reader = AnswerReader(stream, gate)
        self._customer = customer

    @property
    def customer(self) -> str:
        """The customer whose statements it may run, empty for none."""
        return self._customer

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._stream.closed()

    @property
    def verified(self) -> bool:
        """Always true: the member has accepted the connection."""
        return True

    async def open(self, record: MemberRecord) -> None:
        """Sends CONNECT with the service, the customer and the member expected at the address.

        Raises:
            MemberRefused: The member refused.
            MemberConnectionLost: The connection ended before the answer was complete.
        """
        answer = await self._exchange(
            encode_line("CONNECT", record.service, self._customer or MEMBER_USER, record.id),
            opening=True,
        )
        if answer.fault is not None:
            raise MemberRefused(answer.fault)

    def assign(self, terms: RequestTerms) -> None:
        """Does nothing: the pool has queued the statement before it granted this connection."""

    async def run(
        self,
        statement: SessionStatement,
        *,
        after: LogPosition | None = None,
        prepared_name: str | None = None,
    ) -> MemberAnswer:
        """Runs a caller's statement.

        Args:
            statement: The statement.
            after: Log position that the member must have applied first.
            prepared_name: Member's name of the prepared statement to execute.
        """
        text = statement.text if prepared_name is None else format_execute(statement, prepared_name)
        return await self._query(statement.id, text, after)

    async def begin(self, *, read_only: bool, after: LogPosition | None = None) -> MemberAnswer:
        """Begins a transaction."""
        return await self._query(
            GATEWAY_STATEMENT_ID, "BEGIN READ" if read_only else "BEGIN", after
        )

    async def rollback(self) -> MemberAnswer:
        """Rolls the transaction back."""
        return await self._query(GATEWAY_STATEMENT_ID, "ROLLBACK")

    async def set_value(self, name: str, value: str) -> MemberAnswer:
        """Sets a session variable."""
        return await self._query(GATEWAY_STATEMENT_ID, f"SET {name} {value}")

    async def prepare(self, name: str, prepared: PreparedStatement) -> MemberAnswer:
        """Prepares a statement."""
        return await self._query(GATEWAY_STATEMENT_ID, format_prepare(name, prepared))

    async def reset(self) -> MemberAnswer:
        """Clears session variables and prepared statements."""
        return await self._query(GATEWAY_STATEMENT_ID, "RESET")

    async def report(self) -> MemberReport | None:
        """Asks the member for its state."""
        return await self._report("STATUS")

    async def suspend(self, term: int) -> MemberReport | None:
        """Stops a replica from receiving from primaries of lower terms."""
        return await self._report(f"SUSPEND {term}")

    async def resume(self) -> MemberReport | None:
        """Ends a suspension."""
        return await self._report("RESUME")

    async def demote(self, term: int) -> MemberReport | None:
        """Makes a primary of a lower term a replica."""
        return await self._report(f"DEMOTE {term}")

    def close(self) -> None:
        """Closes the connection."""
        self._reader.close()

    async def _report(self, text: str) -> MemberReport | None:
        answer = await self._query(GATEWAY_STATEMENT_ID, text)
        if answer.fault is not None or not answer.rows:
            return None
        return parse_report(answer.rows[0])

    async def _query(
        self, statement_id: str, text: str, after: LogPosition | None = None
    ) -> MemberAnswer:
        if after is not None:
            text = f"AFTER {format_position(after)} {text}"
        return await self._exchange(encode_line("QUERY", statement_id, text))

    async def _exchange(self, message: bytes, *, opening: bool = False) -> MemberAnswer:
        """Sends a message and reads its whole answer.

        The connection is closed if the answer is not complete, so that a late answer is never read
        as that of the next statement.
        """
        complete = False
        try:
            self._stream.write(message)
            answer = await self._read_answer(opening)
            complete = True
            return answer
        except (StreamClosedError, ValueError) as error:
            raise MemberConnectionLost(f"connection to the member was lost: {error}") from error
        finally:
            if complete:
                self._reader.finish()
            else:
                self._reader.close()

    async def _read_answer(self, opening: bool) -> MemberAnswer:
        rows: list[str] = []
        proof: str | None = None
        fault, detail = None, ""
        while True:
            line = await self._reader.read_line()
            keyword, _, rest = line.partition(" ")
            if keyword == "ROW":
                rows.append(rest)
            elif keyword == "COMPLETE":
                proof = None if rest == NO_VALUE else rest
            elif keyword == "ERROR":
                fault, detail = parse_fault(rest)
                if opening:
                    raise MemberRefused(fault)
            elif keyword == "READY":
                state, position = parse_ready(rest)
                return MemberAnswer(state, position, rows, proof, fault, detail)
            else:
                raise ValueError(f"unknown message {keyword[:20]!r} from a member")
