"""Metrics of an instance."""

from __future__ import annotations

import pytest

from tests.fleet import Fleet, FleetInstance
from wigeonpoint.process._metrics import InstanceMetrics

KINDS = ("primary", "replica")
pytestmark = pytest.mark.looptime(noop_cycles=0)


def scrape_values(metrics: InstanceMetrics) -> dict[str, float]:
    """Values of one scrape by name and labels."""
    lines = metrics.render([])[0].decode().splitlines()
    pairs = (line.rsplit(" ", 1) for line in lines if line and not line.startswith("#"))
    return {name: float(value) for name, value in pairs}


class TestInstanceMetrics:
    """Guards against missing counters, and against values of servers that are no longer owned."""

    async def test_counters_of_the_parts(self, idle_fleet: Fleet) -> None:
        first_instance: FleetInstance = idle_fleet.instances[0]
        metrics = InstanceMetrics(first_instance)
        idle_fleet.lose("before", "execute")
        session = (await first_instance.write("PUT a 1")).session
        await first_instance.run("GET a", session=session)
        values = scrape_values(metrics)
        assert values['wigeonpoint_retries_total{result="allowed"}'] == 1
        assert sum(values[f'wigeonpoint_reads_total{{member="{m}"}}'] for m in KINDS) == 1
        assert values['wigeonpoint_unsent_messages_total{reason="cancelled"}'] == 0
        server = 'server="plans-0"'
        assert values[f'wigeonpoint_backend_connects_total{{result="opened",{server}}}'] == 2
        assert values[f'wigeonpoint_backend_connections{{{server},use="open"}}'] == 1
        assert values[f'wigeonpoint_queue_statements{{{server},state="waiting"}}'] == 0
        first_instance.owners._owned.clear()
        assert not any(server in name for name in scrape_values(metrics))
