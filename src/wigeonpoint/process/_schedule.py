"""Order in which queued work of one backend server is dispatched."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.request import Rank
from wigeonpoint.version import DEFAULT_SHARES

RANKS = (Rank.URGENT, Rank.STANDARD, Rank.BULK)


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A piece of work waiting for a slot.

    Attributes:
        rank: Urgency.
        caller: Name of the caller.
        deadline: Event-loop time, in seconds, until which the work is of use.
        continues: Whether it is a statement of an open transaction.
        message_id: Id by which it can be cancelled; empty if it cannot.
        granted: Result once a slot is granted, or the refusal.
        cancelled: Whether it must not be sent any more.
        sent_at: Event-loop time, in seconds, at which it was sent, or None.
    """

    rank: Rank
    caller: str
    deadline: float
    granted: asyncio.Future[None]
    continues: bool = False
    message_id: str = ""
    cancelled: bool = False
    sent_at: float | None = None

    @property
    def sent(self) -> bool:
        """Whether it may have reached the backend server."""
        return self.sent_at is not None

    def mark_sent(self) -> None:
        """Notes that the work is being sent; from here on it cannot be cancelled.

        Raises:
            NotRun: CANCELLED.
        """
        if self.cancelled:
            raise cancelled_error()
        self.sent_at = asyncio.get_running_loop().time()


def cancelled_error() -> NotRun:
    """The refusal of cancelled work."""
    return NotRun(ResultCode.CANCELLED, "the work was cancelled before it was sent")


class Schedule(Protocol):
    """Scheduling policy: holds the waiting entries and decides which is next."""

    def __len__(self) -> int:
        """Number of waiting entries."""
        ...

    def push(self, entry: QueueEntry) -> None:
        """Adds an entry."""
        ...

    def pop(self, *, only: Rank | None = None) -> QueueEntry | None:
        """Takes the entry to dispatch next, of one rank if `only` is given."""
        ...

    def remove(self, entry: QueueEntry) -> bool:
        """Takes an entry out; False if it is not waiting."""
        ...

    def heaviest(self, rank: Rank | None = None) -> QueueEntry | None:
        """The entry to refuse when the queue, or one rank of it, is full."""
        ...

    def waiting(self, rank: Rank, caller: str | None = None) -> int:
        """Number of waiting entries of a rank, or of one caller in it."""
        ...

    def wait_work(self, rank: Rank, caller: str) -> float:
        """Dispatches expected before a new entry of a caller would be dispatched."""
        ...


class CallerLane:
    """The entries of one rank, served in turn by caller."""

    def __init__(self) -> None:
        self._continuing: deque[QueueEntry] = deque()
        self._callers: dict[str, deque[QueueEntry]] = {}  # in turn order
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, entry: QueueEntry) -> None:
        """Adds an entry behind the others of its caller."""
        if entry.continues:
            self._continuing.append(entry)
        else:
            self._callers.setdefault(entry.caller, deque()).append(entry)
        self._size += 1

    def pop(self) -> QueueEntry:
        """Takes the next entry; the lane must not be empty."""
        self._size -= 1
        if self._continuing:
            return self._continuing.popleft()
        caller, entries = next(iter(self._callers.items()))
        entry = entries.popleft()
        del self._callers[caller]
        if entries:
            self._callers[caller] = entries  # to the end of the turn order
        return entry

    def remove(self, entry: QueueEntry) -> bool:
        """Takes an entry out; False if it is not waiting."""
        entries = self._continuing if entry.continues else self._callers.get(entry.caller)
        if entries is None or entry not in entries:
            return False
        entries.remove(entry)
        if not entries and not entry.continues:
            del self._callers[entry.caller]
        self._size -= 1
        return True

    def heaviest(self) -> QueueEntry | None:
        """Newest entry of the caller with the most entries; open transactions come last."""
        if self._callers:
            return max(self._callers.values(), key=len)[-1]
        return self._continuing[-1] if self._continuing else None

    def waiting(self, caller: str) -> int:
        """Number of entries of a caller."""
        return len(self._callers.get(caller, ()))

    def ahead(self, caller: str) -> int:
        """Number of entries dispatched before a new entry of a caller."""
        turn = self.waiting(caller) + 1
        others = sum(
            min(len(entries), turn) for name, entries in self._callers.items() if name != caller
        )
        return len(self._continuing) + others + turn - 1


