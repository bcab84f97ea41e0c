"""Promises proved by traces that are replayed against separate processes on the wall clock."""

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

CONCURRENT_TRACES = 4  # traces mostly wait; each runs about eight processes


async def _replay_violations(name: str) -> list[str]:
    trace = read_trace(name)
    with Cluster() as cluster:
        driver = ProcessDriver(trace, cluster)
        await driver.start()
        findings = await replay(trace, driver)
    return violations(trace, findings)


@pytest.fixture(scope="module")
def replays(request: pytest.FixtureRequest) -> Iterator[dict[str, Future[list[str]]]]:
    """Replays of the selected traces, run concurrently because each takes its full time."""
    selected = [
        name for name in PROCESS_TRACES if any(name in i.name for i in request.session.items)
    ]
    with ThreadPoolExecutor(CONCURRENT_TRACES) as executor:
        yield {name: executor.submit(asyncio.run, _replay_violations(name)) for name in selected}


class TestProcessTraces:
    """Traces with processes that are killed, paused or terminated."""

    @pytest.mark.parametrize("name", PROCESS_TRACES)
    def test_trace_ends_as_expected(self, name: str, replays: dict[str, Future[list[str]]]) -> None:
        """Guards against a promise that is broken under the faults of its trace."""
        assert replays[name].result() == []
