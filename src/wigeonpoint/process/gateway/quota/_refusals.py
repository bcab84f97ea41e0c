"""Counts operations that exceeded quotas, and logs them in a bounded number of lines."""

from __future__ import annotations

from collections import Counter

from wigeonpoint.events import Event, log_event

LOG_INTERVAL_S = 10.0  # between two lines about one customer
MAX_CUSTOMERS = 1000  # that are counted by name


class QuotaRefusals:
    """Operations that were refused because of quotas, by customer."""

    def __init__(self) -> None:
        self._refused: Counter[str] = Counter()
        self._logged: dict[str, tuple[float, int]] = {}  # time in seconds and count of a line
        self.total = 0

    def most_refused(self, count: int) -> list[tuple[str, int]]:
        """The customers with the most refused operations, and the number of those."""
        return self._refused.most_common(count)

    def record(self, customer: str, *, allowance: int, total: int, now: float) -> None:
        """Counts a refused operation.

        Args:
            customer: Name of the customer.
            allowance: Operations per window that this instance may start.
            total: Operations per window that all instances may start.
            now: Time in seconds.
        """
        self.total += 1
        if customer not in self._refused and len(self._refused) >= MAX_CUSTOMERS:
            return
        self._refused[customer] += 1
        refused = self._refused[customer]
        logged_at, logged = self._logged.get(customer, (float("-inf"), 0))
        if now - logged_at < LOG_INTERVAL_S:
            return
        self._logged[customer] = now, refused
        log_event(
            Event.QUOTA_EXCEEDED,
            customer=customer,
            refused=refused - logged,
            allowance=allowance,
            total=total,
        )
