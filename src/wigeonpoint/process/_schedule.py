"""Scheduling policies: the order in which queued requests of a backend server are dispatched."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process._caller_queue import CallerQueue
from wigeonpoint.request import Rank
from wigeonpoint.version import DEFAULT_SHARES

RANKS = (Rank.URGENT, Rank.STANDARD, Rank.BULK)


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A request waiting for a slot.

    Attributes:
        rank: Rank of the request.
        caller: Name of the caller.
        deadline: Event-loop time, in seconds, after which the answer is useless.
        granted: Future that completes when a slot is granted, or fails with the refusal.
        in_transaction: Whether the request belongs to an open transaction.
        message_id: Id by which the request can be cancelled; empty if it cannot.
        cancelled: Whether the request must not be sent any more.
        sent_at: Event-loop time, in seconds, at which the request was sent, or None.
        session: Number of the caller's session, None if it is unknown.
        customer: Name of the caller's customer, empty if it has none.
        queued_at: Event-loop time, in seconds, at which it began to wait.
    """

    rank: Rank
    caller: str
    deadline: float
    granted: asyncio.Future[None]
    in_transaction: bool = False
    message_id: str = ""
    cancelled: bool = False
    sent_at: float | None = None
    session: int | None = None
    customer: str = ""
    queued_at: float = 0.0

    @property
    def sent(self) -> bool:
        """Whether the request may have reached the backend server."""
        return self.sent_at is not None

    def mark_sent(self) -> None:
        """Marks the request as sent; from now on it cannot be cancelled.

        Raises:
            NotRun: CANCELLED when the request was cancelled before.
        """
        if self.cancelled:
            raise cancelled_error()
        self.sent_at = asyncio.get_running_loop().time()


def cancelled_error() -> NotRun:
    """Returns the error for a cancelled request."""
    return NotRun(ResultCode.CANCELLED, "the request was cancelled before it was sent")


class Schedule(Protocol):
    """Holds the waiting entries and decides which one is dispatched next."""

    def __len__(self) -> int:
        """Number of waiting entries."""
        ...

    def push(self, entry: QueueEntry) -> None:
        """Adds an entry."""
        ...

    def pop(self, *, only: Rank | None = None) -> QueueEntry | None:
        """Removes and returns the entry to dispatch next, of the rank `only` if it is given."""
        ...

    def remove(self, entry: QueueEntry) -> bool:
        """Removes an entry; False if it is not waiting."""
        ...

    def heaviest(self, rank: Rank | None = None) -> QueueEntry | None:
        """Returns the entry to refuse when the queue, or one rank of it, is full."""
        ...

    def waiting(self, rank: Rank, caller: str | None = None) -> int:
        """Number of waiting entries of a rank, or of one caller within it."""
        ...

    def wait_work(self, rank: Rank, caller: str, session: int | None = None) -> float:
        """Expected number of dispatches ahead of a new entry of a caller's session."""
        ...


