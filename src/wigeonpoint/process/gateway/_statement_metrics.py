"""Metrics of answered statements in the Prometheus format."""

from __future__ import annotations

from aioprometheus import Counter, Histogram, Registry

from wigeonpoint.process.gateway.customers import CustomerMetrics
from wigeonpoint.request.session import Refusal
from wigeonpoint.version.catalogue import DatabaseRoute

# Seconds; around the objectives and the time limits that routes usually have.
LATENCY_BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.5, 3.0, 5.0]


class StatementMetrics:
    """Counts answered statements and measures how long they took."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._latency = Histogram(
            "wigeonpoint_statement_seconds",
            "Time from a statement's arrival to its answer, by rank.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._statements = Counter(
            "wigeonpoint_statements_total",
            "Answered statements by route, rank and outcome.",
            registry=self.registry,
        )
        self._customers = CustomerMetrics(self.registry)

    def record(
        self,
        route: DatabaseRoute | None,
        refusal: Refusal | None,
        seconds: float,
        *,
        customer: str = "",
    ) -> None:
        """Counts an answered statement.

        Args:
            route: The route of its session, None if it has been removed.
            refusal: Why there was no result, or None.
            seconds: Time from its arrival to its answer.
            customer: Name of the caller's customer, empty if it has none.
        """
        self._customers.record(customer, refusal)
        rank = str(route.rank) if route is not None else "none"
        self._latency.observe({"rank": rank}, seconds)
        self._statements.inc(
            {
                "route": route.name if route is not None else "none",
                "rank": rank,
                "outcome": refusal.name.lower() if refusal is not None else "done",
            }
        )
