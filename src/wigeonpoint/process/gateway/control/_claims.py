"""Claims of changes of primary: conditional writes of a group's record and of the duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass

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
from wigeonpoint.services import RowStore, RowTransaction, VersionedRow
from wigeonpoint.version.catalogue import (
    CoordinatorRecord,
    Leadership,
    LeadershipPhase,
    MemberRecord,
)

STORE_TRIES = 3
STORE_PAUSE_S = 0.2
RECORD_PAUSE_S = 0.3


class ClaimSuperseded(Exception):
    """Another instance has claimed the group or the duty meanwhile."""


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim of this instance that the store has accepted.

    Attributes:
        group: Name of the group.
        leadership: The record that was written.
        token: Fencing token of the duty.
        claimed_at: Time, in seconds of the evidence's clock, at which the store had accepted it.
    """

    group: str
    leadership: Leadership
    token: int
    claimed_at: float


class Claims:
    """Writes claims, and the records that complete them.

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

    async def claim(self, name: str, candidate: MemberRecord, *, planned: bool) -> Claim:
        """Records a claim, and with it the duty if another instance held it.

        Claims of several groups at once all change the duty, so one that lost only that race is
        made again with the duty that it has now.

        Raises:
            ConditionFailed: The records had changed.
            StoreUnavailable: The store does not answer.
            ClaimSuperseded: This instance has lost its evidence meanwhile.
        """
        known = self._control.leadership(name)
        if not self._control.lease_valid:
            raise ClaimSuperseded("no evidence any more that the primary may be replaced")
        try:
            return await self._claim_once(name, candidate, planned=planned)
        except ConditionFailed:
            if self._control.leadership(name) != known:
                raise
            return await self._claim_once(name, candidate, planned=planned)

    def check(self, claim: Claim) -> None:
        """Checks that a claim and its duty are still this instance's.

        Raises:
            ClaimSuperseded: They are not.
        """
        coordinator_record = self._control.records.coordinator_record()
        held = coordinator_record is not None and coordinator_record.token == claim.token
        newest = self._control.leadership(claim.group) == claim.leadership
        if not (held and newest and self._control.lease_valid):
            raise ClaimSuperseded("the claim or the duty is no longer this instance's")

    async def complete(self, claim: Claim, stable: Leadership) -> None:
        """Writes the stable record; until it is there, the claim is resumed by others."""
        key = group_row(claim.group)
        while self._control.leadership(claim.group) == stable:
            expected = {key: self._control.records.version(key.key)}
            try:
                await self._commit(RowTransaction(expected, {key: encode_record(stable)}))
            except ConditionFailed:
                return  # a later claim has replaced it
            except StoreUnavailable as error:
                log_event(Event.PROMOTION_FAILED, group=claim.group, reason=error.message)
                await asyncio.sleep(RECORD_PAUSE_S)
                continue
            return

    async def _claim_once(self, name: str, candidate: MemberRecord, *, planned: bool) -> Claim:
        records = self._control.records
        known, coordinator_record = self._control.leadership(name), records.coordinator_record()
        group = self._groups().get(name)
        leadership = Leadership(
            epoch=known.epoch + 1 if known else 1,
            phase=LeadershipPhase.CLAIMED,
            primary=known.primary if known else (group.primary_id if group else None),
            claimant=self._control.name,
            candidate=candidate.id,
            planned=planned,
        )
        own_record = (
            coordinator_record
            if coordinator_record is not None and coordinator_record.holder == self._control.name
            else None
        )
        new_record = own_record or CoordinatorRecord(
            self._control.name, (coordinator_record.token if coordinator_record else 0) + 1
        )
        puts = {group_row(name): encode_record(leadership)}
        if own_record is None:
            puts[control_row(COORDINATOR_KEY)] = encode_record(new_record)
        expected = {
            group_row(name): records.version(group_row(name).key),
            control_row(COORDINATOR_KEY): records.version(COORDINATOR_KEY),
        }
        await self._commit(RowTransaction(expected, puts))
        log_event(
            Event.PROMOTION_CLAIMED,
            group=name,
            epoch=leadership.epoch,
            candidate=candidate.id,
            token=new_record.token,
        )
        return Claim(name, leadership, new_record.token, self._control.lease.now)

    async def _commit(self, transaction: RowTransaction) -> None:
        """Applies a transaction; after a lost answer, the rows tell whether it took effect.

        Raises:
            ConditionFailed: Another instance was first.
            StoreUnavailable: The store does not tell.
        """
        for attempt in range(STORE_TRIES):
            try:
                version = await self._store.commit(transaction)
            except ConditionFailed:
                await self._control.feed.poll()
                if self._took_effect(transaction):
                    return
                raise
            except StoreUnavailable:
                if attempt == STORE_TRIES - 1:
                    raise
                with suppress(StoreUnavailable):
                    await self._control.feed.poll()
                    if self._took_effect(transaction):
                        return
                await asyncio.sleep(STORE_PAUSE_S)
                continue
            for key, value in transaction.puts.items():
                self._control.feed.apply(VersionedRow(CONTROL_TABLE, key.key, value, version))
            return

    def _took_effect(self, transaction: RowTransaction) -> bool:
        rows = self._control.feed.rows
        return all(_holds(rows.get(key.key), value) for key, value in transaction.puts.items())


def _holds(row: VersionedRow | None, value: bytes) -> bool:
    return row is not None and row.value == value
