"""Counts the calls of the platform by purpose, for the metrics."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from wigeonpoint.services import Promoter, RowsRead, RowStore, RowTransaction


class CallPurpose(StrEnum):
    """What a call of the platform is made for."""

    CONTROL = "control"  # the control table: leases, claims of others, registrations of others
    OPERATORS = "operators"
    MEMBERS = "members"
    REGISTRATION = "registration"
    CHANGE = "change"  # changes of primary


class CallKind(StrEnum):
    """Kind of a call of the platform."""

    READ = "read"  # of a whole table
    WAIT = "wait"  # for changes of a table
    POLL = "poll"  # of changes of a table, without waiting
    COMMIT = "commit"
    PROMOTE = "promote"


class CallCounts:
    """Counts the calls that one instance makes of the platform, failed ones included."""

    def __init__(self) -> None:
        self._calls: Counter[tuple[CallPurpose, CallKind]] = Counter()

    @property
    def calls(self) -> dict[tuple[CallPurpose, CallKind], int]:
        """Number of calls so far by purpose and kind."""
        return dict(self._calls)

    def note(self, purpose: CallPurpose, kind: CallKind) -> None:
        """Counts a call."""
        self._calls[purpose, kind] += 1


class CountedStore:
    """A row store whose calls are counted for one purpose.

    Args:
        store: The store.
        purpose: What the calls are made for.
        counts: Counts the calls.
    """

    def __init__(self, store: RowStore, purpose: CallPurpose, counts: CallCounts) -> None:
        self._store = store
        self._purpose = purpose
        self._counts = counts

    async def read(self, table: str) -> RowsRead:
        """Reads all rows of a table."""
        self._counts.note(self._purpose, CallKind.READ)
        return await self._store.read(table)

    async def changes(self, table: str, *, after: int, wait_s: float) -> RowsRead:
        """Waits for changes of a table."""
        self._counts.note(self._purpose, CallKind.WAIT if wait_s else CallKind.POLL)
        return await self._store.changes(table, after=after, wait_s=wait_s)

    async def commit(self, transaction: RowTransaction) -> int:
        """Applies a transaction."""
        self._counts.note(self._purpose, CallKind.COMMIT)
        return await self._store.commit(transaction)


class CountedPromoter:
    """A promoter whose calls are counted.

    Args:
        promoter: The promoter.
        counts: Counts the calls.
    """

    def __init__(self, promoter: Promoter, counts: CallCounts) -> None:
        self._promoter = promoter
        self._counts = counts

    async def promote(self, service: str, member_id: str, *, holder: str, token: int) -> bool:
        """Requests that a member become the primary of its group."""
        self._counts.note(CallPurpose.CHANGE, CallKind.PROMOTE)
        return await self._promoter.promote(service, member_id, holder=holder, token=token)