class CallerLane:
    """The entries of one rank, dispatched by turns of the callers; open transactions go first."""

    def __init__(self) -> None:
        self._transaction_entries: deque[QueueEntry] = deque()
        self._callers: dict[str, CallerQueue[QueueEntry]] = {}  # in round-robin order
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, entry: QueueEntry) -> None:
        """Adds an entry after the others of its caller."""
        if entry.in_transaction:
            self._transaction_entries.append(entry)
        else:
            self._callers.setdefault(entry.caller, CallerQueue()).push(entry)
        self._size += 1

    def pop(self) -> QueueEntry:
        """Removes and returns the next entry; the lane must not be empty."""
        self._size -= 1
        if self._transaction_entries:
            return self._transaction_entries.popleft()
        entry = next(iter(self._callers.values())).first
        self._dispatch(entry)
        return entry

    def first(self, admits: Callable[[QueueEntry], bool]) -> QueueEntry | None:
        """The first entry that a function admits; of each caller, only the next is considered."""
        heads = [
            *self._transaction_entries,
            *(entries.first for entries in self._callers.values()),
        ]
        return next((entry for entry in heads if admits(entry)), None)

    def dispatch(self, entry: QueueEntry) -> None:
        """Removes an entry that `first` has returned."""
        self._size -= 1
        if entry.in_transaction:
            self._transaction_entries.remove(entry)
        else:
            self._dispatch(entry)

    def _dispatch(self, entry: QueueEntry) -> None:
        """Removes the next entry of a caller, whose turn comes last after that."""
        entries = self._callers.pop(entry.caller)
        entries.pop_first()
        if entries:
            self._callers[entry.caller] = entries

    def remove(self, entry: QueueEntry) -> bool:
        """Removes an entry; False if it is not waiting."""
        if entry.in_transaction:
            if entry not in self._transaction_entries:
                return False
            self._transaction_entries.remove(entry)
        else:
            entries = self._callers.get(entry.caller)
            if entries is None or not entries.remove(entry):
                return False
            if not entries:
                del self._callers[entry.caller]
        self._size -= 1
        return True

    def heaviest(self) -> QueueEntry | None:
        """Newest entry of the caller with the most entries; those of open transactions last."""
        if self._callers:
            return max(self._callers.values(), key=len).heaviest
        return self._transaction_entries[-1] if self._transaction_entries else None

    def waiting(self, caller: str) -> int:
        """Number of entries of a caller, open transactions not counted."""
        return len(self._callers.get(caller, ()))

    def ahead(self, caller: str, session: int | None) -> int:
        """Number of entries that would be dispatched before a new entry of a caller's session."""
        own = self._callers.get(caller)
        turn = (own.ahead(session) if own is not None else 0) + 1
        others = sum(
            min(len(entries), turn) for name, entries in self._callers.items() if name != caller
        )
        return len(self._transaction_entries) + others + turn - 1


@dataclass(slots=True)
class RankedSchedule:
    """Urgent first, with a guaranteed share of dispatches for lower ranks; fair between callers.

    Every dispatch adds a rank's share to the credit of each lower rank that has waiting entries;
    at a credit of one the rank is served ahead of the more urgent ones. A rank with nothing waiting
    loses its credit, so an idle rank cannot save up a burst that would delay urgent requests.

    Attributes:
        shares: Guaranteed share of the dispatches for each lower rank, from 0 to 1.
    """

    shares: Mapping[Rank, float] = field(default_factory=lambda: DEFAULT_SHARES)
    _lanes: dict[Rank, CallerLane] = field(
        default_factory=lambda: {rank: CallerLane() for rank in RANKS}
    )
    _credit: dict[Rank, float] = field(default_factory=lambda: dict.fromkeys(RANKS, 0.0))
    _recent_shares: dict[Rank, float] = field(default_factory=lambda: dict.fromkeys(RANKS, 0.0))

    def __len__(self) -> int:
        """Number of waiting entries."""
        return sum(len(lane) for lane in self._lanes.values())

    def push(self, entry: QueueEntry) -> None:
        """Adds an entry."""
        self._lanes[entry.rank].push(entry)

    def pop(self, *, only: Rank | None = None) -> QueueEntry | None:
        """Removes and returns the entry to dispatch next."""
        rank = only if only is not None else self._next_rank()
        if rank is None or not self._lanes[rank]:
            return None
        self._record_dispatch(rank)
        return self._lanes[rank].pop()

    def first(self, admits: Callable[[QueueEntry], bool]) -> QueueEntry | None:
        """The entry to dispatch next among those that a function admits, None if it admits none."""
        next_rank = self._next_rank()
        for rank in sorted(RANKS, key=lambda one: one is not next_rank):
            entry = self._lanes[rank].first(admits)
            if entry is not None:
                return entry
        return None

    def dispatch(self, entry: QueueEntry) -> None:
        """Removes an entry that `first` has returned, and counts it as dispatched."""
        self._record_dispatch(entry.rank)
        self._lanes[entry.rank].dispatch(entry)

    def remove(self, entry: QueueEntry) -> bool:
        """Removes an entry; False if it is not waiting."""
        return self._lanes[entry.rank].remove(entry)

    def heaviest(self, rank: Rank | None = None) -> QueueEntry | None:
        """Newest entry of the busiest caller in a rank, by default in the least urgent one."""
        for candidate in reversed(RANKS) if rank is None else (rank,):
            if self._lanes[candidate]:
                return self._lanes[candidate].heaviest()
        return None

    def waiting(self, rank: Rank, caller: str | None = None) -> int:
        """Number of waiting entries of a rank, or of one caller within it."""
        lane = self._lanes[rank]
        return len(lane) if caller is None else lane.waiting(caller)

    def wait_work(self, rank: Rank, caller: str, session: int | None = None) -> float:
        """Entries ahead in the rank, divided by the share of the dispatches that it gets."""
        more_urgent = RANKS[: RANKS.index(rank)]
        unused = 1.0 - sum(self._recent_shares[other] for other in more_urgent)
        share = max(unused, self.shares.get(rank, 0.0), MIN_DISPATCH_SHARE)
        return self._lanes[rank].ahead(caller, session) / share

    def _next_rank(self) -> Rank | None:
        waiting = [rank for rank in RANKS if self._lanes[rank]]
        for rank in waiting[1:]:
            if self._credit[rank] + self.shares.get(rank, 0.0) >= 1.0 - CREDIT_TOLERANCE:
                return rank
        return waiting[0] if waiting else None

    def _record_dispatch(self, served: Rank) -> None:
        for rank in RANKS:
            earned = self.shares.get(rank, 0.0) if self._lanes[rank] else -self._credit[rank]
            self._credit[rank] = max(self._credit[rank] + earned - (rank is served), 0.0)
            self._recent_shares[rank] += (
                (rank is served) - self._recent_shares[rank]
            ) / RECENT_DISPATCHES


