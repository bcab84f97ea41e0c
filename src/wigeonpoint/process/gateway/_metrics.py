"""Metrics of a gateway in the Prometheus format."""

from __future__ import annotations

from collections.abc import Iterable

from aioprometheus import Gauge, Registry, render
from tornado.httpserver import HTTPServer
from tornado.web import Application

from wigeonpoint.process._bounded_http_server import BoundedHttpServer, HttpLimits
from wigeonpoint.process._metrics_handler import MetricsHandler, RecentMetrics
from wigeonpoint.process.gateway._caller_usage_metrics import add_caller_usage
from wigeonpoint.process.gateway._gateway import Gateway
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.pool import MemberPool
from wigeonpoint.process.policy import EjectionReason
from wigeonpoint.request import Rank

METRICS_PATH = "/metrics"
MAX_CUSTOMERS_SHOWN = 10  # those with the most refused operations
MAX_CONNECTIONS = 16  # scrapers keep one or two


class GatewayMetrics:
    """All metrics of a gateway.

    Gauges are read from the parts of the gateway at each scrape.

    Args:
        gateway: The gateway.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Renders the metrics.

        Args:
            accept: Values of the Accept header.

        Returns:
            Body and headers.
        """
        registry = Registry()
        self._add_state(registry)
        self._add_members(registry)
        self._add_remote(registry)
        self._add_relay(registry)
        self._add_retries(registry)
        self._add_quota(registry)
        add_caller_usage(registry, self._gateway.caller_usage, self._gateway.session_memory)
        statement_metrics, _ = render(self._gateway.sessions.metrics.registry, accept)
        state_metrics, headers = render(registry, accept)
        return statement_metrics + state_metrics, headers

    def _add_state(self, registry: Registry) -> None:
        gateway = self._gateway
        control = gateway.control
        catalogue = gateway.view.catalogue()
        for name, text, value in (
            ("ready", "Whether the balancer should send callers here.", gateway.ready),
            ("customers", "Customers in the active configuration.", len(catalogue.customers)),
            ("sessions", "Open sessions.", len(gateway.sessions.open)),
            ("transactions", "Transactions bound to a connection.", gateway.transactions.open),
            (
                "configuration_version",
                "Version of the active configuration.",
                catalogue.version,
            ),
            ("instances", "Registered instances.", len(control.instances)),
            (
                "instances_in_contact",
                "Watched instances that answer.",
                len(gateway.peers.reachable),
            ),
            (
                "primaries_usable",
                "Whether the lease to use primaries is valid.",
                control.lease_valid,
            ),
            ("member_questions_total", "Questions to members.", gateway.quorum_leases.asked),
        ):
            Gauge(f"wigeonpoint_{name}", text, registry=registry).set({}, float(value))
        text = "Calls of the platform by purpose and kind, failed ones included."
        calls = Gauge("wigeonpoint_platform_calls_total", text, registry=registry)
        for (purpose, kind), number in gateway.call_counts.calls.items():
            calls.set({"purpose": purpose.value, "kind": kind.value}, number)
        era = Gauge("wigeonpoint_store_era", "Restores of the store, by table.", registry=registry)
        feeds = {"control": control.feed, "operators": gateway.view.operators}
        for table, feed in (feeds | {"members": gateway.view.members}).items():
            era.set({"table": table}, feed.era)

    def _add_members(self, registry: Registry) -> None:
        members = [
            (self._member_labels(group, pool), group, pool)
            for group in self._gateway.view.groups.values()
            for pool in group.pools
        ]
        _add_pools(registry, "member", "", [(labels, pool) for labels, _, pool in members])
        text = "Whether fresh work goes to a member."
        available = Gauge("wigeonpoint_member_available", text, registry=registry)
        text = "Smoothed seconds of an answer, by member."
        latency = Gauge("wigeonpoint_member_latency_seconds", text, registry=registry)
        text = "Whether a member gets no reads for a while, by member and reason."
        ejected = Gauge("wigeonpoint_member_ejected", text, registry=registry)
        for labels, group, pool in members:
            available.set(labels, float(pool.health.available))
            latency.set(labels, pool.latency.mean_s)
            for reason in EjectionReason:
                value = group.health.ejected(pool.record.id) is reason
                ejected.set({**labels, "reason": reason.name.lower()}, float(value))
        self._add_leaving(registry)

    def _add_remote(self, registry: Registry) -> None:
        text = "Statements answered in other data centres, by group and data centre."
        statements = Gauge("wigeonpoint_remote_statements_total", text, registry=registry)
        text = "Bytes of their texts and rows, by group, data centre and direction."
        traffic = Gauge("wigeonpoint_remote_bytes_total", text, registry=registry)
        text = "Share of the reads that leave the data centre by choice, by group and rank."
        share = Gauge("wigeonpoint_remote_read_share", text, registry=registry)
        for name, group in self._gateway.view.groups.items():
            remote = group.remote_reads
            for data_centre, count in remote.statements.items():
                labels = {"group": name, "data_centre": data_centre}
                statements.set(labels, count)
                traffic.set({**labels, "direction": "sent"}, remote.sent_bytes[data_centre])
                traffic.set({**labels, "direction": "received"}, remote.received_bytes[data_centre])
            for rank in Rank:
                share.set({"group": name, "rank": str(rank)}, remote.share(rank))

    def _add_leaving(self, registry: Registry) -> None:
        text = "Seconds since a member is known to be leaving, by leaving member."
        leaving = Gauge("wigeonpoint_member_leaving_seconds", text, registry=registry)
        for group in self._gateway.view.groups.values():
            for pool in group.pools:
                leaving_s = group.leaving_s(pool.record)
                if leaving_s is not None:
                    leaving.set(self._member_labels(group, pool), leaving_s)

    def _add_relay(self, registry: Registry) -> None:
        relay = self._gateway.relay
        pools = [({"member": member_id}, pool) for member_id, pool in relay.pools.items()]
        _add_pools(registry, "relay", " as a relay", pools)
        text = "Statements that this relay may run at a member at the same time."
        slots = Gauge("wigeonpoint_relay_slots", text, registry=registry)
        for labels, pool in pools:
            slots.set(labels, relay.slots(pool.record))
        text = "Open transactions of other instances' callers."
        transactions = Gauge("wigeonpoint_relay_transactions", text, registry=registry)
        transactions.set({}, relay.transactions)

    @staticmethod
    def _member_labels(group: Group, pool: MemberPool) -> dict[str, str]:
        role = "primary" if pool.record.id == group.primary_id else "replica"
        return {"group": group.name, "member": pool.record.id, "role": role}

    def _add_retries(self, registry: Registry) -> None:
        budgets = self._gateway.router.budgets
        text = "Retries that the budgets of the routes allowed or refused."
        retries = Gauge("wigeonpoint_retries_total", text, registry=registry)
        retries.set({"result": "allowed"}, budgets.retries)
        retries.set({"result": "refused"}, budgets.refusals)

    def _add_quota(self, registry: Registry) -> None:
        quota = self._gateway.quota
        text = "Operations of customers with quotas, by result."
        operations = Gauge("wigeonpoint_quota_operations_total", text, registry=registry)
        operations.set({"result": "admitted"}, quota.admitted)
        operations.set({"result": "refused"}, quota.refusals.total)
        text = "Refused operations of the customers with the most of them."
        refused = Gauge("wigeonpoint_quota_refused_total", text, registry=registry)
        for customer, count in quota.refusals.most_refused(MAX_CUSTOMERS_SHOWN):
            refused.set({"customer": customer}, count)
        allowances = quota.allowances.values()
        allocator = quota.allocation.allocator
        for name, help_text, value in (
            ("requests_total", "Requests to the allocator of quotas.", quota.requests),
            ("allowances", "Customers of whose quota this instance has a part.", len(allowances)),
            (
                "allowed_operations",
                "Operations per window that this instance may start, of all customers.",
                sum(allowances),
            ),
            (
                "allocator",
                "2 if this instance divides the quotas, 1 if only what it knows of, else 0.",
                0 if allocator is None else 1 + allocator.complete,
            ),
        ):
            gauge = Gauge(f"wigeonpoint_quota_{name}", help_text, registry=registry)
            gauge.set({}, float(value))


