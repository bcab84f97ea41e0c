"""Follows the record of the allocator of quotas, claims it, and acts as the allocator."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._suspension import Clock
from wigeonpoint.process.gateway.control import (
    CONTROL_TABLE,
    QUOTA_ALLOCATOR_KEY,
    ControlState,
    control_row,
    encode_record,
)
from wigeonpoint.process.gateway.quota._totals import QuotaTotals
from wigeonpoint.process.policy import (
    ALLOCATOR_RIGHT_S,
    AllocatorElection,
    AllowancesRenewed,
    QuotaAllocator,
    RenewAllowances,
)
from wigeonpoint.services import RowStore, RowTransaction, VersionedRow, era_of
from wigeonpoint.version.catalogue import QuotaAllocatorRecord

WRITE_RETRY_S = 1.0


class QuotaAllocation:
    """Tells which instance is the allocator, and acts as the allocator if it is this one.

    Args:
        control: Control state of this instance.
        store: The store.
        totals: Operations per window of the customers.
        process: Identifier of this process.
        clock: Gives seconds; it must also count the time for which the machine is suspended.
    """

    def __init__(
        self,
        control: ControlState,
        store: RowStore,
        totals: QuotaTotals,
        *,
        process: str,
        clock: Clock,
    ) -> None:
        self._control = control
        self._store = store
        self._totals = totals
        self._process = process
        self._clock = clock
        self._record: QuotaAllocatorRecord | None = None
        self._allocator: QuotaAllocator | None = None
        self._claimed_at = float("-inf")
        self._first_claim: tuple[int, int, float] | None = None  # era, term, time it was sent
        self._claiming: asyncio.Task[None] | None = None
        self._replaced: QuotaAllocatorRecord | None = None  # by the latest claim of this process
        self._noting: asyncio.Task[bool] | None = None  # that the allocator is complete
        self.election = AllocatorElection(control.name, process)

    @property
    def record(self) -> QuotaAllocatorRecord | None:
        """The latest known record of the allocator."""
        return self._record

    @property
    def allocator(self) -> QuotaAllocator | None:
        """The allocator's state if this instance is the allocator."""
        return self._allocator

    def close(self) -> None:
        """Stops writes that are under way."""
        for task in (self._claiming, self._noting):
            if task is not None:
                task.cancel()

    def refresh(self) -> None:
        """Follows the stored record; begins and ends to act as the allocator accordingly."""
        record = self._control.records.quota_allocator()
        known = self._record
        if record is not None and (known is None or record.precedence > known.precedence):
            self._follow(record)
        if self._allocator is not None:
            if not self.election.holds(self._record, self._control.era):
                self._allocator = None
            else:
                self._update(self._allocator)
                self._note_complete_if_due(self._allocator)

    def claim_if_due(self) -> None:
        """Claims in the background if this instance should become the allocator."""
        if not self._control.lease_valid:
            self.election.note_out_of_touch()
            return
        due = self.election.should_claim(
            self._record,
            self._control.instances,
            era=self._control.era,
            now=self._clock(),
        )
        if due and (self._claiming is None or self._claiming.done()):
            self._claiming = asyncio.create_task(self._claim())

    def renew(self, message: RenewAllowances) -> AllowancesRenewed:
        """Answers a request of an instance."""
        self.refresh()
        now, proof_at = self._clock(), self._proof_at()
        if (
            self._allocator is None
            or self._record is None
            or self._record.precedence != (message.era, message.term)
            or now - proof_at >= ALLOCATOR_RIGHT_S
        ):
            return AllowancesRenewed(0)
        return self._allocator.renew(message, self._totals.get, now=now, proof_at=proof_at)

    def _follow(self, record: QuotaAllocatorRecord) -> None:
        if self._allocator is not None:
            log_event(Event.QUOTA_ALLOCATOR_REPLACED, allocator=record.holder, term=record.term)
        self._record = record
        self._allocator = None
        if self.election.holds(record, self._control.era):
            first = record.term == 1 and record.era == 0
            self._claimed_at = self._clock()
            self._allocator = QuotaAllocator(
                claimed_at=self._claimed_at,
                window_s=self._totals.window_s,
                first=first,
                previous=self._complete_predecessor(record),
            )
            log_event(Event.QUOTA_ALLOCATOR_CLAIMED, term=record.term, era=record.era)

    def _complete_predecessor(self, record: QuotaAllocatorRecord) -> str | None:
        """The instance that a record has replaced, if it knew of all allowances by then."""
        replaced = self._replaced
        if replaced is None or not replaced.complete:
            return None
        if replaced.precedence != (record.era, record.term - 1):
            return None
        return replaced.holder

    def _note_complete_if_due(self, allocator: QuotaAllocator) -> None:
        """Stores in the background that the allocator knows of all allowances."""
        stored = self._control.records.quota_allocator()
        if not allocator.complete or stored is None or stored.complete:
            return
        if self.election.holds(stored, self._control.era) and (
            self._noting is None or self._noting.done()
        ):
            self._noting = asyncio.create_task(self._write(replace(stored, complete=True)))

    def _update(self, allocator: QuotaAllocator) -> None:
        """Finds out whether the allocator knows all allowances."""
        if allocator.complete:
            return
        control, now = self._control, self._clock()
        names = {*control.instances, *control.fleet.deregistered}
        allocator.update(names, now=now, proof_at=self._proof_at())
        if allocator.complete:
            seconds = round(now - self._claimed_at, 3)
            log_event(Event.QUOTA_ALLOCATOR_COMPLETE, seconds=seconds, instances=len(names))

    def _proof_at(self) -> float:
        """Latest time in seconds at which the store is known to have named this allocator."""
        sent_at = self._first_claim[2] if self._first_claim is not None else float("-inf")
        return max(self._control.lease.store_read_at(), sent_at)

    async def _claim(self) -> None:
        control = self._control
        known = control.records.quota_allocator()
        term = known.term + 1 if known is not None else 1
        record = QuotaAllocatorRecord(control.name, self._process, term, control.era)
        # An earlier attempt may have been carried out although it was not answered.
        if self._first_claim is None or self._first_claim[:2] != record.precedence:
            self._first_claim = *record.precedence, self._clock()
        self._replaced = known
        if await self._write(record):
            self.refresh()

    async def _write(self, record: QuotaAllocatorRecord) -> bool:
        """Replaces the stored record as this instance knows it; returns whether it did."""
        control, key = self._control, control_row(QUOTA_ALLOCATOR_KEY)
        value = encode_record(record)
        expected = {key: control.records.version(key.key)}
        try:
            version = await self._store.commit(RowTransaction(expected, {key: value}))
        except (ConditionFailed, StoreUnavailable):
            await asyncio.sleep(WRITE_RETRY_S)  # another instance has claimed, or may
            return False
        if era_of(version) != record.era:
            return False
        control.feed.apply(VersionedRow(CONTROL_TABLE, key.key, value, version))
        return True