CREDIT_TOLERANCE = 1e-9  # rounding: ten times 0.1 adds up to slightly less than 1
MIN_DISPATCH_SHARE = 0.01  # avoids a division by zero in wait estimates
RECENT_DISPATCHES = 64  # window of the moving average of dispatch shares


class FifoSchedule:
    """Baseline for comparisons: order of arrival, regardless of rank and caller."""

    def __init__(self) -> None:
        self._entries: dict[QueueEntry, None] = {}
        self._ranks: Counter[Rank] = Counter()
        self._callers: Counter[tuple[Rank, str]] = Counter()

    def __len__(self) -> int:
        """Number of waiting entries."""
        return len(self._entries)

    def push(self, entry: QueueEntry) -> None:
        """Adds an entry."""
        self._entries[entry] = None
        self._ranks[entry.rank] += 1
        self._callers[entry.rank, entry.caller] += 1

    def pop(self, *, only: Rank | None = None) -> QueueEntry | None:
        """Removes and returns the oldest entry."""
        entry = next((e for e in self._entries if only in (None, e.rank)), None)
        if entry is not None:
            self.remove(entry)
        return entry

    def remove(self, entry: QueueEntry) -> bool:
        """Removes an entry; False if it is not waiting."""
        if entry not in self._entries:
            return False
        del self._entries[entry]
        self._ranks[entry.rank] -= 1
        self._callers[entry.rank, entry.caller] -= 1
        return True

    def heaviest(self, rank: Rank | None = None) -> QueueEntry | None:
        """The newest entry."""
        return next((e for e in reversed(self._entries) if rank in (None, e.rank)), None)

    def waiting(self, rank: Rank, caller: str | None = None) -> int:
        """Number of waiting entries of a rank, or of one caller within it."""
        return self._ranks[rank] if caller is None else self._callers[rank, caller]

    def wait_work(self, rank: Rank, caller: str, session: int | None = None) -> float:
        """Number of all waiting entries."""
        return len(self._entries)


class StrictPrioritySchedule(RankedSchedule):
    """Baseline for comparisons: urgent first without guaranteed shares; fair between callers."""

    def __init__(self) -> None:
        super().__init__(shares={})
