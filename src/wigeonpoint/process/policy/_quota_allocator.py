"""Divides the quotas of customers among the instances."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from math import ceil

from wigeonpoint.process.policy._allowances import (
    ALLOCATOR_RIGHT_S,
    ALLOWANCE_LEASE_S,
    Allowance,
    AllowanceRequest,
    AllowancesRenewed,
    RenewAllowances,
    with_clock_margin,
)
from wigeonpoint.process.policy._fair_division import fair_level

# Of a total that is handed out before it is needed; the rest is for operations that wait.
AHEAD_SHARE = 0.85
KEPT_SHARE = 0.08  # of a total that is not used up by rounding shares up
LEVEL_INTERVAL_S = 0.1  # the shares of a customer are worked out anew at most this often

ProcessKey = tuple[str, str]  # instance and process


@dataclass(slots=True)
class _Holding:
    """The allowance of one process for one customer, as large as it can be by now.

    Attributes:
        operations: The allowance.
        needed: What it used within the last window, and what waited, when it last reported.
        wanted: What the process wants.
        free_at: Time in seconds at which the allowance ended a window ago, unless it is renewed.
    """

    operations: int
    needed: int
    wanted: int
    free_at: float


@dataclass(slots=True)
class _CustomerAccount:
    """What the allocator knows of one customer.

    Attributes:
        total: Operations per window of all instances that is divided.
        reported: Operations per window that processes held when they first reported.
        holdings: Allowances by process.
        needed_level: The largest share that an instance gets of what is needed now.
        ahead_level: The largest share that it gets ahead of demand besides.
        levels_at: Time in seconds at which these were worked out.
    """

    total: int
    reported: int = 0
    holdings: dict[ProcessKey, _Holding] = field(default_factory=dict)
    needed_level: float = 0.0
    ahead_level: float = 0.0
    levels_at: float = float("-inf")

    def held(self) -> int:
        """Sum of all allowances."""
        return sum(holding.operations for holding in self.holdings.values())

    def set_total(self, total: int) -> None:
        """Adopts a total; in the units of a larger one, what instances hold is more.

        Instances that know a lower total use their allowances in proportion to it.
        """
        if total > self.total:
            for holding in self.holdings.values():
                holding.operations = ceil(holding.operations * total / max(self.total, 1))
        self.reported = self.reported * total // max(self.total, 1)
        self.total = total

    def end_expired(self, proof_at: float) -> None:
        """Forgets allowances that were over by the time of a proof."""
        ended = [key for key, holding in self.holdings.items() if holding.free_at <= proof_at]
        for key in ended:
            del self.holdings[key]

    def share(self, holding: _Holding, divided: int, now: float) -> float:
        """Share of a process: of what is needed now, and of the rest ahead of demand.

        What instances merely expect gives way, so that callers may move between instances.

        Args:
            holding: What the process holds.
            divided: Operations per window that are divided.
            now: Time in seconds.
        """
        if now - self.levels_at >= LEVEL_INTERVAL_S:
            self._set_levels(divided)
            self.levels_at = now
        needed = min(holding.needed, self.needed_level)
        return needed + min(max(holding.wanted - needed, 0), self.ahead_level)

    def _set_levels(self, divided: int) -> None:
        holdings = self.holdings.values()
        self.needed_level = fair_level(divided, [holding.needed for holding in holdings])
        needed = [min(holding.needed, self.needed_level) for holding in holdings]
        ahead = [
            max(holding.wanted - used, 0) for holding, used in zip(holdings, needed, strict=True)
        ]
        self.ahead_level = fair_level(AHEAD_SHARE * divided - sum(needed), ahead)


@dataclass(slots=True)
class _Reporter:
    """The latest process of an instance that has reported, when it was started, and its request."""

    process: str
    started_at: float
    number: int


class QuotaAllocator:
    """Divides the quotas of customers among the instances, during one term.

    The allocator begins with what instances report. It divides the rest of the totals too once no
    process can hold or grant an allowance that is unknown here. A proof is a time at which the
    store still named this allocator; what happened before it cannot have been reported to a later
    one. All times are in seconds, by a clock that also counts suspensions.

    Args:
        claimed_at: Time by which the store had accepted the claim of the term.
        window_s: Seconds of the sliding window.
        first: Whether there was no allocator before.
        previous: Instance of the previous allocator if that one knew of all allowances, None
            otherwise. What others were granted ends a lease after its process has ended or
            follows this term.
    """

    def __init__(
        self,
        *,
        claimed_at: float,
        window_s: float,
        first: bool = False,
        previous: str | None = None,
    ) -> None:
        self._window_s = with_clock_margin(window_s)
        self._lease_s = with_clock_margin(ALLOWANCE_LEASE_S)
        self._right_s = with_clock_margin(ALLOCATOR_RIGHT_S)
        self._claimed_at = claimed_at
        self._complete = first
        self._accounts: dict[str, _CustomerAccount] = {}
        self._reporters: dict[str, _Reporter] = {}
        self._last_first_report_at = claimed_at
        self._uncounted_until = claimed_at + self._window_s
        self._awaited: frozenset[str] = frozenset()
        self._previous = previous
        self._previous_reported_at = float("inf")

    @property
    def complete(self) -> bool:
        """Whether nothing is held or granted that is unknown here."""
        return self._complete

    def update(self, instances: Collection[str], *, now: float, proof_at: float) -> None:
        """Finds out whether everything that is held is known.

        Args:
            instances: Names of all instances that may run.
            now: The time.
            proof_at: Time of the latest proof.
        """
        if self._complete:
            return
        awaited = frozenset(instances) - self._reporters.keys()
        if self._awaited - frozenset(instances) - self._reporters.keys():
            # An instance has left without a report; it may have served until now.
            self._uncounted_until = max(self._uncounted_until, now + self._window_s)
        self._awaited = awaited
        all_known = not awaited and proof_at >= self._last_first_report_at
        over_s = self._lease_s + self._window_s
        self._complete = (
            (all_known and now >= self._uncounted_until)
            or now - self._previous_reported_at >= over_s
            or now - self._claimed_at >= self._right_s + over_s
        )

    def renew(
        self,
        message: RenewAllowances,
        total: Callable[[str], int | None],
        *,
        now: float,
        proof_at: float,
    ) -> AllowancesRenewed:
        """Renews allowances.

        Args:
            message: The request.
            total: Gives the operations per window of a customer, None if it has no limit.
            now: The time.
            proof_at: Time of the latest proof.
        """
        key = message.instance, message.process
        reporter = self._reporters.get(message.instance)
        if reporter is not None and reporter.process == message.process:
            if message.number <= reporter.number:
                return AllowancesRenewed(0)
            reporter.number = message.number
        elif not self._add_reporter(message, now):
            return AllowancesRenewed(0)
        first = reporter is None or reporter.process != message.process
        renewed = []
        for request in message.requests:
            customer_total = total(request.customer)
            if customer_total is None:
                continue
            request = _in_units_of(customer_total, request)
            account = self._accounts.get(request.customer)
            if account is None:
                account = self._accounts[request.customer] = _CustomerAccount(customer_total)
            account.set_total(customer_total)
            if first:
                known = max(request.total, customer_total, 1)
                account.reported += request.allowance * customer_total // known
            account.end_expired(proof_at)
            operations = self._renew_one(account, key, request, now)
            renewed.append(Allowance(request.customer, operations, customer_total))
        return AllowancesRenewed(message.number, renewed)

    def _add_reporter(self, message: RenewAllowances, now: float) -> bool:
        """Notes the first report of a process; returns False if a later process has reported."""
        started_at = now - with_clock_margin(message.running_s)
        previous = self._reporters.get(message.instance)
        if previous is not None and previous.started_at >= started_at:
            return False
        self._reporters[message.instance] = _Reporter(message.process, started_at, message.number)
        self._last_first_report_at = now
        if message.instance == self._previous:
            self._previous_reported_at = min(self._previous_reported_at, now)
        # By its start, the previous process of the instance had ended.
        over_at = now - message.running_s / with_clock_margin(1) + self._window_s
        self._uncounted_until = max(self._uncounted_until, over_at)
        if previous is not None:
            previous_key = message.instance, previous.process
            for account in self._accounts.values():
                holding = account.holdings.get(previous_key)
                if holding is not None:
                    holding.free_at = min(holding.free_at, over_at)
        return True

    def _renew_one(
        self,
        account: _CustomerAccount,
        key: ProcessKey,
        request: AllowanceRequest,
        now: float,
    ) -> int:
        """Renews one allowance; returns the new one."""
        divided = account.total if self._complete else min(account.reported, account.total)
        free_at = now + self._lease_s + self._window_s
        needed = request.used + request.waiting
        holding = _Holding(request.held, needed, request.wanted, free_at)
        account.holdings[key] = holding
        free = max(divided - account.held(), 0)
        share = account.share(holding, divided, now)
        # The fractions of many small shares add up to much of a small total.
        may_round_up = ceil(share) - request.held <= free - KEPT_SHARE * divided
        rounded = ceil(share) if needed >= share or may_round_up else int(share)
        operations = min(rounded, request.allowance + free)
        holding.operations = max(operations, request.held)
        if not holding.operations and not holding.wanted:
            del account.holdings[key]
        return operations


def _in_units_of(total: int, request: AllowanceRequest) -> AllowanceRequest:
    """Scales a request of an instance that knows a lower total already, or still.

    Of two totals, each instance uses its allowance in proportion to the lower one.
    """
    if request.total >= total:
        return request
    ratio = total / max(request.total, 1)
    return replace(
        request,
        allowance=ceil(request.allowance * ratio),
        used=ceil(request.used * ratio),
        wanted=ceil(request.wanted * ratio),
        waiting=ceil(request.waiting * ratio),
        total=total,
    )
