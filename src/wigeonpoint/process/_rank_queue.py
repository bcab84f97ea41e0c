"""Admission of work to the slots of one backend server."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._concurrency import MEAN_WEIGHT, ConcurrencyLimit
from wigeonpoint.process._schedule import QueueEntry, Schedule, cancelled_error
from wigeonpoint.request import Rank

# Under overload all work waits nearly until its deadline, so with the mean alone about half of it
# would be answered too late.
SERVICE_MARGIN = 1.5
MIN_RETRY_MS = 10
MAX_RETRY_MS = 5000
REMEMBERED_CANCELS = 1024
OVERLOAD_LOG_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class QueueBounds:
    """Most entries that may wait in all, of one rank, and of one caller in a rank."""

    total: int = 2000
    rank: int = 1000
    caller: int = 500


@dataclass(frozen=True, slots=True)
class CancelResult:
    """Whether the work was known, and whether it may have been sent to the backend server."""

    known: bool
    sent: bool


class RankQueue:
    """Grants the slots of one backend server to waiting work.

    Args:
        name: Name of the backend server, for messages.
        limit: Statements that may run at once.
        schedule: Order of the waiting work.
        bounds: Most entries that may wait.
        reserved: Slots that only urgent work may use.
    """

    def __init__(
        self,
        name: str,
        *,
        limit: ConcurrencyLimit,
        schedule: Schedule,
        bounds: QueueBounds | None = None,
        reserved: int = 0,
    ) -> None:
        self._name = name
        self._limit = limit
        self._schedule = schedule
        self._bounds = bounds or QueueBounds()
        self._reserved = reserved
        self._running = 0
        self._mean_s = 0.0
        self._tail_s = 0.0
        self._known: dict[str, QueueEntry] = {}
        self._cancelled: OrderedDict[str, None] = OrderedDict()
        self._overload_logged_at = float("-inf")
        self.dispatched = dict.fromkeys(Rank, 0)
        self.refused = dict.fromkeys(Rank, 0)

    @property
    def waiting(self) -> int:
        """Number of entries that wait for a slot."""
        return len(self._schedule)

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self._running

    @property
    def limit(self) -> int:
        """Statements that may run at once."""
        return self._limit.limit

    @property
    def mean_service_s(self) -> float:
        """Moving average of the seconds that a slot is held."""
        return self._mean_s

    @asynccontextmanager
    async def admit(
        self,
        *,
        rank: Rank,
        caller: str,
        deadline: float,
        message_id: str = "",
        continues: bool = False,
    ) -> AsyncIterator[QueueEntry]:
        """Waits for a slot and holds it.

        Args:
            rank: Urgency.
            caller: Name of the caller.
            deadline: Event-loop time, in seconds, until which the work is of use.
            message_id: Id by which `cancel` finds the work.
            continues: Whether it is a statement of an open transaction.

        Raises:
            NotRun: DEADLINE_UNREACHABLE, QUEUE_FULL or CANCELLED; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        entry = QueueEntry(rank, caller, deadline, loop.create_future(), continues, message_id)
        self._check_new(entry)
        if message_id:
            self._known[message_id] = entry
        try:
            await self._wait(entry)
            started = loop.time()
            try:
                yield entry
            finally:
                self._finish(entry, started)
        finally:
            self._known.pop(message_id, None)

    def cancel(self, message_id: str) -> CancelResult:
        """Keeps work from being sent, or tells that it may have been sent.

        A cancellation that overtakes its work is remembered, so that the work is refused on
        arrival; it is answered as possibly sent, because finished work is not remembered.
        """
        entry = self._known.get(message_id)
        if entry is None:
            if message_id:
                self._cancelled[message_id] = None
            while len(self._cancelled) > REMEMBERED_CANCELS:
                self._cancelled.popitem(last=False)
            return CancelResult(known=False, sent=True)
        entry.cancelled = entry.cancelled or not entry.sent
        if self._schedule.remove(entry):
            self._refuse(entry, cancelled_error())
        return CancelResult(known=True, sent=entry.sent)

    def record_tail(self, seconds: float) -> None:
        """Takes note of the time between the end of a slot and the answer, for its confirmation."""
        self._tail_s += MEAN_WEIGHT * (seconds - self._tail_s)

    def expected_wait_s(self, rank: Rank, caller: str) -> float:
        """Seconds until a new entry would get a slot, at the current service rate."""
        if self._running < self._slots_for(rank) and not self._schedule:
            return 0.0
        # On average a slot becomes free after a `1 / limit` part of the service time.
        return (self._schedule.wait_work(rank, caller) + 1) * self._mean_s / self.limit

    @property
    def _needed_s(self) -> float:
        """Seconds from the grant of a slot until the answer has arrived."""
        return SERVICE_MARGIN * self._mean_s + self._tail_s

    def _check_new(self, entry: QueueEntry) -> None:
        if entry.message_id in self._cancelled:
            del self._cancelled[entry.message_id]
            raise cancelled_error()
        now = asyncio.get_running_loop().time()
        if entry.deadline <= now:
            raise self._unreachable(entry)
        if entry.continues:
            return  # it holds a connection, so refusing it costs more than running it
        # Without running work the estimate has no new samples, so it must not refuse for ever.
        needed = self.expected_wait_s(entry.rank, entry.caller) + self._needed_s
        if self._running > 0 and now + needed > entry.deadline:
            raise self._unreachable(entry)
        if self._schedule.waiting(entry.rank, entry.caller) >= self._bounds.caller:
            raise self._full(entry)

    async def _wait(self, entry: QueueEntry) -> None:
        loop = asyncio.get_running_loop()
        self._schedule.push(entry)
        self._shed(entry)
        self._dispatch()
        if not entry.granted.done():
            expiry = loop.call_at(
                # Refused while the refusal can still arrive in time; later the entry would have to
                # take the outcome for unknown.
                max(entry.deadline - self._needed_s, loop.time()),
                self._expire,
                entry,
            )
        else:
            expiry = None
        try:
            await entry.granted
        except asyncio.CancelledError:
            self._schedule.remove(entry)
            if not entry.granted.cancelled() and entry.granted.exception() is None:
                self._release()  # the slot was granted in the same step
            raise
        finally:
            if expiry is not None:
                expiry.cancel()

    def _shed(self, entry: QueueEntry) -> None:
        """Refuses the newest work of the heaviest caller when a bound is exceeded."""
        victim = None
        if self._schedule.waiting(entry.rank) > self._bounds.rank:
            victim = self._schedule.heaviest(entry.rank)
        elif len(self._schedule) > self._bounds.total:
            victim = self._schedule.heaviest()
        if victim is not None:
            self._schedule.remove(victim)
            self._refuse(victim, self._full(victim))

    def _dispatch(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._schedule and self._running < self.limit:
            only = None if self._running < self.limit - self._reserved else Rank.URGENT
            entry = self._schedule.pop(only=only)
            if entry is None:
                return
            if entry.granted.done():
                continue
            # Work that cannot finish in time would waste the slot.
            if entry.deadline <= now or (
                self._running > 0 and not entry.continues and entry.deadline < now + self._needed_s
            ):
                self._refuse(entry, self._unreachable(entry))
                continue
            self._running += 1
            self.dispatched[entry.rank] += 1
            entry.granted.set_result(None)

    def _finish(self, entry: QueueEntry, started: float) -> None:
        now = asyncio.get_running_loop().time()
        if entry.sent_at is not None:  # refused work says nothing about the service time
            weight = MEAN_WEIGHT if self._mean_s else 1.0
            self._mean_s += weight * (now - started - self._mean_s)
            self._limit.record(now - entry.sent_at)  # without the time to get a connection
        self._release()

    def _release(self) -> None:
        self._running -= 1
        self._dispatch()

    def _slots_for(self, rank: Rank) -> int:
        return self.limit - (0 if rank is Rank.URGENT else self._reserved)

    def _expire(self, entry: QueueEntry) -> None:
        if self._schedule.remove(entry):
            self._refuse(entry, self._unreachable(entry))

    @staticmethod
    def _refuse(entry: QueueEntry, error: NotRun) -> None:
        if not entry.granted.done():
            entry.granted.set_exception(error)

    def _retry_ms(self, entry: QueueEntry) -> int:
        wait_s = self.expected_wait_s(entry.rank, entry.caller)
        return int(min(max(wait_s * 1000, MIN_RETRY_MS), MAX_RETRY_MS))

    def _unreachable(self, entry: QueueEntry) -> NotRun:
        self.refused[entry.rank] += 1
        return NotRun(
            ResultCode.DEADLINE_UNREACHABLE,
            f"{self._name} cannot run the work before its deadline",
            retry_after_ms=self._retry_ms(entry),
        )

    def _full(self, entry: QueueEntry) -> NotRun:
        self.refused[entry.rank] += 1
        now = asyncio.get_running_loop().time()
        if now - self._overload_logged_at >= OVERLOAD_LOG_INTERVAL_S:
            self._overload_logged_at = now
            log_event(Event.QUEUE_FULL, server=self._name, rank=entry.rank, caller=entry.caller)
        return NotRun(
            ResultCode.QUEUE_FULL,
            f"the queue of {self._name} is full",
            retry_after_ms=self._retry_ms(entry),
        )
