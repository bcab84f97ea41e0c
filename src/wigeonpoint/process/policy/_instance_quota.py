"""The part of the customers' quotas that one instance may use."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil, exp, sqrt

from wigeonpoint.process.policy._allowances import (
    ALLOWANCE_LEASE_S,
    AllowanceRequest,
    AllowancesRenewed,
    RenewAllowances,
    with_clock_margin,
)
from wigeonpoint.process.policy._sliding_window import SlidingWindow

RENEWAL_INTERVAL_S = 2.5  # a lease outlasts several lost renewals
# A customer whose quota is used up causes at most one request in this time.
EXHAUSTED_PAUSE_S = 0.25
# Over which the demand of a customer is averaged, so that a pause does not give its allowance away.
DEMAND_MEMORY_S = 20.0
MIN_EXPECTED_OPERATIONS = 0.1  # per window; below it, nothing is held ahead of demand
# Until an instance reports that it has given a part of an allowance back, nobody else may use it.
GIVEN_BACK_REPORT_S = 0.3
MIN_RETRY_S = 0.001  # rounding could make it 0, which means that the operation may start
UNKNOWN_RETRY_S = 0.5  # what a refused caller is told if no allowance is held


class _CustomerUse:
    """The use of one customer's quota by one instance."""

    def __init__(self, window_s: float, total: int, now: float) -> None:
        self.starts = SlidingWindow(with_clock_margin(window_s))
        self.attempts = SlidingWindow(window_s)
        self.total = total
        self.waiting = 0
        self.requested_at = float("-inf")
        self.exhausted_until = float("-inf")
        self._window_s = window_s
        self._allowance = 0
        self._lease_end = float("-inf")
        self._mean_demand = 0.0
        self._averaged_at = now

    def allowance(self, now: float) -> int:
        """Operations that may have been started within the window."""
        return self._allowance if now < self._lease_end else 0

    def set_total(self, total: int) -> None:
        """Adopts the total that the configuration sets; a lower one reduces the allowance."""
        if total < self.total:
            self._allowance = self._allowance * total // self.total
        self.total = total

    def renew(self, operations: int, total: int, *, lease_end: float) -> None:
        """Adopts an allowance; if more was used, nothing may be started until it has left."""
        if total > self.total:
            operations = operations * self.total // total
        self._allowance = operations
        self._lease_end = lease_end

    def note_attempt(self, now: float) -> None:
        """Counts an operation that a caller wants to start, as far as the total could allow it."""
        if self.attempts.count(now) >= self.total:
            return
        self._average(now)
        self._mean_demand += self._window_s / DEMAND_MEMORY_S
        self.attempts.add(now)

    def expected(self, now: float) -> float:
        """Operations per window to be expected."""
        self._average(now)
        expected = max(self._mean_demand, self.attempts.count(now))
        return expected if expected >= MIN_EXPECTED_OPERATIONS else 0.0

    def wanted(self, now: float) -> int:
        """Allowance that covers the expected operations and their usual variation."""
        expected = self.expected(now)
        if expected == 0:
            return 0
        return min(ceil(1.25 * expected + 2 * sqrt(expected) + 1), self.total)

    def held(self, now: float) -> int:
        """What other instances must not use: the allowance, and what was used of an earlier one."""
        return max(self.allowance(now), self.starts.count(now))

    def give_back(self, now: float) -> None:
        """Reduces the allowance to what is wanted or was used within the window."""
        self._allowance = min(self.allowance(now), max(self.wanted(now), self.starts.count(now)))

    def _average(self, now: float) -> None:
        self._mean_demand *= exp(-(now - self._averaged_at) / DEMAND_MEMORY_S)
        self._averaged_at = now


@dataclass(frozen=True, slots=True)
class _SentRequest:
    """The latest request, until it is answered."""

    number: int
    sent_at: float
    customers: frozenset[str]


