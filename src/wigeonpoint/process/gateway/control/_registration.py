"""The row by which an instance is registered in the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.process.gateway.control._records import (
    CONTROL_TABLE,
    ControlRecords,
    encode_record,
    instance_row,
)
from wigeonpoint.services import RowStore, RowTransaction, VersionedRow
from wigeonpoint.version.catalogue import RegisteredInstance

LOADING_CHECK_INTERVAL_S = 0.01
REGISTRATION_INTERVAL_S = 0.3
# Nothing waits for a registered instance to write its row again, and each store call costs money.
RENEWAL_RETRY_DELAY_S = 1.0


class Registration:
    """Keeps this instance registered until it leaves, and deregisters lost ones.

    Args:
        name: Name of this instance.
        row: The row that it writes for itself.
        store: The store.
        feed: Feed of the control table.
    """

    def __init__(
        self, name: str, row: RegisteredInstance, store: RowStore, feed: TableFeed
    ) -> None:
        self._name = name
        self._row = row
        self._value = encode_record(row)
        self._store = store
        self._feed = feed
        self._leaving = False
        self._written_version = 0
        self._attempted = False
        self._records = ControlRecords(lambda: feed.rows)

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self._name

    @property
    def row(self) -> RegisteredInstance:
        """The row that this instance writes for itself."""
        return self._row

    @property
    def leaving(self) -> bool:
        """Whether the instance has begun to deregister."""
        return self._leaving

    @property
    def attempted(self) -> bool:
        """Whether this process has tried to write the row.

        The control table is read after that, so that one read tells of everything from before the
        registration.
        """
        return self._attempted

    @property
    def written(self) -> bool:
        """Whether this process has written the row, and has read all changes from before that."""
        return 0 < self._written_version <= self._feed.version

    async def run(self) -> None:
        """Writes the row, and again whenever it is lost, until it is cancelled."""
        while True:
            listed = self._is_listed()
            may_write = self._feed.loaded or not self._attempted
            if may_write and not self._leaving and not (listed and self.written):
                await self._write(listed)
            await asyncio.sleep(
                REGISTRATION_INTERVAL_S if self._is_listed() else LOADING_CHECK_INTERVAL_S
            )

    async def end(self, *, timeout: float) -> None:
        """Deregisters this instance.

        The row is first marked as deregistered, and deleted only once the store has confirmed that.
        A process that is started as a replacement and does not reach the store then either finds
        the mark in a copy, or takes the copy from an instance for which claims wait. Each step is
        conditional on the version of the row, so that a late one changes no newer registration.

        Args:
            timeout: Seconds to wait for the store.
        """
        self._leaving = True
        key = instance_row(self._name)
        version = self._records.version(key.key)
        if not version:
            return
        try:
            async with asyncio.timeout(timeout):
                mark = encode_record(replace(self._row, deregistered=True))
                marked = await self._store.commit(RowTransaction({key: version}, {key: mark}))
                await self._store.commit(RowTransaction({key: marked}, deletes=[key]))
        except (StoreUnavailable, ConditionFailed, TimeoutError) as error:
            log_event(
                Event.REGISTRATION_FAILED, reason=str(error) or "the store did not answer in time"
            )

    async def end_other(self, name: str, instance: RegisteredInstance) -> None:
        """Deregisters an instance that has been lost; its row says that it may still run.

        Args:
            name: Name of the instance.
            instance: Its registration.
        """
        key = instance_row(name)
        version = self._records.version(key.key)
        value = encode_record(replace(instance, deregistered=True))
        try:
            await self._store.commit(RowTransaction({key: version}, {key: value}))
        except (StoreUnavailable, ConditionFailed) as error:
            log_event(Event.REGISTRATION_FAILED, instance_withdrawn=name, reason=str(error))
            return
        log_event(Event.INSTANCE_DEREGISTERED, withdrawn=name)

    async def remove_other(self, name: str) -> None:
        """Removes the row of an instance that was deregistered long ago."""
        key = instance_row(name)
        version = self._records.version(key.key)
        try:
            await self._store.commit(RowTransaction({key: version}, deletes=[key]))
        except (StoreUnavailable, ConditionFailed) as error:
            log_event(Event.REGISTRATION_FAILED, instance_removed=name, reason=str(error))

    def _is_listed(self) -> bool:
        row = self._feed.rows.get(instance_row(self._name).key)
        return row is not None and row.value == self._value

    async def _write(self, listed: bool) -> None:
        """Writes the row, and reads what changed before it was written.

        A process that finds the row of its predecessor writes it again: if the predecessor's
        deletion is carried out late, it then fails its condition.
        """
        key = instance_row(self._name)
        try:
            if not (listed and self._written_version):
                version = await self._store.commit(RowTransaction(puts={key: self._value}))
                self._written_version = version
                self._feed.apply(VersionedRow(CONTROL_TABLE, key.key, self._value, version))
            if self._feed.loaded and not self.written:
                await self._feed.poll()
        except (StoreUnavailable, ConditionFailed) as error:
            log_event(Event.REGISTRATION_FAILED, reason=str(error))
            self._attempted = True
            await asyncio.sleep(RENEWAL_RETRY_DELAY_S if listed else REGISTRATION_INTERVAL_S)
        else:
            self._attempted = True