@dataclass(slots=True)
class RankedSchedule:
    """Urgent first, a guaranteed share of dispatches for lower ranks, fair by caller in a rank.

    A waiting lower rank earns its share with every dispatch and is served once it has earned a
    whole one. Credit is lost when the rank has nothing waiting, so an idle rank cannot save up a
    burst that would delay urgent work.

    Attributes:
        shares: Guaranteed share of dispatches of each lower rank.
    """

    shares: Mapping[Rank, float] = field(default_factory=lambda: DEFAULT_SHARES)
    _lanes: dict[Rank, CallerLane] = field(
        default_factory=lambda: {rank: CallerLane() for rank in RANKS}
    )
    _credit: dict[Rank, float] = field(default_factory=lambda: dict.fromkeys(RANKS, 0.0))
    _recent: dict[Rank, float] = field(default_factory=lambda: dict.fromkeys(RANKS, 0.0))

    def __len__(self) -> int:
        """Number of waiting entries."""
        return sum(len(lane) for lane in self._lanes.values())

    def push(self, entry: QueueEntry) -> None:
        """Adds an entry."""
        self._lanes[entry.rank].push(entry)

    def pop(self, *, only: Rank | None = None) -> QueueEntry | None:
        """Takes the entry to dispatch next."""
        rank = only if only is not None else self._next_rank()
        if rank is None or not self._lanes[rank]:
            return None
        self._account(rank)
        return self._lanes[rank].pop()

    def remove(self, entry: QueueEntry) -> bool:
        """Takes an entry out."""
        return self._lanes[entry.rank].remove(entry)

    def heaviest(self, rank: Rank | None = None) -> QueueEntry | None:
        """Newest entry of the heaviest caller of a rank, or of the least urgent one waiting."""
        for candidate in reversed(RANKS) if rank is None else (rank,):
            if self._lanes[candidate]:
                return self._lanes[candidate].heaviest()
        return None

    def waiting(self, rank: Rank, caller: str | None = None) -> int:
        """Number of waiting entries."""
        lane = self._lanes[rank]
        return len(lane) if caller is None else lane.waiting(caller)

    def wait_work(self, rank: Rank, caller: str) -> float:
        """Entries ahead in the rank, divided by the part of the dispatches that it gets."""
        more_urgent = RANKS[: RANKS.index(rank)]
        left = 1.0 - sum(self._recent[other] for other in more_urgent)
        part = max(left, self.shares.get(rank, 0.0), MIN_PART)
        return self._lanes[rank].ahead(caller) / part

    def _next_rank(self) -> Rank | None:
        waiting = [rank for rank in RANKS if self._lanes[rank]]
        for rank in waiting[1:]:
            if self._credit[rank] + self.shares.get(rank, 0.0) >= 1.0 - CREDIT_TOLERANCE:
                return rank
        return waiting[0] if waiting else None

    def _account(self, served: Rank) -> None:
        for rank in RANKS:
            earned = self.shares.get(rank, 0.0) if self._lanes[rank] else -self._credit[rank]
            self._credit[rank] = max(self._credit[rank] + earned - (rank is served), 0.0)
            self._recent[rank] += ((rank is served) - self._recent[rank]) / RECENT_DISPATCHES


CREDIT_TOLERANCE = 1e-9  # sums of shares such as ten times 0.1 fall short of 1 by rounding
MIN_PART = 0.01
RECENT_DISPATCHES = 64


class FifoSchedule:
    """Baseline: order of arrival, whatever the rank or caller."""

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
        """Takes the oldest entry."""
        entry = next((e for e in self._entries if only in (None, e.rank)), None)
        if entry is not None:
            self.remove(entry)
        return entry

    def remove(self, entry: QueueEntry) -> bool:
        """Takes an entry out."""
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
        """Number of waiting entries."""
        return self._ranks[rank] if caller is None else self._callers[rank, caller]

    def wait_work(self, rank: Rank, caller: str) -> float:
        """Everything that waits."""
        return len(self._entries)


class StrictPrioritySchedule(RankedSchedule):
    """Baseline: urgent first without guaranteed shares; fair by caller in a rank."""

    def __init__(self) -> None:
        super().__init__(shares={})
