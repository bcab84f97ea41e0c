"""Promises proved by traces that are replayed against separate processes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from tools.cluster import Cluster

from tests.replay import ProcessDriver, read_trace, replay
from tests.replay._replayer import violations

PROCESS_TRACES = [
    "platform-down-under-load",
    "primary-paused-and-resumed",
    "instance-paused-and-resumed",
    "primary-and-instance-killed-together",
    "instances-replaced-one-by-one",
    "transactions-while-the-primary-process-dies",
    "edits-and-a-leaving-member-process",
]


AT_A_TIME = 4  # traces mostly wait; each has about eight processes


async def _violations(name: str) -> list[str]:
    trace = read_trace(name)
    with Cluster() as cluster:
        driver = ProcessDriver(trace, cluster)
        await driver.start()
        findings = await replay(trace, driver)
    return violations(trace, findings)


@pytest.fixture(scope="module")
def found(request: pytest.FixtureRequest) -> Iterator[dict[str, Future[list[str]]]]:
    """Replays of the selected traces, several at a time, since they run on the wall clock."""
    selected = [
        name for name in PROCESS_TRACES if any(name in i.name for i in request.session.items)
    ]
    with ThreadPoolExecutor(AT_A_TIME) as executor:
        yield {name: executor.submit(asyncio.run, _violations(name)) for name in selected}


class TestProcessTraces:
    """Traces with kills, pauses and signals, on the wall clock."""

    @pytest.mark.parametrize("name", PROCESS_TRACES)
    def test_trace_ends_as_stated(self, name: str, found: dict[str, Future[list[str]]]) -> None:
        """Guards the promise that the trace names against the faults that it brings about."""
        assert found[name].result() == []
