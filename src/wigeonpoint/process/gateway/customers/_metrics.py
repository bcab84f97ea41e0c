"""Metrics by customer in the Prometheus format, bounded in number."""

from __future__ import annotations

from aioprometheus import Counter, Registry

from wigeonpoint.request.session import Refusal

MAX_CUSTOMERS = 100  # with a label of their own; the others are counted together
OTHERS = "others"


class CustomerMetrics:
    """Counts the answered statements of customers.

    Args:
        registry: Where to register the metrics.
    """

    def __init__(self, registry: Registry) -> None:
        self._labelled: set[str] = set()
        self._statements = Counter(
            "wigeonpoint_customer_statements_total",
            "Answered statements by customer and outcome.",
            registry=registry,
        )

    def record(self, customer: str, refusal: Refusal | None) -> None:
        """Counts an answered statement.

        Args:
            customer: Name of the caller's customer, empty if it has none.
            refusal: Why there was no result, or None.
        """
        if not customer:
            return
        outcome = "done" if refusal is None else refusal.name.lower()
        self._statements.inc({"customer": self._label(customer), "outcome": outcome})

    def _label(self, customer: str) -> str:
        if customer not in self._labelled:
            if len(self._labelled) >= MAX_CUSTOMERS:
                return OTHERS
            self._labelled.add(customer)
        return customer