def _add_pools(
    registry: Registry,
    prefix: str,
    purpose: str,
    pools: Iterable[tuple[dict[str, str], MemberPool]],
) -> None:
    """Adds the gauges that every kind of pool has.

    Args:
        registry: Where to add them.
        prefix: Part of the metrics' names that tells the kind of pool.
        purpose: The same for their help texts.
        pools: The pools, with the labels that tell them apart.
    """
    text = f"Connections{purpose} by member and use."
    connections = Gauge(f"wigeonpoint_{prefix}_connections", text, registry=registry)
    text = f"Connections opened and refused so far{purpose}, by member."
    opened = Gauge(f"wigeonpoint_{prefix}_connects_total", text, registry=registry)
    text = f"Statements that wait{purpose} for a connection, by member."
    waiting = Gauge(f"wigeonpoint_{prefix}_waiting", text, registry=registry)
    text = f"Connections{purpose} closed to make room for another customer, by member."
    displaced = Gauge(f"wigeonpoint_{prefix}_displaced_total", text, registry=registry)
    for labels, pool in pools:
        connections.set({**labels, "use": "open"}, pool.open)
        connections.set({**labels, "use": "in_use"}, pool.in_use)
        opened.set({**labels, "result": "opened"}, pool.opened)
        opened.set({**labels, "result": "refused"}, pool.refused)
        waiting.set(labels, pool.waiting)
        displaced.set(labels, pool.displaced)


def serve_metrics(metrics: GatewayMetrics, host: str, port: int) -> HTTPServer:
    """Serves the metrics until the server is stopped.

    Raises:
        OSError: The address cannot be used.
    """
    application = Application(
        [(METRICS_PATH, MetricsHandler, {"metrics": RecentMetrics(metrics)})],
        log_function=lambda handler: None,
    )
    server = BoundedHttpServer(application, limits=HttpLimits(MAX_CONNECTIONS))
    server.listen(port, host)
    return server
