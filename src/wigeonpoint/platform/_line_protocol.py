"""Line protocol of callers and members: encoding and decoding of messages.

A message is one line: a keyword and fields, separated by spaces.
"""

from __future__ import annotations

import math

from wigeonpoint.backend import LogPosition, MemberRole
from wigeonpoint.connection.session import (
    CallerMessage,
    EndSession,
    MalformedMessage,
    MemberFault,
    MemberReport,
    OpenSession,
)
from wigeonpoint.request import Access
from wigeonpoint.request.session import (
    PreparedStatement,
    Refusal,
    Reply,
    SessionStatement,
    TransactionState,
    Verb,
)
from wigeonpoint.version.catalogue import key_digest

END_OF_LINE = b"\r\n"
MAX_LINE_BYTES = 1 << 20
MAX_NUMBER_DIGITS = 18  # fits into 64 bits
NO_VALUE = "-"
# Latin-1 maps every byte to a character, so texts and rows in any encoding pass through unchanged.
TEXT_ENCODING = "latin-1"

_STATES_BY_LETTER = {
    "I": TransactionState.IDLE,
    "T": TransactionState.OPEN,
    "E": TransactionState.FAILED,
}
_STATE_LETTERS = {state: letter for letter, state in _STATES_BY_LETTER.items()}
_FAULTS_BY_CODE = {
    "BUSY": MemberFault.BUSY,
    "LAGGING": MemberFault.BEHIND,
    "READONLY": MemberFault.NOT_PRIMARY,
    "WRONGNODE": MemberFault.WRONG_MEMBER,
    "OVERLOAD": MemberFault.TOO_MANY_CONNECTIONS,
    "NOSTMT": MemberFault.UNKNOWN_STATEMENT,
    "FAILED": MemberFault.FAILED,
    "TIMEOUT": MemberFault.TIMED_OUT,
    "MALFORMED": MemberFault.MALFORMED,
}
_REFUSAL_CODES = {
    Refusal.OVERLOADED: "BUSY",
    Refusal.UNAVAILABLE: "BUSY",
    Refusal.QUOTA_EXCEEDED: "BUSY",
    Refusal.ABORTED: "ABORTED",
    Refusal.IN_DOUBT: "INDOUBT",
    Refusal.TIMED_OUT: "TIMEOUT",
    Refusal.FAILED: "FAILED",
    Refusal.MALFORMED: "MALFORMED",
    Refusal.UNKNOWN_STATEMENT: "NOSTMT",
    Refusal.UNKNOWN_DATABASE: "NODB",
    Refusal.UNAUTHENTICATED: "NOAUTH",
    Refusal.TOO_LARGE: "TOOBIG",
}
_ACCESS_BY_KEYWORD = {"READ": Access.READ, "WRITE": Access.WRITE}
_ACCESS_KEYWORDS = {access: keyword for keyword, access in _ACCESS_BY_KEYWORD.items()}


def encode_line(*fields: str) -> bytes:
    """Encodes a message from its keyword and fields."""
    return " ".join(fields).encode(TEXT_ENCODING) + END_OF_LINE


def parse_caller_message(line: str) -> CallerMessage:
    """Decodes a caller's message; one that does not parse becomes a `MalformedMessage`."""
    keyword, _, rest = line.partition(" ")
    match keyword:
        case "CONNECT":
            database, _, key = rest.partition(" ")
            if not database:
                return MalformedMessage("no database named")
            return OpenSession(database, key_digest(key) if key else b"")
        case "QUERY":
            statement_id, _, text = rest.partition(" ")
            if not statement_id or not text:
                return MalformedMessage("a query needs an id and a text")
            return parse_statement(statement_id, text)
        case "RELEASE":
            return EndSession()
    return MalformedMessage("unknown message")  # it may hold a key, so that it is not repeated


