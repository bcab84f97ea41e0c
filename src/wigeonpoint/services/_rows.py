"""Interface to a store of versioned rows with conditional transactions and a change feed."""

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
        version: Store version of the transaction that wrote it. Versions ascend over the whole
            store, also when it is restored from an older copy; see `make_version`.
        deleted: Whether the row was deleted.
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
        version: Version of the store after which to read further changes.
        store_s: Time of the store's steady clock in seconds, None if the store gave none.
    """

    rows: list[VersionedRow]
    version: int
    store_s: float | None = None


@dataclass(frozen=True, slots=True)
class RowKey:
    """Table and key of a row."""

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
    """The changes since the given version are not available; read the whole table."""


class RowStore(Protocol):
    """A store of rows; every call raises `StoreUnavailable` without a usable answer in time."""

    async def read(self, table: str) -> RowsRead:
        """Reads all rows of a table."""
        ...

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowsRead:
        """Waits for changes of a table.

        Args:
            table: Name of the table.
            after: Version of the store that was read last.
            wait_s: Longest time to wait, in seconds; without changes the result has no rows.

        Raises:
            HistoryLost: The version is too old, or the store has been restored since then.
        """
        ...

    async def commit(self, transaction: RowTransaction) -> int:
        """Applies a transaction.

        Returns:
            The version of the store after the transaction.

        Raises:
            ConditionFailed: A row has another version; nothing was changed.
            StoreUnavailable: No answer arrived; the change may have been made, or may still be made
                later if its condition then holds.
        """
        ...


class Promoter(Protocol):
    """Interface to the platform's promotion of members to primary."""

    async def promote(self, service: str, member_id: str, *, holder: str, token: int) -> bool:
        """Requests that a member become the primary of its group.

        Args:
            service: Name of the group.
            member_id: The member.
            holder: Name of the coordinator.
            token: Fencing token; every change of coordinator raises it.

        Returns:
            Whether the call was accepted; False when the member is not running.

        Raises:
            StoreUnavailable: No usable answer arrived; the call may have taken effect.
        """
        ...
