"""Random series of changes of the configuration, restores of the store and faults, with checks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from tests.gateway._cluster import DATA_CENTRES, ROUTES, SERVICE, GatewayCluster
from wigeonpoint.process.gateway import Gateway

SETTLED_S = 4.0  # after the last fault; from then on a change must be active in time
FAULTS_S = (5.0, 12.0)  # from one calm phase to the next
CALM_CHANGES = 2
APPLY_S = 3.0  # an acknowledged change is active on all instances within this time
CHANGE_WEIGHT = 6  # changes for each fault of a kind
MAX_COPY_AGE_S = 9.0
MAX_PAUSE_S = 0.6


class ChangeSeries:
    """Plays one series on a cluster, and collects what contradicts the promises.

    Args:
        cluster: The cluster.
        seed: Seed of the series.
        restores: Whether the store is also restored from older copies.

    Attributes:
        violations: What was seen, in order.
    """

    def __init__(self, cluster: GatewayCluster, seed: int, *, restores: bool) -> None:
        self._cluster = cluster
        self._random = random.Random(seed)
        self._versions = [(self._now, cluster.store.version)]  # of the store, by time
        self._newest: dict[Gateway, int] = {}
        self._running: set[asyncio.Task[None]] = set()
        self._steps: list[Callable[[], None]] = [
            *[self._change] * CHANGE_WEIGHT,
            self._forget_history,
            self._lose_calls,
            self._isolate,
            self._heal,
            self._cut_store,
            self._restart,
        ]
        if restores:
            self._steps.append(self._restore)
        self.violations: list[str] = []

    async def play(self, seconds: float) -> None:
        """Plays random steps, and a calm phase after every few seconds and at the end."""
        end = self._now + seconds
        while self._now < end:
            calm_at = self._now + self._random.uniform(*FAULTS_S)
            while self._now < calm_at:
                self._random.choice(self._steps)()
                await self._wait(self._random.uniform(0.0, MAX_PAUSE_S))
            await self._play_calm_phase()

    async def _play_calm_phase(self) -> None:
        """Ends all faults, and checks that changes are active in time from then on."""
        while self._running:
            await self._wait(MAX_PAUSE_S)
        self._end_faults()
        await self._wait(SETTLED_S)
        for _ in range(CALM_CHANGES):
            self._change()
            await self._wait(APPLY_S)
            self._check_newest()

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _wait(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self._versions.append((self._now, self._cluster.store.version))
        self._check()

    def _check(self) -> None:
        """Checks that no instance reverts to an older version."""
        for name, node in self._cluster.nodes.items():
            version = node.gateway.view.catalogue().version
            newest = self._newest.get(node.gateway, 0)
            if version < newest:
                self.violations.append(f"{self._now:.2f} s: {name} from {newest} to {version}")
            self._newest[node.gateway] = max(version, newest)

    def _check_newest(self) -> None:
        """Checks that the newest version is active on all instances."""
        expected = self._cluster.config_version
        for name, node in self._cluster.nodes.items():
            version = node.gateway.view.catalogue().version
            if version != expected:
                self.violations.append(f"{self._now:.2f} s: {name} at {version}, not {expected}")

    def _change(self) -> None:
        number = self._cluster.config_version
        self._cluster.configure({**ROUTES, f"added{number}": (SERVICE, "CURRENT")})

    def _forget_history(self) -> None:
        self._cluster.store.forget_history()

    def _lose_calls(self) -> None:
        self._cluster.store.calls_lost_at = self._now

    def _isolate(self) -> None:
        self._cluster.isolate(self._random.choice(DATA_CENTRES))

    def _heal(self) -> None:
        self._cluster.network.heal()

    def _cut_store(self) -> None:
        node = self._random.choice(list(self._cluster.nodes.values()))
        node.platform.store.cut_off = not node.platform.store.cut_off

    def _end_faults(self) -> None:
        self._heal()
        for node in self._cluster.nodes.values():
            node.platform.store.cut_off = False

    def _restart(self) -> None:
        if len(self._cluster.nodes) < len(DATA_CENTRES):
            return
        name = self._random.choice(list(self._cluster.nodes))
        data_centre = self._cluster.nodes[name].data_centre
        self._cluster.kill(name)
        self._run(self._start_later(name, data_centre))

    async def _start_later(self, name: str, data_centre: str) -> None:
        await asyncio.sleep(self._random.uniform(0.3, 3.0))
        self._cluster.start(name, data_centre)

    def _restore(self) -> None:
        if not self._running:
            self._run(self._restore_copy())

    async def _restore_copy(self) -> None:
        """Restores the store from a copy some seconds old, after an outage; operators go on."""
        store = self._cluster.store
        copied_at = self._now - self._random.uniform(0.3, MAX_COPY_AGE_S)
        store.down = True
        await asyncio.sleep(self._random.choice([0.0, 0.3, 1.0, 3.0]))
        known = [version for at, version in self._versions if at <= copied_at]
        store.restore(known[-1] if known else self._versions[0][1])
        store.down = False
        self._versions = [(self._now, store.version)]
        await asyncio.sleep(self._random.choice([0.0, 0.1, 0.3, 0.8]))
        self._cluster.rewrite_configuration()

    def _run(self, fault: Coroutine[Any, Any, None]) -> None:
        """Runs a fault that lasts, for whose end a calm phase waits."""
        task = asyncio.create_task(fault)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