class InstanceQuota:
    """Counts the operations that customers start at one instance, within its allowances.

    All times are in seconds, by a clock that also counts the time for which the machine is
    suspended.

    Args:
        instance: Name of the instance.
        process: Identifier of the process.
        window_s: Seconds of the sliding window.
        started_at: Time at which the process was started.
    """

    def __init__(self, instance: str, process: str, *, window_s: float, started_at: float) -> None:
        self._instance = instance
        self._process = process
        self._window_s = window_s
        self._started_at = started_at
        self._uses: dict[str, _CustomerUse] = {}
        self._term: tuple[int, int] | None = None
        self._reported_term: tuple[int, int] | None = None
        self._number = 0
        self._sent: _SentRequest | None = None

    def follow(self, term: tuple[int, int]) -> None:
        """Follows an allocator from now on if its term is later than the present one's."""
        if self._term is None or term > self._term:
            self._term = term
            self._sent = None  # an answer of the previous allocator no longer counts

    def admit(self, customer: str, total: int, now: float, *, repeated: bool = False) -> float:
        """Counts an operation if it is within the allowance.

        Args:
            customer: Name of the customer.
            total: Operations per window that the configuration allows over all instances.
            now: The time.
            repeated: Whether the same operation was refused before.

        Returns:
            0 if it may start, otherwise the seconds after which one is expected to fit.
        """
        use = self._use(customer, total, now)
        if not repeated:
            use.note_attempt(now)
        allowance = use.allowance(now)
        if use.starts.count(now) < allowance:
            use.starts.add(now)
            return 0.0
        if allowance == 0:
            return UNKNOWN_RETRY_S
        return max(use.starts.seconds_until_below(allowance, now), MIN_RETRY_S)

    def may_ask(self, customer: str, now: float) -> bool:
        """Whether a request for a larger allowance may be answered with one."""
        use = self._uses.get(customer)
        return use is not None and self._term is not None and now >= use.exhausted_until

    def wait(self, customer: str) -> None:
        """Notes that an operation of a known customer waits for a larger allowance."""
        self._uses[customer].waiting += 1

    def end_wait(self, customer: str) -> None:
        """Notes that an operation no longer waits."""
        use = self._uses.get(customer)
        if use is not None and use.waiting:  # 0 if the limit was removed and set meanwhile
            use.waiting -= 1

    def set_totals(self, total: Callable[[str], int | None]) -> None:
        """Adopts the totals of a configuration.

        Args:
            total: Gives the operations per window of a customer, None if it has no limit.
        """
        for name, use in list(self._uses.items()):
            new_total = total(name)
            if new_total is None:
                del self._uses[name]
            else:
                use.set_total(new_total)

    def due(self, now: float) -> bool:
        """Whether a request should be sent now."""
        if self._term is None:
            return False
        return self._term != self._reported_term or any(
            self._is_due(use, now) for use in self._uses.values()
        )

    def make_request(self, now: float) -> RenewAllowances:
        """Makes the next request; the answers to earlier ones no longer count.

        Raises:
            ValueError: No allocator is followed.
        """
        if self._term is None:
            raise ValueError("no allocator is known")
        complete = self._term != self._reported_term
        uses = {
            name: use
            for name, use in self._uses.items()
            if self._is_due(use, now) or (complete and use.held(now))
        }
        self._number += 1
        self._sent = _SentRequest(self._number, now, frozenset(uses))
        return RenewAllowances(
            self._instance,
            self._process,
            now - self._started_at,
            *self._term,
            self._number,
            [self._request(name, use, now) for name, use in uses.items()],
        )

    def adopt(self, answer: AllowancesRenewed, now: float) -> bool:
        """Adopts the answer to the latest request; returns whether it was one."""
        sent, self._sent = self._sent, None
        if sent is None or answer.number != sent.number:
            return False
        self._reported_term = self._term
        for allowance in answer.allowances:
            use = self._uses.get(allowance.customer)
            if use is None or allowance.customer not in sent.customers:
                continue
            if allowance.operations < use.allowance(now):
                use.requested_at = now + GIVEN_BACK_REPORT_S - RENEWAL_INTERVAL_S
            lease_end = sent.sent_at + ALLOWANCE_LEASE_S
            use.renew(allowance.operations, allowance.total, lease_end=lease_end)
            if use.waiting and use.starts.count(now) + use.waiting > use.allowance(now):
                use.exhausted_until = now + EXHAUSTED_PAUSE_S
        self._forget_unused(sent.customers, now)
        return True

    def note_unanswered(self) -> None:
        """Notes that the latest request was not answered; what it asked for is due again."""
        sent, self._sent = self._sent, None
        for name in sent.customers if sent is not None else ():
            if name in self._uses:
                self._uses[name].requested_at = float("-inf")

    def allowance(self, customer: str, now: float) -> int:
        """Operations of a customer that may have been started within the window."""
        use = self._uses.get(customer)
        return 0 if use is None else use.allowance(now)

    def allowances(self, now: float) -> dict[str, int]:
        """Allowances by customer."""
        return {name: use.allowance(now) for name, use in self._uses.items()}

    def _use(self, customer: str, total: int, now: float) -> _CustomerUse:
        use = self._uses.get(customer)
        if use is None:
            use = self._uses[customer] = _CustomerUse(self._window_s, total, now)
        elif use.total != total:
            use.set_total(total)
        return use

    def _is_due(self, use: _CustomerUse, now: float) -> bool:
        if use.waiting and now >= use.exhausted_until:
            return True
        active = use.allowance(now) > 0 or use.expected(now) > 0
        return active and now - use.requested_at >= RENEWAL_INTERVAL_S

    def _request(self, name: str, use: _CustomerUse, now: float) -> AllowanceRequest:
        use.give_back(now)
        use.requested_at = now
        return AllowanceRequest(
            customer=name,
            allowance=use.allowance(now),
            used=use.starts.count(now),
            wanted=use.wanted(now),
            total=use.total,
            waiting=use.waiting,
        )

    def _forget_unused(self, customers: Iterable[str], now: float) -> None:
        for name in customers:
            use = self._uses.get(name)
            if use is None or use.waiting or use.held(now):
                continue
            if use.expected(now) == 0:
                del self._uses[name]
