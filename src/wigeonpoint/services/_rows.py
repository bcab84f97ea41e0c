"""The interface to a store of versioned rows with conditional transactions and a change feed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A row as the store holds it.

    Attributes:
        table: Name of the table.
        key: Key within the table.
        value: The row's bytes, empty when it was deleted.
        version: Number of the transaction that wrote it; it grows over the whole store.
        deleted: Whether the row is gone.
    """

    table: str
    key: str
    value: bytes
    version: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows as of one version of the store.

    Attributes:
        rows: All rows of a table, or those that changed.
        version: Version of the store to read further changes from.
    """

    rows: list[VersionedRow]
    version: int


@dataclass(frozen=True, slots=True)
class RowKey:
    """Names a row."""

    table: str
    key: str


@dataclass(frozen=True, slots=True)
class RowTransaction:
    """Changes that take effect together, or not at all.

    Attributes:
        expected: Version that each row must have; 0 means that it must not exist.
        puts: New values.
        deletes: Rows to delete.
    """

    expected: dict[RowKey, int] = field(default_factory=dict)
    puts: dict[RowKey, bytes] = field(default_factory=dict)
    deletes: list[RowKey] = field(default_factory=list)


class HistoryLost(Exception):
    """The changes since the given version are no longer available; read the whole table."""


class RowStore(Protocol):
    """The store. Every call raises `StoreUnavailable` when no usable answer comes in time."""

    async def read(self, table: str) -> RowsRead:
        """Reads all rows of a table."""
        ...

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowsRead:
        """Waits for changes of a table.

        Args:
            table: Name of the table.
            after: Version that is known.
            wait_s: Seconds after which an answer without rows is given.

        Raises:
            HistoryLost: The version is too old.
        """
        ...

    async def commit(self, transaction: RowTransaction) -> int:
        """Applies a transaction.

        Returns:
            The version of the store that it made.

        Raises:
            ConditionFailed: A row has another version; nothing was changed.
            StoreUnavailable: Without an answer; the change may have been made, or may be made later
                while its condition still holds.
        """
        ...


class Promoter(Protocol):
    """Makes a member the primary of its group."""

    async def promote(self, service: str, member_id: str, *, holder: str, token: int) -> bool:
        """Asks for a member to become the primary.

        Args:
            service: Name of the group.
            member_id: The member.
            holder: Name of the instance that holds the duty.
            token: Fencing token; it grows with every change of holder.

        Returns:
            Whether the call was accepted; False when the member does not run.

        Raises:
            StoreUnavailable: No usable answer came; the call may have taken effect.
        """
        ...
