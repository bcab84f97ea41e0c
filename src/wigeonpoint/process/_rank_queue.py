"""Queue that grants the execution slots of one backend server by rank and caller."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._concurrency import MOVING_AVERAGE_WEIGHT, ConcurrencyLimit
from wigeonpoint.process._schedule import QueueEntry, Schedule, cancelled_error
from wigeonpoint.request import Rank

# Under overload all requests wait nearly until their deadline. Allowing just the mean service time
# for the execution would have about half of them answered too late.
SERVICE_TIME_MARGIN = 1.5
MIN_RETRY_MS = 10
MAX_RETRY_MS = 5000
MAX_EARLY_CANCELLATIONS = 1024
OVERLOAD_LOG_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class QueueBounds:
    """Maximum number of waiting entries: in total, per rank, and per caller within a rank."""

    total: int = 2000
    rank: int = 1000
    caller: int = 500


@dataclass(frozen=True, slots=True)
class CancelResult:
    """Whether the request was found, and whether it may have reached the backend server."""

    known: bool
    sent: bool


class RankQueue:
    """Grants the slots of one backend server to waiting requests.

    Args:
        name: Name of the backend server, for error messages.
        limit: Number of requests that may run at once.
        schedule: Decides which waiting request is next.
        bounds: Maximum numbers of waiting entries.
        reserved: Slots that only urgent requests may use.
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
        self._mean_service_s = 0.0
        self._mean_confirmation_s = 0.0
        self._entries_by_id: dict[str, QueueEntry] = {}
        self._early_cancellations: OrderedDict[str, None] = OrderedDict()
        self._overload_logged_at = float("-inf")
        self.dispatched = dict.fromkeys(Rank, 0)
        self.refused = dict.fromkeys(Rank, 0)

    @property
    def waiting(self) -> int:
        """Number of entries waiting for a slot."""
        return len(self._schedule)

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self._running

    @property
    def limit(self) -> int:
        """Number of requests that may run at once."""
        return self._limit.limit

    @property
    def mean_service_s(self) -> float:
        """Moving average of the time that a slot is held, in seconds."""
        return self._mean_service_s

    @asynccontextmanager
    async def admit(
        self,
        *,
        rank: Rank,
        caller: str,
        deadline: float,
        message_id: str = "",
        in_transaction: bool = False,
    ) -> AsyncIterator[QueueEntry]:
        """Waits for a slot and holds it while the context is open.

        Args:
            rank: Rank of the request.
            caller: Name of the caller.
            deadline: Event-loop time, in seconds, after which the answer is useless.
            message_id: Id by which `cancel` finds the request.
            in_transaction: Whether the request belongs to an open transaction.

        Raises:
            NotRun: DEADLINE_UNREACHABLE, QUEUE_FULL or CANCELLED; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        entry = QueueEntry(rank, caller, deadline, loop.create_future(), in_transaction, message_id)
        self._check_admission(entry)
        if message_id:
            self._entries_by_id[message_id] = entry
        try:
            await self._wait_for_slot(entry)
            started = loop.time()
            try:
                yield entry
            finally:
                self._finish(entry, started)
        finally:
            self._entries_by_id.pop(message_id, None)

    def cancel(self, message_id: str) -> CancelResult:
        """Cancels a request unless it may have been sent already.

        The id of an unknown request is stored, so that a request that arrives after its
        cancellation is refused. The result then says "possibly sent", because the request may
        also have finished earlier: finished requests are not stored.
        """
        entry = self._entries_by_id.get(message_id)
        if entry is None:
            if message_id:
                self._early_cancellations[message_id] = None
            while len(self._early_cancellations) > MAX_EARLY_CANCELLATIONS:
                self._early_cancellations.popitem(last=False)
            return CancelResult(known=False, sent=True)
        entry.cancelled = entry.cancelled or not entry.sent
        if self._schedule.remove(entry):
            self._refuse(entry, cancelled_error())
        return CancelResult(known=True, sent=entry.sent)

    def record_confirmation(self, seconds: float) -> None:
        """Records how long an answer waited for its confirmation after its slot was released."""
        self._mean_confirmation_s += MOVING_AVERAGE_WEIGHT * (seconds - self._mean_confirmation_s)

    def expected_wait_s(self, rank: Rank, caller: str) -> float:
        """Estimates the seconds until a new entry would get a slot, at the current service rate."""
        if self._running < self._slots_for(rank) and not self._schedule:
            return 0.0
        # On average a slot becomes free every `mean service time / limit` seconds.
        return (self._schedule.wait_work(rank, caller) + 1) * self._mean_service_s / self.limit

    @property
    def _time_to_answer_s(self) -> float:
        """Estimated seconds from the grant of a slot until the answer is confirmed."""
        return SERVICE_TIME_MARGIN * self._mean_service_s + self._mean_confirmation_s

    def _check_admission(self, entry: QueueEntry) -> None:
        if entry.message_id in self._early_cancellations:
            del self._early_cancellations[entry.message_id]
            raise cancelled_error()
        now = asyncio.get_running_loop().time()
        if entry.deadline <= now:
            raise self._deadline_error(entry)
        if entry.in_transaction:
            return  # an open transaction holds a connection; refusing it costs more than running it
        # While nothing runs, the estimate gets no new samples, so a high one would refuse forever.
        estimate_s = self.expected_wait_s(entry.rank, entry.caller) + self._time_to_answer_s
        if self._running > 0 and now + estimate_s > entry.deadline:
            raise self._deadline_error(entry)
        if self._schedule.waiting(entry.rank, entry.caller) >= self._bounds.caller:
            raise self._queue_full_error(entry)

    async def _wait_for_slot(self, entry: QueueEntry) -> None:
        loop = asyncio.get_running_loop()
        self._schedule.push(entry)
        self._shed_load(entry)
        self._dispatch()
        if not entry.granted.done():
            expiry = loop.call_at(
                # Early enough that the refusal still arrives before the deadline; after it, the
                # sender would have to treat the outcome as unknown.
                max(entry.deadline - self._time_to_answer_s, loop.time()),
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
                self._release()  # the slot was granted in the same event-loop iteration
            raise
        finally:
            if expiry is not None:
                expiry.cancel()

    def _shed_load(self, entry: QueueEntry) -> None:
        """Refuses the newest entry of the caller with the most entries when a bound is exceeded."""
        victim = None
        if self._schedule.waiting(entry.rank) > self._bounds.rank:
            victim = self._schedule.heaviest(entry.rank)
        elif len(self._schedule) > self._bounds.total:
            victim = self._schedule.heaviest()
        if victim is not None:
            self._schedule.remove(victim)
            self._refuse(victim, self._queue_full_error(victim))

    def _dispatch(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._schedule and self._running < self.limit:
            only = None if self._running < self.limit - self._reserved else Rank.URGENT
            entry = self._schedule.pop(only=only)
            if entry is None:
                return
            if entry.granted.done():
                continue
            # An entry that cannot finish before its deadline would waste the slot.
            if entry.deadline <= now or (
                self._running > 0
                and not entry.in_transaction
                and entry.deadline < now + self._time_to_answer_s
            ):
                self._refuse(entry, self._deadline_error(entry))
                continue
            self._running += 1
            self.dispatched[entry.rank] += 1
            entry.granted.set_result(None)

    def _finish(self, entry: QueueEntry, started: float) -> None:
        now = asyncio.get_running_loop().time()
        if entry.sent_at is not None:  # unsent requests have no service time
            weight = MOVING_AVERAGE_WEIGHT if self._mean_service_s else 1.0
            self._mean_service_s += weight * (now - started - self._mean_service_s)
            self._limit.record(now - entry.sent_at)  # excludes the wait for a connection
        self._release()

    def _release(self) -> None:
        self._running -= 1
        self._dispatch()

    def _slots_for(self, rank: Rank) -> int:
        return self.limit - (0 if rank is Rank.URGENT else self._reserved)

    def _expire(self, entry: QueueEntry) -> None:
        if self._schedule.remove(entry):
            self._refuse(entry, self._deadline_error(entry))

    @staticmethod
    def _refuse(entry: QueueEntry, error: NotRun) -> None:
        if not entry.granted.done():
            entry.granted.set_exception(error)

    def _retry_after_ms(self, entry: QueueEntry) -> int:
        wait_s = self.expected_wait_s(entry.rank, entry.caller)
        return int(min(max(wait_s * 1000, MIN_RETRY_MS), MAX_RETRY_MS))

    def _deadline_error(self, entry: QueueEntry) -> NotRun:
        self.refused[entry.rank] += 1
        return NotRun(
            ResultCode.DEADLINE_UNREACHABLE,
            f"{self._name} cannot run the request before its deadline",
            retry_after_ms=self._retry_after_ms(entry),
        )

    def _queue_full_error(self, entry: QueueEntry) -> NotRun:
        self.refused[entry.rank] += 1
        now = asyncio.get_running_loop().time()
        if now - self._overload_logged_at >= OVERLOAD_LOG_INTERVAL_S:
            self._overload_logged_at = now
            log_event(Event.QUEUE_FULL, server=self._name, rank=entry.rank, caller=entry.caller)
        return NotRun(
            ResultCode.QUEUE_FULL,
            f"the queue of {self._name} is full",
            retry_after_ms=self._retry_after_ms(entry),
        )
