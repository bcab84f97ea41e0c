"""How often customers have needed a connection to a member recently."""

from __future__ import annotations

from math import exp

MEMORY_S = 10.0  # a request counts for about this long
MAX_CUSTOMERS = 1000
FORGOTTEN_BELOW = 0.01  # requests, after the discount for their age


class CustomerDemand:
    """Requests by customer, discounted exponentially with their age."""

    def __init__(self) -> None:
        self._requests: dict[str, tuple[float, float]] = {}  # discounted number, and its time

    def note(self, customer: str, now: float) -> None:
        """Records that a customer needs a connection.

        Args:
            customer: Name of the customer.
            now: Time in seconds.
        """
        self._requests[customer] = self.recent(customer, now) + 1.0, now
        if len(self._requests) > MAX_CUSTOMERS:
            self._forget(now)

    def recent(self, customer: str, now: float) -> float:
        """Discounted number of a customer's requests.

        Args:
            customer: Name of the customer.
            now: Time in seconds.
        """
        number, noted_at = self._requests.get(customer, (0.0, now))
        return number * exp((noted_at - now) / MEMORY_S)

    def busiest(self, now: float) -> list[str]:
        """Customers by recent requests, the most first.

        Args:
            now: Time in seconds.
        """
        return sorted(self._requests, key=lambda name: self.recent(name, now), reverse=True)

    def _forget(self, now: float) -> None:
        """Forgets customers that have needed nothing for long, or else those that need least."""
        kept = self.busiest(now)[: MAX_CUSTOMERS // 2]
        self._requests = {
            name: self._requests[name] for name in kept if self.recent(name, now) > FORGOTTEN_BELOW
        }