def parse_statement(statement_id: str, text: str) -> SessionStatement:
    """Decodes a statement; one that does not parse has the verb `UNKNOWN`."""
    keyword, _, rest = text.partition(" ")
    match keyword:
        case "BEGIN" if rest in ("", "READ"):
            verb = Verb.BEGIN_READ if rest else Verb.BEGIN
            return SessionStatement(statement_id, text, verb)
        case "COMMIT" | "ROLLBACK" if not rest:
            return SessionStatement(statement_id, text, Verb[keyword])
        case "READ" | "WRITE" | "EXECUTE" | "SET" if rest:
            name, _, argument = rest.partition(" ")
            return SessionStatement(statement_id, text, Verb[keyword], name, argument)
        case "DEALLOC" if rest:
            return SessionStatement(statement_id, text, Verb.DEALLOCATE, rest)
        case "PREPARE":
            return _parse_prepare(statement_id, text, rest)
    return SessionStatement(statement_id, text, Verb.UNKNOWN)


def _parse_prepare(statement_id: str, text: str, rest: str) -> SessionStatement:
    name, _, definition = rest.partition(" ")
    keyword, _, shape = definition.partition(" ")
    access = _ACCESS_BY_KEYWORD.get(keyword)
    if not name or access is None or not shape:
        return SessionStatement(statement_id, text, Verb.UNKNOWN)
    prepared = PreparedStatement(access, shape)
    return SessionStatement(statement_id, text, Verb.PREPARE, name, prepared=prepared)


def encode_ready(state: TransactionState) -> bytes:
    """Encodes the READY message, which ends every answer to a caller."""
    return encode_line("READY", _STATE_LETTERS[state], NO_VALUE)


def encode_reply(reply: Reply) -> bytes:
    """Encodes a reply, without the READY message that ends the answer."""
    if reply.refusal is not None:
        return encode_line("ERROR", _REFUSAL_CODES[reply.refusal], _refusal_text(reply))
    rows = b"".join(encode_line("ROW", row) for row in reply.rows)
    return rows + encode_line("COMPLETE", reply.proof or NO_VALUE)


def _refusal_text(reply: Reply) -> str:
    text = " ".join(reply.message.split()) or reply.refusal.name.lower() if reply.refusal else ""
    if reply.retry_after_ms is None:
        return text
    return f"{text}; retry after {reply.retry_after_ms} ms"


def parse_position(text: str) -> LogPosition | None:
    """Decodes a log position `TERM.NUMBER`; None for any other text, such as `-`."""
    term, dot, number = text.partition(".")
    if not dot or not _is_number(term) or not _is_number(number):
        return None
    return LogPosition(int(term), int(number))


def format_position(position: LogPosition) -> str:
    """Encodes a log position as `TERM.NUMBER`."""
    return f"{position.term}.{position.position}"


def parse_ready(rest: str) -> tuple[TransactionState, LogPosition | None]:
    """Decodes the fields of a READY message.

    Raises:
        ValueError: The state is unknown.
    """
    letter, _, position = rest.partition(" ")
    state = _STATES_BY_LETTER.get(letter)
    if state is None:
        raise ValueError(f"unknown state {letter!r}")
    return state, parse_position(position)


def parse_fault(rest: str) -> tuple[MemberFault, str]:
    """Decodes the fields of a member's ERROR message into the fault and its text."""
    code, _, detail = rest.partition(" ")
    return _FAULTS_BY_CODE.get(code, MemberFault.OTHER), detail or code


def parse_report(row: str) -> MemberReport | None:
    """Decodes the row in which a member reports its state; None if it does not parse."""
    fields = row.split(" ")
    if len(fields) < 7 or fields[0] not in ("primary", "replica"):
        return None
    role, term, received, held, lag_ms, busy, connections = fields[:7]
    if not all(map(_is_number, (term, held, busy, connections))):
        return None
    return MemberReport(
        role=MemberRole(role),
        term=int(term),
        received=parse_position(received),
        held_term=int(held),
        lag_s=_milliseconds(lag_ms) / 1000,
        busy=int(busy),
        connections=int(connections),
    )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS


def _milliseconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if math.isfinite(value) else 0.0


def format_prepare(name: str, prepared: PreparedStatement) -> str:
    """Formats the statement that prepares `prepared` under `name`."""
    return f"PREPARE {name} {_ACCESS_KEYWORDS[prepared.access]} {prepared.shape}"


def format_execute(statement: SessionStatement, name: str) -> str:
    """Formats an EXECUTE statement with the name that the prepared statement has at the member."""
    return f"EXECUTE {name} {statement.argument}"
