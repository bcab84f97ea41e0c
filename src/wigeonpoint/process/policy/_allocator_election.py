"""Decides when an instance claims to be the allocator of the customers' quotas."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

from wigeonpoint.version.catalogue import QuotaAllocatorRecord

# Allowances outlast this by far, and most instances that pause for a moment return sooner.
SILENT_ALLOCATOR_S = 1.0
# Between the claims of instances that notice the same; usually the first one is enough.
CLAIM_STEP_S = 0.4
MAX_CLAIM_STEPS = 6


class AllocatorElection:
    """Finds out whether this instance should claim to be the allocator.

    Args:
        instance: Name of this instance.
        process: Identifier of its process.
    """

    def __init__(self, instance: str, process: str) -> None:
        self._instance = instance
        self._process = process
        self._unanswered_since: float | None = None
        self._vacant_since: float | None = None
        self._record: QuotaAllocatorRecord | None = None

    def note_answer(self) -> None:
        """Notes that the allocator has answered."""
        self._unanswered_since = None

    def note_unanswered(self, now: float) -> None:
        """Notes that the allocator has not answered a request that was sent at a time."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def note_out_of_touch(self) -> None:
        """Notes that this instance may be the one that is cut off, not the allocator."""
        self._vacant_since = self._unanswered_since = None

    def holds(self, record: QuotaAllocatorRecord | None, era: int) -> bool:
        """Whether a record names this process, and no restore of the store has overtaken it."""
        return (
            record is not None
            and (record.holder, record.process) == (self._instance, self._process)
            and record.era == era
        )

    def should_claim(
        self,
        record: QuotaAllocatorRecord | None,
        instances: Collection[str],
        *,
        era: int,
        now: float,
    ) -> bool:
        """Whether to claim now; to be asked repeatedly.

        Args:
            record: The present record, None before the first claim.
            instances: Names of the registered instances.
            era: Era of the store.
            now: Time in seconds.
        """
        if record != self._record or self.holds(record, era):
            self._record = record
            self._vacant_since = self._unanswered_since = None
        if self.holds(record, era):
            return False
        if record is not None and record.holder == self._instance:
            return True  # of a previous process, which has ended, or from before a restore
        vacant = record is None or record.era != era or record.holder not in instances
        if not vacant:
            self._vacant_since = None
        elif self._vacant_since is None:
            self._vacant_since = now
        if self._vacant_since is None and self._unanswered_since is None:
            return False
        others = set(instances) - ({record.holder} if record is not None else set())
        delay_s = CLAIM_STEP_S * min(self._rank(others), MAX_CLAIM_STEPS)
        if self._vacant_since is not None and now - self._vacant_since >= delay_s:
            return True
        silent_since = self._unanswered_since
        return silent_since is not None and now - silent_since >= SILENT_ALLOCATOR_S + delay_s

    def _rank(self, instances: Collection[str]) -> int:
        """Position of this instance in an order that does not follow the names."""
        own = _order(self._instance)
        return sum(1 for name in instances if _order(name) < own)


def _order(instance: str) -> bytes:
    return hashlib.blake2b(f"quota/{instance}".encode(), digest_size=8).digest()
