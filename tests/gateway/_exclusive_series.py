"""Random series of registrations, deregistrations, cuts and changes of primary."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from tests.gateway._cluster import DATA_CENTRES, GatewayCluster
from tests.gateway._fault_series import FaultSeries, Step
from tests.gateway._primary_use import PrimaryUse

RESTART_S = (0.3, 3.0)
CUT_S = (0.5, 14.0)
OUTAGE_S = (0.2, 5.0)  # of the store for all; nothing can change meanwhile
CRASH_S = (0.5, 5.0)
LEAVING_S = (1.0, 7.0)
NEIGHBOUR = "h-chur"


class ExclusiveSeries(FaultSeries):
    """Instances register and deregister among cuts, outages of the store and changes of primary.

    The check is one promise alone: no statement that is sent after a promotion is served by a
    replaced primary.
    """

    def __init__(self, cluster: GatewayCluster, seed: int, *, restores: bool) -> None:
        super().__init__(cluster, seed, restores=restores)
        self._uses: list[PrimaryUse] = []
        self._changing = False

    @property
    def served(self) -> int:
        """Number of statements that were served."""
        return sum(use.served for use in self._uses)

    @property
    def steps(self) -> list[Step]:
        """What may happen next."""
        return [
            *[self._stop_some, self._cut_data_centre, self._cut_instance] * 2,
            self._cut_primary_during_restarts,
            self._change_primary_during_cut,
            *[self._change_primary] * 3,
            self._kill_instance,
            self._cut_store_of_some,
            self._stop_store,
            self._delay_commit,
        ]

    async def play(self, seconds: float) -> None:
        """Plays faults while all instances use the primary."""
        self.cluster.start(NEIGHBOUR, "chur")
        await self.wait(1.0)
        self._uses = [PrimaryUse(self.cluster, name) for name in list(self.cluster.nodes)]
        tasks = [asyncio.create_task(use.run(10 * seconds)) for use in self._uses]
        await super().play(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for use in self._uses:
            self.violations.extend(use.violations)

    def _stop_some(self) -> None:
        """Has instances stop and start again, as a rolling restart does."""
        names = list(self.cluster.nodes)
        for name in self.random.sample(names, self.random.randint(0, max(len(names) - 1, 0))):
            self.run(self._restart_instance(name, graceful=True))

    def _cut_primary_during_restarts(self) -> None:
        """Cuts the primary's data centre off about when the instances elsewhere are restarting."""
        data_centre = self.cluster.group.leader().record.data_centre
        for name, node in list(self.cluster.nodes.items()):
            if node.data_centre != data_centre:
                self.run(self._restart_instance(name, graceful=True))
        self.run(self._cut_data_centre_later(data_centre, self.random.uniform(1.0, 5.0)))

    async def _cut_data_centre_later(self, data_centre: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._cut_for_a_while(self.cluster.network.cuts, _around(data_centre))

    def _change_primary_during_cut(self) -> None:
        """Cuts an instance off for so long that others deregister it, and replaces the primary."""
        if self.cluster.nodes:
            self._cut_instance()
            self.run(self._change_primary_later(self.random.uniform(5.0, 12.0)))

    async def _change_primary_later(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._change_primary()

    def _kill_instance(self) -> None:
        if len(self.cluster.nodes) > 1:
            name = self.random.choice(list(self.cluster.nodes))
            self.run(self._restart_instance(name, graceful=False))

    async def _restart_instance(self, name: str, *, graceful: bool) -> None:
        node = self.cluster.nodes[name]
        if graceful:
            await node.gateway.drain()
        if self.cluster.nodes.get(name) is not node:
            return  # it was ended meanwhile
        self.cluster.kill(name)
        await asyncio.sleep(self.random.uniform(*RESTART_S))
        if name not in self.cluster.nodes:
            self.cluster.start(name, node.data_centre)

    def _cut_data_centre(self) -> None:
        name = self.random.choice(
            [*DATA_CENTRES, self.cluster.group.leader().record.data_centre, "chur"]
        )
        self.run(self._cut_for_a_while(self.cluster.network.cuts, _around(name)))

    def _cut_instance(self) -> None:
        """Cuts an instance off from other instances, and mostly from the store as well."""
        if not self.cluster.nodes:
            return
        names = [f"{name}:1" for name in self.cluster.nodes]
        name = self.random.choice(names)
        others = [other for other in names if other != name and self.random.random() < 0.8]
        pairs = {frozenset((name, other)) for other in others}
        self.run(self._cut_for_a_while(self.cluster.network.cut_peers, pairs))
        if self.random.random() < 0.8:
            self._cut_stores([name.removesuffix(":1")])

    def _cut_store_of_some(self) -> None:
        names = [name for name in self.cluster.nodes if self.random.random() < 0.5]
        self._cut_stores(names)

    def _cut_stores(self, names: list[str]) -> None:
        clients = [self.cluster.nodes[name].platform.store for name in names]
        for client in clients:
            client.cut_off = True

        def end() -> None:
            for client in clients:
                client.cut_off = False

        self.run(self._end_later(end, CUT_S))

    def _stop_store(self) -> None:
        self.cluster.store.down = True

        def end() -> None:
            self.cluster.store.down = False

        self.run(self._end_later(end, OUTAGE_S))

    async def _end_later(self, end: Callable[[], None], seconds: tuple[float, float]) -> None:
        await asyncio.sleep(self.random.uniform(*seconds))
        end()

    async def _cut_for_a_while(self, cuts: set[frozenset[str]], pairs: set[frozenset[str]]) -> None:
        cuts |= pairs
        await asyncio.sleep(self.random.uniform(*CUT_S))
        cuts -= pairs

    def _end_faults(self) -> None:
        super()._end_faults()
        self.cluster.network.cut_peers.clear()
        self.cluster.store.down = False

    def _delay_commit(self) -> None:
        self.cluster.store.late_commits = [self.random.uniform(0.2, 4.0)]

    def _change_primary(self) -> None:
        if not self._changing:
            self.run(self._change_primary_for_a_while())

    async def _change_primary_for_a_while(self) -> None:
        """Has the primary crash or leave, and come back."""
        self._changing = True
        member = self.cluster.group.leader()
        if self.random.random() < 0.5:
            member.running = False
            await asyncio.sleep(self.random.uniform(*CRASH_S))
            self.cluster.group.start_again(member)
        else:
            self.cluster.announce_shutdown(member)
            await asyncio.sleep(self.random.uniform(*LEAVING_S))
            started_ms = member.record.born_ms + 1
            member.record = replace(member.record, leaving=False, born_ms=started_ms)
        self._changing = False


def _around(data_centre: str) -> set[frozenset[str]]:
    """The pairs that are cut when a data centre is cut off."""
    others = {*DATA_CENTRES, "platform"} - {data_centre}
    return {frozenset((data_centre, other)) for other in others}
