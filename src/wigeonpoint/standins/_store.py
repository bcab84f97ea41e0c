"""Key-value statements, transactions and log entries of a database member."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from wigeonpoint.errors import InvalidRequest, ResultCode
from wigeonpoint.request import Statement


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Request id with the answer of its first run.

    Attributes:
        request_id: The id.
        fingerprint: Digest of the statements, to detect that the id is used for others.
        rows: Rows of the first answer.
    """

    request_id: str
    fingerprint: str
    rows: list[Any] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of a group's log.

    Attributes:
        term: Term of the primary that wrote it.
        changes: New values by key.
        record: Request id recorded in the same transaction, if any.
    """

    term: int
    changes: dict[str, Any] = field(default_factory=dict)
    record: RequestRecord | None = None


class Workspace:
    """Reads and buffered writes of one transaction.

    Args:
        committed: Committed values by key; they change while the transaction is open.
        term: Term of the primary that runs the transaction.
    """

    def __init__(self, committed: dict[str, Any], *, term: int = 0) -> None:
        self._committed = committed
        self.term = term
        self.changes: dict[str, Any] = {}
        self.read_values: dict[str, Any] = {}
        self.digest = hashlib.sha256()

    def run(self, statement: Statement, *, read_only: bool) -> list[Any]:
        """Runs a statement and returns its rows.

        Raises:
            InvalidRequest: STATEMENT_REJECTED or READ_ONLY_VIOLATION.
        """
        words = _bind_parameters(statement)
        self.digest.update(orjson.dumps(words))
        verb = str(words[0]).upper() if words else ""
        operation = _OPERATIONS.get(verb)
        if operation is None or len(words) - 1 != operation.arity:
            raise InvalidRequest(
                ResultCode.STATEMENT_REJECTED, f"cannot run statement {statement.text!r}"
            )
        if read_only and operation.writes:
            raise InvalidRequest(
                ResultCode.READ_ONLY_VIOLATION, f"{verb} changes data; send it with access write"
            )
        return operation.run(self, *words[1:])

    def conflicts(self) -> bool:
        """Whether a value that the transaction read has changed since."""
        return any(self._committed.get(k) != v for k, v in self.read_values.items())

    def get(self, key: Any) -> list[Any]:
        """GET: returns the value of a key, or no row."""
        value = self._value(str(key))
        return [] if value is None else [value]

    def put(self, key: Any, value: Any) -> list[Any]:
        """PUT: sets a key."""
        self.changes[str(key)] = value
        return []

    def append(self, key: Any, value: Any) -> list[Any]:
        """APPEND: adds a value to a list and returns its new length."""
        values = [*(self._value(str(key)) or []), value]
        self.changes[str(key)] = values
        return [len(values)]

    def add(self, key: Any, amount: Any) -> list[Any]:
        """ADD: adds to a number and returns the sum."""
        total = (self._value(str(key)) or 0) + int(amount)
        self.changes[str(key)] = total
        return [total]

    def scan(self, prefix: Any) -> list[Any]:
        """SCAN: returns pairs of key and value by prefix, in the order of the keys."""
        merged = {**self._committed, **self.changes}
        return [[key, merged[key]] for key in sorted(merged) if key.startswith(str(prefix))]

    def _value(self, key: str) -> Any:
        if key in self.changes:
            return self.changes[key]
        value = self._committed.get(key)
        self.read_values[key] = value
        return value


@dataclass(frozen=True, slots=True)
class _Operation:
    arity: int
    writes: bool
    run: Callable[..., list[Any]]


_OPERATIONS = {
    "GET": _Operation(1, False, Workspace.get),
    "SCAN": _Operation(1, False, Workspace.scan),
    "PUT": _Operation(2, True, Workspace.put),
    "APPEND": _Operation(2, True, Workspace.append),
    "ADD": _Operation(2, True, Workspace.add),
}


def _bind_parameters(statement: Statement) -> list[Any]:
    words = statement.text.split()
    if words.count("?") != len(statement.parameters):
        raise InvalidRequest(
            ResultCode.STATEMENT_REJECTED,
            f"statement has {words.count('?')} placeholders for "
            f"{len(statement.parameters)} parameters",
        )
    parameters = iter(statement.parameters)
    return [next(parameters) if word == "?" else word for word in words]
