"""Keeps a copy of one of the store's tables up to date."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from contextlib import suppress

from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._background import start_loop
from wigeonpoint.process.gateway._store_clock import StoreClock
from wigeonpoint.process.gateway._store_era import StoreEra
from wigeonpoint.process.gateway._suspension import Clock
from wigeonpoint.services import (
    HistoryLost,
    RowsRead,
    RowStore,
    VersionedRow,
    era_of,
    make_version,
    version_fields,
)

FEED_WAIT_S = 8.0  # every call is charged, and a lost connection is noticed after this
INITIAL_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.4  # entries that were not renewed expire two seconds after the store returns
STABLE_AFTER_S = 2.0
FOLLOW_CHECK_INTERVAL_S = 0.5
COPY_CHECK_INTERVAL_S = 0.02
# The feed waits this long after a change, so that one call fetches changes in quick succession, as
# when many instances start.
CHANGE_BATCH_S = 0.1
POLL_ATTEMPTS = 2  # the second one follows a read of the whole table

OnChange = Callable[[], None]


class TableFeed:
    """A copy of one table, kept up to date by long polls of the store's feed.

    Args:
        store: The store.
        table: Name of the table.
        on_change: Called after every change of the copy.
        follows: Tells whether to follow the store; while it does not, others' copies are adopted.
        awaits_copy: Tells whether to wait for a first copy of another instance before the table is
            read from the store.
        on_read: Called with the clock time at which the store was asked once the copy has all rows
            from before that time.
        wait_s: Longest time in seconds for which a call waits for changes.
        store_era: The era that the feeds of this instance follow together.
        store_clock: Takes note of the store's time in its answers.
        random_source: Source of the jitter between attempts.
        clock: Gives that time, and the age of the copy, in seconds; the event loop's by default.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        on_change: OnChange,
        *,
        follows: Callable[[], bool] = lambda: True,
        awaits_copy: Callable[[], bool] = lambda: False,
        on_read: Callable[[float], None] = lambda asked_at: None,
        wait_s: float = FEED_WAIT_S,
        store_era: StoreEra | None = None,
        store_clock: StoreClock | None = None,
        random_source: random.Random | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or asyncio.get_running_loop().time
        self._read_at = float("-inf")
        self._store = store
        self._table = table
        self._on_change = on_change
        self._follows = follows
        self._awaits_copy = awaits_copy
        self._on_read = on_read
        self._wait_s = wait_s
        self._store_era = store_era or StoreEra()
        self._store_clock = store_clock or StoreClock()
        self._store_era.subscribe(self._restart_call)
        self._waiting_in_era: int | None = None  # while a call waits for changes
        self._random = random_source or random.Random()
        self._rows: dict[str, VersionedRow] = {}
        self._version = 0
        self._changed = 0
        self._changed_at = float("-inf")
        self._changed_event = asyncio.Event()
        self._loaded = False
        self._unapplied = False  # whether an error kept a change of the copy from being applied
        self._unreachable_since: float | None = None
        self._doubted = False  # whether another call of the store has failed
        self._recovered_at = float("-inf")
        self._retry_pause_s = INITIAL_RETRY_PAUSE_S
        self._reread_pause_s = 0.0
        self._era_read_at = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def rows(self) -> Mapping[str, VersionedRow]:
        """Rows by key, without deleted ones."""
        return self._rows

    @property
    def version(self) -> int:
        """Store version up to which the copy is complete."""
        return self._version

    @property
    def changed(self) -> int:
        """Store version of the table's last known change."""
        return self._changed

    @property
    def changed_at(self) -> float:
        """Event-loop time in seconds at which the last change became known here."""
        return self._changed_at

    @property
    def read_at(self) -> float:
        """Time in seconds, by the given clock, at which the store had no change missing here."""
        return self._read_at

    @property
    def era(self) -> int:
        """Number of restores of the store that the copy follows."""
        return era_of(self._version)

    @property
    def era_read_at(self) -> int:
        """Version of this era's first copy; later rows were written after the restore."""
        return self._era_read_at

    @property
    def loaded(self) -> bool:
        """Whether the whole table has been read once."""
        return self._loaded

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._unreachable_since is None

    @property
    def unreachable_s(self) -> float:
        """Seconds for which the store has not answered, 0 while it answers."""
        if self._unreachable_since is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._unreachable_since

    @property
    def stable(self) -> bool:
        """Whether the store has answered for a while without a failure or a restore."""
        now = asyncio.get_running_loop().time()
        return self.reachable and now - self._recovered_at > STABLE_AFTER_S

    def start(self) -> None:
        """Starts following the table."""
        self._task = start_loop(self._follow)

    def close(self) -> None:
        """Stops following the table."""
        if self._task is not None:
            self._task.cancel()

    def check_store(self) -> None:
        """Finds out at once whether the store answers, as another call of it has failed.

        A call that waits for changes would tell only at its end.
        """
        if not self.reachable or self._doubted:
            return
        self._doubted = True
        if self._waiting_in_era is not None:
            self._restart()

    def lacks(self, changed: int) -> bool:
        """Whether the copy lacks a change that another instance knows, or all of its era.

        Args:
            changed: Store version of the change.
        """
        # A single row of a later era may have been announced before the table was read in it.
        return changed > self._changed or era_of(changed) > self.era

    def adopt(self, read: RowsRead, changed: int, *, stable: bool = True) -> bool:
        """Adopts the copy of another instance if that one knows a later change.

        Args:
            read: The copy.
            changed: Store version of the last change that it knows.
            stable: Whether the store has answered the other instance without a recent failure.

        Returns:
            Whether it was adopted.
        """
        if self._loaded and not self.lacks(changed):
            return False
        if not stable:
            self._recovered_at = asyncio.get_running_loop().time()
        self._note_change(changed)
        if self._loaded and read.version < self._version:
            # The other instance has applied single rows that its own feed has not reported yet.
            applied = [row for row in read.rows if self._apply_row(row)]
            if applied:
                self._notify_change()
        else:
            self._replace(read)
        return True

    def apply(self, row: VersionedRow) -> None:
        """Applies a row that this instance or a peer has written, before the feed reports it."""
        if self._apply_row(row):
            self._notify_change()

    async def wait_for_change(self, known: int, *, timeout: float) -> int:
        """Waits until this copy knows a later change than a known one.

        Args:
            known: Store version of the known change.
            timeout: Seconds to wait.

        Returns:
            Store version of the last change that this copy knows.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while self._changed <= known:
                    await self._changed_event.wait()
        return self._changed

    async def poll(self) -> None:
        """Asks the store for changes without waiting for new ones.

        A failure has the feed find out whether the store still answers.

        Raises:
            StoreUnavailable: There was no usable answer, or none that completes the copy.
        """
        try:
            for _ in range(POLL_ATTEMPTS):
                asked_at = self._clock()
                try:
                    self._apply_changes(await self._fetch_changes(wait_s=0.0))
                except HistoryLost:
                    await self._read_table()
                else:
                    self._on_read(asked_at)
                    return
        except StoreUnavailable:
            self.check_store()
            raise
        raise StoreUnavailable(f"the store has no changes after its own copy of {self._table}")

    async def _follow(self) -> None:
        while True:
            settled = self._loaded and self.reachable and not self._doubted
            if settled and not self._follows():
                await asyncio.sleep(FOLLOW_CHECK_INTERVAL_S)
                continue
            if self._unapplied:
                self._notify_change()
            if not self._loaded and self._awaits_copy():
                await asyncio.sleep(COPY_CHECK_INTERVAL_S)
                continue
            try:
                if self._loaded:
                    await self._follow_changes()
                else:
                    await self._read_table()
            except StoreUnavailable as error:
                await self._handle_failure(error)
            else:
                self._handle_answer()

    async def _follow_changes(self) -> None:
        """Waits for changes; reads the whole table if the store does not have them."""
        self._waiting_in_era = self.era
        try:
            # After a failure, an answer at once tells that the store is back.
            wait_s = self._wait_s if self.reachable and not self._doubted else 0.0
            changes = await self._fetch_changes(wait_s=wait_s)
        except HistoryLost:
            log_event(Event.HISTORY_LOST, table=self._table, **version_fields(self._version))
            changes = None
        finally:
            if asyncio.current_task() is self._task:  # a call that replaces this one waits already
                self._waiting_in_era = None
        if changes is None:
            await self._reread_table()
            return
        self._reread_pause_s = 0.0
        self._apply_changes(changes)
        if changes.rows:
            await asyncio.sleep(CHANGE_BATCH_S)

    def _restart_call(self, era: int) -> None:
        """Ends a call that waits for changes of an earlier era, and begins again."""
        if self._waiting_in_era not in (None, era):
            self._restart()

    def _restart(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self.start()

    async def _fetch_changes(self, *, wait_s: float) -> RowsRead:
        asked_at = self._clock()
        changes = await self._store.changes(self._table, after=self._version, wait_s=wait_s)
        # An answer may have waited here while this process did not run.
        self._read_at = max(self._read_at, min(self._clock(), asked_at + wait_s))
        if not wait_s:
            self._note_store_time(changes, asked_at)
        return changes

    def _note_store_time(self, read: RowsRead, asked_at: float) -> None:
        if read.store_s is not None:
            self._store_clock.note(
                read.store_s,
                asked_at=asked_at,
                answered_at=self._clock(),
                era=era_of(read.version),
            )

    async def _read_table(self) -> None:
        asked_at = self._clock()
        read = await self._store.read(self._table)
        self._note_store_time(read, asked_at)
        self._replace(read)
        self._read_at = max(self._read_at, asked_at)
        self._on_read(asked_at)

    async def _reread_table(self) -> None:
        """Reads the whole table, after a growing pause if the last read brought no changes back."""
        await asyncio.sleep(self._reread_pause_s * self._random.uniform(0.7, 1.3))
        pause_s = max(2 * self._reread_pause_s, INITIAL_RETRY_PAUSE_S)
        self._reread_pause_s = min(pause_s, MAX_RETRY_PAUSE_S)
        await self._read_table()

    def _replace(self, read: RowsRead) -> None:
        """Replaces the copy by a whole table; keeps rows that are newer than it."""
        if self._loaded and read.version < self._version:
            return
        new_era = not self._loaded or era_of(read.version) > self.era
        if new_era:
            self._begin_era(read.version)
        newer = {key: row for key, row in self._rows.items() if row.version > read.version}
        self._rows = {row.key: row for row in read.rows if not row.deleted} | newer
        self._version = read.version
        self._note_change(max((row.version for row in read.rows), default=0))
        self._loaded = True
        if new_era:
            self._store_era.note(self.era)
        self._notify_change()

    def _begin_era(self, version: int) -> None:
        """Notes the first copy since the start or since the store was restored."""
        self._era_read_at = version
        # Peers whose copy is of an earlier era are behind, even if the table is empty now.
        self._note_change(make_version(era_of(version), 0))
        if self._loaded:
            self._recovered_at = asyncio.get_running_loop().time()

    def _apply_changes(self, changes: RowsRead) -> None:
        applied = [row for row in changes.rows if self._apply_row(row)]
        self._version = max(self._version, changes.version)
        if applied or self._unapplied:
            self._notify_change()

    def _apply_row(self, row: VersionedRow) -> bool:
        known = self._rows.get(row.key)
        # The copy is complete up to its version, so an unknown row from before it was deleted.
        if row.version <= (self._version if known is None else known.version):
            return False
        self._note_change(row.version)
        if row.deleted:
            self._rows.pop(row.key, None)
        else:
            self._rows[row.key] = row
        return True

    def _note_change(self, version: int) -> None:
        """Records the version of a change, and wakes what waits for one."""
        if version <= self._changed:
            return
        self._changed = version
        self._changed_at = asyncio.get_running_loop().time()
        self._changed_event.set()
        self._changed_event = asyncio.Event()

    def _notify_change(self) -> None:
        self._unapplied = True
        self._on_change()
        self._unapplied = False

    async def _handle_failure(self, error: StoreUnavailable) -> None:
        if self.reachable:
            log_event(Event.STORE_UNREACHABLE, table=self._table, reason=str(error))
            self._unreachable_since = asyncio.get_running_loop().time()
        self._doubted = False
        await asyncio.sleep(self._retry_pause_s * self._random.uniform(0.7, 1.3))
        self._retry_pause_s = min(self._retry_pause_s * 2, MAX_RETRY_PAUSE_S)

    def _handle_answer(self) -> None:
        if not self.reachable:
            log_event(Event.STORE_REACHABLE, table=self._table, **version_fields(self._version))
            self._recovered_at = asyncio.get_running_loop().time()
            self._notify_change()
        self._unreachable_since = None
        self._doubted = False
        self._retry_pause_s = INITIAL_RETRY_PAUSE_S
