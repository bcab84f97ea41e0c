"""In-memory table service, object store and directory."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from wigeonpoint.errors import ConditionFailed
from wigeonpoint.services import DirectoryRead, Listing, Row, TableTransaction


class MemoryTables:
    """In-memory table service with versioned rows and conditional transactions."""

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, Row]] = {}

    async def read(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it is absent."""
        return self._tables.get(table, {}).get(key)

    async def scan(self, table: str) -> list[Row]:
        """Returns all rows of a table in the order of their keys."""
        rows = self._tables.get(table, {})
        return [rows[key] for key in sorted(rows)]

    async def transact(self, transaction: TableTransaction) -> None:
        """Applies a transaction.

        Raises:
            ConditionFailed: A row is not at the version that the transaction requires.
        """
        for check in transaction.checks:
            self._require_version(check.table, check.key, check.version)
        for put in transaction.puts:
            self._put(put.table, put.key, put.value)
        for delete in transaction.deletes:
            self._tables.get(delete.table, {}).pop(delete.key, None)

    def _require_version(self, table: str, key: str, version: int) -> None:
        found = self._version(table, key)
        if found != version:
            raise ConditionFailed(f"{table}/{key} is at version {found}, not {version}")

    def _put(self, table: str, key: str, value: dict[str, object]) -> None:
        row = Row(key=key, value=dict(value), version=self._version(table, key) + 1)
        self._tables.setdefault(table, {})[key] = row

    def _version(self, table: str, key: str) -> int:
        row = self._tables.get(table, {}).get(key)
        return 0 if row is None else row.version


class MemoryObjects:
    """In-memory object store."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def put(self, name: str, data: bytes) -> None:
        """Writes an object."""
        self._objects[name] = data

    async def get(self, name: str) -> bytes | None:
        """Returns an object, or None if it is absent."""
        return self._objects.get(name)

    async def names(self, prefix: str) -> list[str]:
        """Returns the names that begin with a prefix, sorted."""
        return sorted(name for name in self._objects if name.startswith(prefix))


class MemoryDirectory:
    """In-memory directory of instances and backend servers, edited by tests and the demo."""

    def __init__(self, listings: list[Listing] | None = None) -> None:
        self.listings = list(listings or [])
        self._versioned_listings: list[Listing] = []
        self._version = _digest([])

    async def list(self) -> list[Listing]:
        """Returns all listings."""
        return list(self.listings)

    async def list_since(self, version: str | None) -> DirectoryRead | None:
        """Returns version and listings, or None if the list is still at the given version."""
        listings = await self.list()
        if listings != self._versioned_listings:
            self._versioned_listings = listings
            self._version = _digest(listings)
        return None if version == self._version else DirectoryRead(self._version, listings)

    def replace(self, listing: Listing) -> None:
        """Adds a listing or replaces the one with the same id."""
        others = [other for other in self.listings if other.id != listing.id]
        self.listings = [*others, listing]

    def remove(self, listing_id: str) -> None:
        """Removes a listing."""
        self.listings = [other for other in self.listings if other.id != listing_id]


def _digest(listings: Iterable[Listing]) -> str:
    digest = blake2b(digest_size=12)
    for listing in listings:
        digest.update(repr(listing).encode())
    return f'"{digest.hexdigest()}"'
