"""Connections to members over the line protocol."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection.session import (
    MemberAnswer,
    MemberConnectionLost,
    MemberFault,
    MemberRefused,
    MemberReport,
    MemberUnreachable,
)
from wigeonpoint.platform._lines import (
    END_OF_LINE,
    MAX_LINE_BYTES,
    NO_VALUE,
    decode_line,
    encode_line,
    execute_text,
    format_position,
    parse_fault,
    parse_ready,
    parse_report,
    prepare_text,
)
from wigeonpoint.platform._sockets import connect_stream
from wigeonpoint.request.session import PreparedStatement, SessionStatement
from wigeonpoint.version.catalogue import MemberRecord

ACCEPT_TIMEOUT_S = 0.15  # of the network; the member itself may take longer to be ready
CONNECTING_AS = "wigeonpoint"
OWN_STATEMENT_ID = "-"  # statements that no caller sent


class LineMemberConnector:
    """Opens connections to members."""

    async def connect(self, record: MemberRecord, *, timeout: float) -> LineMemberConnection:
        """Connects, and names the service and the member that are expected at the address."""
        try:
            async with asyncio.timeout(timeout):
                stream = await connect_stream(record.address, timeout=ACCEPT_TIMEOUT_S)
                connection = LineMemberConnection(stream)
                try:
                    await connection.open(record)
                except BaseException:
                    connection.close()
                    raise
        except MemberConnectionLost as error:
            # A member over its limit may reset the connection instead of saying so.
            raise MemberRefused(MemberFault.TOO_MANY_CONNECTIONS) from error
        except (OSError, TimeoutError) as error:
            raise MemberUnreachable(str(error) or "no answer in time") from error
        return connection


class LineMemberConnection:
    """A connection to one member."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._stream.closed()

    async def open(self, record: MemberRecord) -> None:
        """Introduces itself.

        Raises:
            MemberRefused: The member refused.
            MemberConnectionLost: The connection ended first.
        """
        answer = await self._exchange(
            encode_line("CONNECT", record.service, CONNECTING_AS, record.id), opening=True
        )
        if answer.fault is not None:
            raise MemberRefused(answer.fault)

    async def run(
        self,
        statement: SessionStatement,
        *,
        after: LogPosition | None = None,
        prepared_name: str | None = None,
    ) -> MemberAnswer:
        """Runs a caller's statement."""
        text = statement.text if prepared_name is None else execute_text(statement, prepared_name)
        return await self._query(statement.id, text, after)

    async def begin(self, *, read_only: bool, after: LogPosition | None = None) -> MemberAnswer:
        """Begins a transaction."""
        return await self._query(OWN_STATEMENT_ID, "BEGIN READ" if read_only else "BEGIN", after)

    async def rollback(self) -> MemberAnswer:
        """Rolls the transaction back."""
        return await self._query(OWN_STATEMENT_ID, "ROLLBACK")

    async def set_value(self, name: str, value: str) -> MemberAnswer:
        """Sets a session value."""
        return await self._query(OWN_STATEMENT_ID, f"SET {name} {value}")

    async def prepare(self, name: str, prepared: PreparedStatement) -> MemberAnswer:
        """Prepares a statement."""
        return await self._query(OWN_STATEMENT_ID, prepare_text(name, prepared))

    async def reset(self) -> MemberAnswer:
        """Clears session values and prepared statements."""
        return await self._query(OWN_STATEMENT_ID, "RESET")

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
        self._stream.close()

    async def _report(self, text: str) -> MemberReport | None:
        answer = await self._query(OWN_STATEMENT_ID, text)
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

        An exchange that does not end leaves the connection closed, so that a late answer can never
        be taken for that of the next statement.
        """
        complete = False
        try:
            self._stream.write(message)
            answer = await self._read_answer(opening)
            complete = True
            return answer
        except (StreamClosedError, UnsatisfiableReadError, ValueError) as error:
            raise MemberConnectionLost(f"connection to the member was lost: {error}") from error
        finally:
            if not complete:
                self._stream.close()

    async def _read_answer(self, opening: bool) -> MemberAnswer:
        rows: list[str] = []
        proof: str | None = None
        fault, detail = None, ""
        while True:
            line = await self._stream.read_until(END_OF_LINE, max_bytes=MAX_LINE_BYTES)
            word, _, rest = decode_line(line).partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                proof = None if rest == NO_VALUE else rest
            elif word == "ERROR":
                fault, detail = parse_fault(rest)
                if opening:
                    raise MemberRefused(fault)
            elif word == "READY":
                state, position = parse_ready(rest)
                return MemberAnswer(state, position, rows, proof, fault, detail)
            else:
                raise ValueError(f"unknown message {word[:20]!r} of a member")
