"""Checks a configuration of the operators before it is sent, with the validation of the gateway."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

import orjson

from wigeonpoint.errors import ResultCode
from wigeonpoint.platform._customers import OPERATOR_TABLE, hide_keys
from wigeonpoint.platform._http import HttpClient
from wigeonpoint.platform._store import PlatformRowStore
from wigeonpoint.platform._tables import CATALOGUE_KEY, RowDecoder
from wigeonpoint.process.gateway import GatewaySettings
from wigeonpoint.services import VersionedRow
from wigeonpoint.version.catalogue import Catalogue, Finding, review_catalogue

# Lists of entries, and the field by which the gateway finds an entry; of several, one holds.
_ENTRY_NAMES = {"routeTable": "dbName", "services": "name"}
_ENTRY_KINDS = {"routeTable": "route", "services": "service"}


@dataclass(frozen=True, slots=True)
class CheckedConfiguration:
    """Result of the check of a configuration.

    Attributes:
        catalogue: What a gateway would use of it, None if it would refuse the whole.
        errors: What a gateway would refuse or leave out.
        warnings: What it would accept, but cannot have been meant so.
    """

    catalogue: Catalogue | None
    errors: list[Finding]
    warnings: list[Finding]


class _CollectedProblems:
    """Implements `RowProblems` by keeping them."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []

    def note(self, row: str, error: Exception) -> None:
        """Keeps a problem."""
        message = " ".join(str(error).split())
        self.findings.append(Finding(ResultCode.ENTRY_UNREADABLE, row, message))


def check_configuration(document: bytes) -> CheckedConfiguration:
    """Checks a configuration as operators write it into the store.

    Args:
        document: The configuration's JSON.
    """
    problems = _CollectedProblems()
    row = VersionedRow(OPERATOR_TABLE, CATALOGUE_KEY, document, 1)
    catalogue = RowDecoder(lambda: 0.0, problems=problems).catalogue(row)
    if catalogue is None:
        return CheckedConfiguration(None, problems.findings, [])
    errors = [*problems.findings, *_duplicates(document)]
    return CheckedConfiguration(catalogue, errors, review_catalogue(catalogue))


async def read_active_configuration(settings: GatewaySettings) -> bytes | None:
    """Reads the configuration in force from the store; None if there is none.

    Raises:
        StoreUnavailable: The store does not answer.
    """
    client = HttpClient(settings.store_address)
    try:
        read = await PlatformRowStore(client).read(OPERATOR_TABLE)
    finally:
        client.close()
    return next((row.value for row in read.rows if row.key == CATALOGUE_KEY), None)


def _duplicates(document: bytes) -> list[Finding]:
    """Entries of the same name, of which only the last one takes effect."""
    fields = orjson.loads(hide_keys(document))
    return [
        Finding(
            ResultCode.DUPLICATE_ENTRY,
            f"{_ENTRY_KINDS[list_name]} {name}",
            f"{count} entries have this name, and only the last one takes effect",
        )
        for list_name in _ENTRY_NAMES
        for name, count in _count_names(fields.get(list_name), _ENTRY_NAMES[list_name]).items()
        if count > 1
    ]


def _count_names(entries: Any, field: str) -> Counter[str]:
    if not isinstance(entries, list):
        return Counter()
    names = [entry.get(field) for entry in entries if isinstance(entry, dict)]
    return Counter(name for name in names if isinstance(name, str))
