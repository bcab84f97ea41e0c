"""The platform's services: protocols, data classes and the adapter over HTTP with JSON."""

from __future__ import annotations

from wigeonpoint.platform._http import http_platform
from wigeonpoint.platform._protocol import (
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

__all__ = [
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
    "http_platform",
]
