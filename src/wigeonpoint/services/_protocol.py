"""Interfaces to the platform: table service, object store and directory."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol, runtime_checkable


@dataclass(frozen=True, slots=True)
class Row:
    """A row of a table.

    Attributes:
        key: Key within the table.
        value: The row's fields.
        version: Version of the row, from 1; every change raises it.
    """

    key: str
    value: dict[str, Any]
    version: int


@dataclass(frozen=True, slots=True)
class Check:
    """A condition of a transaction: the row must have this version; 0 means that it is absent."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Writes a row."""

    table: str
    key: str
    value: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a row."""

    table: str
    key: str


@dataclass(frozen=True, slots=True)
class TableTransaction:
    """Conditional changes that take effect together or not at all."""

    checks: list[Check] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    deletes: list[Delete] = field(default_factory=list)


class TableService(Protocol):
    """The platform's transactional table service.

    Every call raises `StoreUnavailable` when no answer arrives; a transaction may then have taken
    effect nevertheless.
    """

    async def read(self, table: str, key: str) -> Row | None:
        """Reads a row, or None when it is absent."""
        ...

    async def scan(self, table: str) -> list[Row]:
        """Reads all rows of a table in the order of their keys."""
        ...

    async def transact(self, transaction: TableTransaction) -> None:
        """Applies a transaction; raises `ConditionFailed` when a check does not hold."""
        ...


class ObjectStore(Protocol):
    """The platform's object store; calls raise `StoreUnavailable` when no answer arrives."""

    async def put(self, name: str, data: bytes) -> None:
        """Writes an object."""
        ...

    async def get(self, name: str) -> bytes | None:
        """Reads an object, or None when it is absent."""
        ...

    async def names(self, prefix: str) -> list[str]:
        """Lists the names that begin with a prefix, in order."""
        ...


class ListingKind(StrEnum):
    """Kind of a listed process."""

    ENTRY = "entry"
    BACKEND_SERVER = "backend_server"


class ListingState(StrEnum):
    """State of a listed process; the list lags behind the process."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Listing:
    """An entry of the platform's list of instances and backend servers.

    Attributes:
        id: Unique id.
        kind: Instance (`ENTRY`) or backend server.
        address: `host:port`.
        data_centre: Name of its data centre.
        group: Database group of a backend server; empty for an instance.
        state: Live or leaving.
    """

    id: str
    kind: ListingKind
    address: str
    data_centre: str
    group: str = ""
    state: ListingState = ListingState.LIVE


class Directory(Protocol):
    """The platform's lagging list of live and leaving instances and backend servers."""

    async def list(self) -> list[Listing]:
        """Reads the list; raises `StoreUnavailable` when no answer arrives."""
        ...


@dataclass(frozen=True, slots=True)
class DirectoryRead:
    """The whole list, as read at one version.

    Attributes:
        version: Opaque version of the list, equal only for equal lists.
        listings: The list.
    """

    version: str
    listings: list[Listing]


@runtime_checkable
class ConditionalDirectory(Directory, Protocol):
    """A directory that can report cheaply that its list has not changed.

    The list of a large fleet exceeds a megabyte, so pollers read a directory without this feature
    less often.
    """

    async def list_since(self, version: str | None) -> DirectoryRead | None:
        """Reads the list unless it is still at `version`.

        Args:
            version: Version of an earlier read; None always reads the list.

        Returns:
            The list, or None when it is unchanged.

        Raises:
            StoreUnavailable: No answer arrived.
        """
        ...


@dataclass(frozen=True, slots=True)
class Platform:
    """The platform's services that an instance uses."""

    tables: TableService
    objects: ObjectStore
    directory: Directory
