"""Metrics in the Prometheus format, collected from an instance's components at each scrape."""

from __future__ import annotations

from aioprometheus import Gauge, Registry, render

from wigeonpoint.process._core import InstanceCore
from wigeonpoint.request import Rank

PERCENTILES = (50.0, 99.0)


class InstanceMetrics:
    """The metrics of one instance.

    Values are read at each scrape, so that requests do not update a registry. Each scrape fills a
    new registry, because a gauge cannot remove the labels of a server that is no longer owned.

    Args:
        core: Components of the instance.
    """

    def __init__(self, core: InstanceCore) -> None:
        self._core = core

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Renders the metrics.

        Args:
            accept: Values of the Accept header.

        Returns:
            Body and headers.
        """
        registry = Registry()
        self._add_requests(registry)
        self._add_views(registry)
        self._add_servers(registry)
        self._add_owner_totals(registry)
        return render(registry, accept)

    def _add_requests(self, registry: Registry) -> None:
        recorder, router = self._core.recorder, self._core.router
        text = "Answered requests by rank, outcome and code."
        requests = Gauge("wigeonpoint_requests_total", text, registry=registry)
        for key, count in recorder.requests.items():
            labels = {"rank": str(key.rank), "outcome": str(key.outcome), "code": key.code.label}
            requests.set(labels, count)
        text = "Latency by rank and percentile since the start."
        latency = Gauge("wigeonpoint_latency_milliseconds", text, registry=registry)
        for rank in Rank:
            for percentile in PERCENTILES:
                labels = {"rank": str(rank), "percentile": f"{percentile:g}"}
                latency.set(labels, recorder.latency_ms(rank, percentile))
        reads = Gauge("wigeonpoint_reads_total", "Reads by kind of member.", registry=registry)
        reads.set({"member": "replica"}, router.replica_reads)
        reads.set({"member": "primary"}, router.reads_done - router.replica_reads)
        text = "Retries that the budgets of the routes allowed or refused."
        retries = Gauge("wigeonpoint_retries_total", text, registry=registry)
        retries.set({"result": "allowed"}, router.budgets.retries)
        retries.set({"result": "refused"}, router.budgets.refusals)
        text = "Messages removed by their owner, or held back after it refused for overload."
        unsent = Gauge("wigeonpoint_unsent_messages_total", text, registry=registry)
        unsent.set({"reason": "cancelled"}, router.cancelled)
        unsent.set({"reason": "overload"}, self._core.hints.refused)

    def _add_views(self, registry: Registry) -> None:
        topology = self._core.topology
        for name, text, value in (
            ("configuration_number", "Active configuration.", self._core.feed.number),
            ("live_instances", "Live instances that this one knows.", len(topology.instances)),
            ("open_transactions", "Open transactions.", self._core.owners.open_transactions),
        ):
            Gauge(f"wigeonpoint_{name}", text, registry=registry).set({}, value)
        text = "Highest known term by group."
        terms = Gauge("wigeonpoint_group_term", text, registry=registry)
        for group in topology.groups:
            terms.set({"group": group.name}, group.term)

    def _add_servers(self, registry: Registry) -> None:
        text = "Statements that wait, that run and that may run, by backend server."
        statements = Gauge("wigeonpoint_queue_statements", text, registry=registry)
        text = "Connections by backend server and use."
        connections = Gauge("wigeonpoint_backend_connections", text, registry=registry)
        text = "Connections opened and refused so far, by backend server."
        connects = Gauge("wigeonpoint_backend_connects_total", text, registry=registry)
        for owned in self._core.owners.owned:
            server, queue, pool = owned.server.id, owned.queue, owned.pool
            for gauge, label, values in (
                (statements, "state", _values(queue, "waiting", "running", "limit")),
                (connections, "use", _values(pool, "open", "held", "pinned")),
                (connects, "result", _values(pool, "opened", "refused")),
            ):
                for name, value in values.items():
                    gauge.set({"server": server, label: name}, value)

    def _add_owner_totals(self, registry: Registry) -> None:
        counters = self._core.owners.counters
        text = "Slots granted by this owner, by rank."
        dispatched = Gauge("wigeonpoint_queue_dispatched_total", text, registry=registry)
        text = "Work refused by this owner, by rank."
        refused = Gauge("wigeonpoint_queue_refused_total", text, registry=registry)
        for rank in Rank:
            dispatched.set({"rank": str(rank)}, counters.dispatched[rank])
            refused.set({"rank": str(rank)}, counters.refused[rank])
        text = "Connections to backend servers by state, with servers no longer owned."
        connections = Gauge("wigeonpoint_connections", text, registry=registry)
        connections.set({"state": "opened"}, counters.connections_opened)
        connections.set({"state": "held"}, counters.connections_held)
        connections.set({"state": "refused"}, counters.connections_refused)
        text = "Time spent opening connections."
        opening = Gauge("wigeonpoint_connections_opening_seconds_total", text, registry=registry)
        opening.set({}, counters.opening_s)


def _values(part: object, *names: str) -> dict[str, int]:
    return {name: getattr(part, name) for name in names}
