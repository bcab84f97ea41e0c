"""Random series of restores of the store and other faults, with calm phases between them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from tests.gateway._cluster import DATA_CENTRES, GatewayCluster

FAULTS_S = (5.0, 12.0)  # from one calm phase to the next
SETTLED_S = 4.0  # after the last fault; from then on all promises with a time limit hold
MAX_COPY_AGE_S = 9.0
MAX_PAUSE_S = 0.6

Step = Callable[[], None]


class FaultSeries:
    """Plays one series on a cluster, and collects what contradicts the promises.

    Args:
        cluster: The cluster.
        seed: Seed of the series.
        restores: Whether the store is also restored from older copies.

    Attributes:
        violations: What was seen, in order.
    """

    def __init__(self, cluster: GatewayCluster, seed: int, *, restores: bool) -> None:
        self.cluster = cluster
        self.random = random.Random(seed)
        self.violations: list[str] = []
        self._restores = restores
        self._versions = [(self.now, cluster.store.version)]  # of the store, by time
        self._running: set[asyncio.Task[None]] = set()

    @property
    def now(self) -> float:
        """Event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def steps(self) -> list[Step]:
        """What may happen next, each as likely as the others."""
        faults: list[Step] = [
            self._forget_history,
            self._lose_calls,
            self._isolate,
            self._heal,
            self._cut_store,
            self._restart,
        ]
        return [*faults, self._restore] if self._restores else faults

    def check(self) -> None:
        """Checks what must hold at any time."""

    async def check_calm(self) -> None:
        """Checks what must hold when no fault has happened for a while."""

    async def play(self, seconds: float) -> None:
        """Plays random steps, and a calm phase after every few seconds and at the end."""
        end = self.now + seconds
        steps = self.steps
        while self.now < end:
            calm_at = self.now + self.random.uniform(*FAULTS_S)
            while self.now < calm_at:
                self.random.choice(steps)()
                await self.wait(self.random.uniform(0.0, MAX_PAUSE_S))
            while self._running:
                await self.wait(MAX_PAUSE_S)
            self._end_faults()
            await self.wait(SETTLED_S)
            await self.check_calm()

    async def wait(self, seconds: float) -> None:
        """Waits, and checks what must hold at any time."""
        await asyncio.sleep(seconds)
        self._versions.append((self.now, self.cluster.store.version))
        self.check()

    def run(self, fault: Coroutine[Any, Any, None]) -> None:
        """Runs a fault that lasts, for whose end a calm phase waits."""
        task = asyncio.create_task(fault)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def _forget_history(self) -> None:
        self.cluster.store.forget_history()

    def _lose_calls(self) -> None:
        self.cluster.store.calls_lost_at = self.now

    def _isolate(self) -> None:
        self.cluster.isolate(self.random.choice(DATA_CENTRES))

    def _heal(self) -> None:
        self.cluster.network.heal()

    def _cut_store(self) -> None:
        node = self.random.choice(list(self.cluster.nodes.values()))
        node.platform.store.cut_off = not node.platform.store.cut_off

    def _end_faults(self) -> None:
        self._heal()
        for node in self.cluster.nodes.values():
            node.platform.store.cut_off = False

    def _restart(self) -> None:
        if len(self.cluster.nodes) < len(DATA_CENTRES):
            return
        name = self.random.choice(list(self.cluster.nodes))
        data_centre = self.cluster.nodes[name].data_centre
        self.cluster.kill(name)
        self.run(self._start_later(name, data_centre))

    async def _start_later(self, name: str, data_centre: str) -> None:
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        self.cluster.start(name, data_centre)

    def _restore(self) -> None:
        if not self._running:
            self.run(self._restore_copy())

    async def _restore_copy(self) -> None:
        """Restores the store from a copy some seconds old, after an outage; operators go on."""
        store = self.cluster.store
        copied_at = self.now - self.random.uniform(0.3, MAX_COPY_AGE_S)
        store.down = True
        await asyncio.sleep(self.random.choice([0.0, 0.3, 1.0, 3.0]))
        known = [version for at, version in self._versions if at <= copied_at]
        store.restore(known[-1] if known else self._versions[0][1])
        store.down = False
        self._versions = [(self.now, store.version)]
        await asyncio.sleep(self.random.choice([0.0, 0.1, 0.3, 0.8]))
        self.cluster.rewrite_configuration()
