"""Metrics in the Prometheus format, gathered from the parts of an instance at each scrape."""

from __future__ import annotations

from aioprometheus import Gauge, Registry, render
from tornado.web import RequestHandler

from wigeonpoint.process._core import InstanceCore
from wigeonpoint.request import Rank

PERCENTILES = (50.0, 99.0)


class InstanceMetrics:
    """The metrics of one instance.

    Values are read when a scrape asks for them, so that requests do not pay for the registry.

    Args:
        core: Parts of the instance.
    """

    def __init__(self, core: InstanceCore) -> None:
        self._core = core
        self._registry = Registry()
        self._requests = self._gauge(
            "wigeonpoint_requests_total", "Answered requests by rank, outcome and code."
        )
        self._latency = self._gauge(
            "wigeonpoint_latency_milliseconds", "Latency by rank and percentile since the start."
        )
        self._reads = self._gauge("wigeonpoint_reads_total", "Answered reads by kind of member.")
        self._configuration = self._gauge(
            "wigeonpoint_configuration_number", "Number of the configuration in force."
        )
        self._instances = self._gauge(
            "wigeonpoint_live_instances", "Live instances that this one knows."
        )
        self._terms = self._gauge("wigeonpoint_group_term", "Highest known term by group.")
        self._transactions = self._gauge(
            "wigeonpoint_open_transactions", "Open transactions at this owner."
        )
        self._dispatched = self._gauge(
            "wigeonpoint_queue_dispatched_total", "Slots granted by this owner, by rank."
        )
        self._refused = self._gauge(
            "wigeonpoint_queue_refused_total", "Work refused by this owner, by rank."
        )
        self._refused_here = self._gauge(
            "wigeonpoint_queue_refused_at_entry_total", "Work refused without asking its owner."
        )
        self._connections = self._gauge(
            "wigeonpoint_connections", "Connections to backend servers by state."
        )
        self._opening = self._gauge(
            "wigeonpoint_connections_opening_seconds_total", "Time spent opening connections."
        )

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Renders the metrics.

        Args:
            accept: Values of the Accept header.

        Returns:
            Body and headers.
        """
        self._gather()
        return render(self._registry, accept)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self._registry)

    def _gather(self) -> None:
        recorder = self._core.recorder
        for key, count in recorder.requests.items():
            labels = {"rank": str(key.rank), "outcome": str(key.outcome), "code": key.code.label}
            self._requests.set(labels, count)
        for rank in Rank:
            for percentile in PERCENTILES:
                labels = {"rank": str(rank), "percentile": f"{percentile:g}"}
                self._latency.set(labels, recorder.latency_ms(rank, percentile))
        self._reads.set({"member": "replica"}, recorder.replica_reads)
        self._reads.set({"member": "primary"}, recorder.primary_reads)
        self._configuration.set({}, self._core.feed.configuration.number)
        self._instances.set({}, len(self._core.topology.instances))
        for group in self._core.topology.groups:
            self._terms.set({"group": group.name}, group.term)
        self._transactions.set({}, self._core.owners.open_transactions)
        self._gather_owner()

    def _gather_owner(self) -> None:
        counters = self._core.owners.counters
        for rank in Rank:
            self._dispatched.set({"rank": str(rank)}, counters.dispatched[rank])
            self._refused.set({"rank": str(rank)}, counters.refused[rank])
        self._refused_here.set({}, self._core.hints.refused)
        self._connections.set({"state": "opened"}, counters.connections_opened)
        self._connections.set({"state": "held"}, counters.connections_held)
        self._connections.set({"state": "refused"}, counters.connections_refused)
        self._opening.set({}, counters.opening_s)


class MetricsHandler(RequestHandler):
    """`GET /metrics`."""

    def initialize(self, metrics: InstanceMetrics) -> None:
        """Takes the metrics."""
        self._metrics = metrics

    def get(self) -> None:
        """Answers a scrape."""
        body, headers = self._metrics.render(self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)
