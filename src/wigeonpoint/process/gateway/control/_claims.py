"""Claims of changes of primary: conditional writes of the group and coordinator records."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, replace

from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._records import (
    CONTROL_TABLE,
    COORDINATOR_KEY,
    control_row,
    encode_record,
    group_row,
)
from wigeonpoint.services import RowStore, RowTransaction, VersionedRow, era_of
from wigeonpoint.version.catalogue import (
    Leadership,
    LeadershipPhase,
    next_coordinator,
)

STORE_ATTEMPTS = 3
STORE_RETRY_DELAY_S = 0.2
RECORD_RETRY_DELAY_S = 0.3


class ClaimSuperseded(Exception):
    """Another instance claimed the group or became coordinator, or this one's lease expired."""


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim of this instance that the store accepted.

    Attributes:
        group: Name of the group.
        leadership: The leadership record that was written.
        token: Fencing token of the coordinator record.
        claimed_at: Time in seconds, by the lease's clock, by which the store had accepted it.
        called_at: Time at which the claimant began to record that it calls for the promotion.
    """

    group: str
    leadership: Leadership
    token: int
    claimed_at: float
    called_at: float = 0.0


class Claims:
    """Writes claims, and the stable records that complete them.

    Args:
        control: Control state of this instance.
        groups: Gives the groups by name.
        store: The store.
    """

    def __init__(
        self,
        control: ControlState,
        groups: Callable[[], Mapping[str, Group]],
        store: RowStore,
    ) -> None:
        self._control = control
        self._groups = groups
        self._store = store

    async def claim(
        self, name: str, candidate: str, *, planned: bool, called: bool = False
    ) -> Claim:
        """Writes a claim, and the coordinator record too if another instance holds it.

        Simultaneous claims of several groups all write the coordinator record. A claim that failed
        only because of that is retried once with the current coordinator record.

        Args:
            name: Name of the group.
            candidate: Id of the member to promote.
            planned: Whether the replaced primary keeps running meanwhile.
            called: Whether a former claimant may have called for the promotion of the candidate.

        Raises:
            ConditionFailed: Another instance changed the records first.
            StoreUnavailable: The store does not answer.
            ClaimSuperseded: This instance has no valid lease, or the store was restored meanwhile.
        """
        known = self._control.leadership(name)
        if not self._control.lease_valid:
            raise ClaimSuperseded("this instance has no valid lease")
        try:
            return await self._claim_once(name, candidate, planned=planned, called=called)
        except ConditionFailed:
            if self._control.leadership(name) != known:
                raise
            return await self._claim_once(name, candidate, planned=planned, called=called)

    def raise_if_superseded(self, claim: Claim) -> None:
        """Raises unless this instance still holds a claim, the coordinator record and a lease.

        Raises:
            ClaimSuperseded: One of them is lost.
        """
        coordinator_record = self._control.records.coordinator_record()
        held = coordinator_record is not None and coordinator_record.token == claim.token
        newest = self._control.leadership(claim.group) == claim.leadership
        if not (held and newest and self._control.lease_valid):
            raise ClaimSuperseded("the claim, the coordinator record or the lease was lost")
        if claim.leadership.era != self._control.era:
            raise ClaimSuperseded("the store was restored since the claim")

    async def mark_called(self, claim: Claim) -> Claim:
        """Records that the promotion is being called for; fails if the claim was taken over.

        Another instance that takes the claim over later knows from the record that the promotion
        may still be carried out, and counts the time for a takeover from then on.

        Returns:
            The claim with its new record, from whose time on the claimant may call.

        Raises:
            ConditionFailed: Another instance has taken over the claim.
            StoreUnavailable: The store does not answer.
            ClaimSuperseded: The claim, the coordinator record or the lease was lost.
        """
        self.raise_if_superseded(claim)
        key = group_row(claim.group)
        called = replace(claim.leadership, called=True)
        expected = {key: self._control.records.version(key.key)}
        marked_at = self._control.lease.now
        await self._commit(RowTransaction(expected, {key: encode_record(called)}))
        return replace(claim, leadership=called, called_at=marked_at)

    async def store_stable(self, group: str, stable: Leadership) -> None:
        """Writes the stable record of a group, retrying while it is the newest known one.

        Until it is stored, other instances may take over the claim.
        """
        key = group_row(group)
        while self._control.leadership(group) == stable:
            expected = {key: self._control.records.version(key.key)}
            try:
                await self._commit(RowTransaction(expected, {key: encode_record(stable)}))
            except ConditionFailed:
                return  # a later claim replaced this one
            except StoreUnavailable as error:
                log_event(Event.PROMOTION_FAILED, group=group, reason=error.message)
                await asyncio.sleep(RECORD_RETRY_DELAY_S)
                continue
            return

    async def _claim_once(self, name: str, candidate: str, *, planned: bool, called: bool) -> Claim:
        records, era = self._control.records, self._control.era
        known, coordinator_record = self._control.leadership(name), records.coordinator_record()
        group = self._groups().get(name)
        leadership = Leadership(
            epoch=known.epoch + 1 if known else 1,
            phase=LeadershipPhase.CLAIMED,
            primary=known.primary if known else (group.primary_id if group else None),
            claimant=self._control.name,
            candidate=candidate,
            planned=planned,
            era=era,
            called=called,
        )
        puts = {group_row(name): encode_record(leadership)}
        if coordinator_record is None or not coordinator_record.held_by(self._control.name, era):
            coordinator_record = next_coordinator(coordinator_record, self._control.name, era)
            puts[control_row(COORDINATOR_KEY)] = encode_record(coordinator_record)
        expected = {
            group_row(name): records.version(group_row(name).key),
            control_row(COORDINATOR_KEY): records.version(COORDINATOR_KEY),
        }
        await self._commit(RowTransaction(expected, puts))
        if era_of(records.version(group_row(name).key)) != era:
            raise ClaimSuperseded("the store was restored during the claim")
        log_event(
            Event.PROMOTION_CLAIMED,
            group=name,
            epoch=leadership.epoch,
            candidate=candidate,
            token=coordinator_record.token,
        )
        return Claim(name, leadership, coordinator_record.token, self._control.lease.now)

    async def _commit(self, transaction: RowTransaction) -> None:
        """Commits a transaction; after a lost answer, reads the rows to see whether it was applied.

        Raises:
            ConditionFailed: Another instance changed the rows first.
            StoreUnavailable: The store does not answer, so the outcome is unknown.
        """
        for attempt in range(STORE_ATTEMPTS):
            try:
                version = await self._store.commit(transaction)
            except ConditionFailed:
                await self._control.feed.poll()
                if self._was_applied(transaction):
                    return
                raise
            except StoreUnavailable:
                self._control.feed.check_store()
                if attempt == STORE_ATTEMPTS - 1:
                    raise
                with suppress(StoreUnavailable):
                    await self._control.feed.poll()
                    if self._was_applied(transaction):
                        return
                await asyncio.sleep(STORE_RETRY_DELAY_S)
                continue
            for key, value in transaction.puts.items():
                self._control.feed.apply(VersionedRow(CONTROL_TABLE, key.key, value, version))
            return

    def _was_applied(self, transaction: RowTransaction) -> bool:
        rows = self._control.feed.rows
        return all(_has_value(rows.get(key.key), value) for key, value in transaction.puts.items())


def _has_value(row: VersionedRow | None, value: bytes) -> bool:
    return row is not None and row.value == value
