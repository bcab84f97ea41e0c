"""Interfaces to the platform's services, with their data classes."""

from __future__ import annotations

from wigeonpoint.services._protocol import (
    Check,
    ConditionalDirectory,
    Delete,
    Directory,
    DirectoryRead,
    Listing,
    ListingKind,
    ListingState,
    ObjectStore,
    Platform,
    Put,
    Row,
    TableService,
    TableTransaction,
)
from wigeonpoint.services._rows import (
    HistoryLost,
    Promoter,
    RowKey,
    RowsRead,
    RowStore,
    RowTransaction,
    VersionedRow,
)
from wigeonpoint.services._store_version import (
    era_of,
    make_version,
    number_of,
    version_fields,
)

__all__ = [
    "HistoryLost",
    "Promoter",
    "RowKey",
    "RowsRead",
    "RowStore",
    "RowTransaction",
    "VersionedRow",
    "Check",
    "ConditionalDirectory",
    "Delete",
    "Directory",
    "DirectoryRead",
    "Listing",
    "ListingKind",
    "ListingState",
    "ObjectStore",
    "Platform",
    "Put",
    "Row",
    "TableService",
    "TableTransaction",
    "era_of",
    "make_version",
    "number_of",
    "version_fields",
]
