"""Random series of changes of the configuration among faults."""

from __future__ import annotations

from tests.gateway._cluster import ROUTES, SERVICE, GatewayCluster
from tests.gateway._fault_series import FaultSeries, Step
from wigeonpoint.process.gateway import Gateway

CALM_CHANGES = 2
APPLY_S = 3.0  # an acknowledged change is active on all instances within this time
CHANGE_WEIGHT = 6  # changes for each fault of a kind


class ChangeSeries(FaultSeries):
    """Changes the configuration among faults; it must never revert, and be active in time."""

    def __init__(self, cluster: GatewayCluster, seed: int, *, restores: bool) -> None:
        super().__init__(cluster, seed, restores=restores)
        self._newest: dict[Gateway, int] = {}

    @property
    def steps(self) -> list[Step]:
        """Changes and faults."""
        return [*[self._change] * CHANGE_WEIGHT, *super().steps]

    def check(self) -> None:
        """Checks that no instance reverts to an older version."""
        for name, node in self.cluster.nodes.items():
            version = node.gateway.view.catalogue().version
            newest = self._newest.get(node.gateway, 0)
            if version < newest:
                self.violations.append(f"{self.now:.2f} s: {name} from {newest} to {version}")
            self._newest[node.gateway] = max(version, newest)

    async def check_calm(self) -> None:
        """Checks that changes are active on all instances in time."""
        for _ in range(CALM_CHANGES):
            self._change()
            await self.wait(APPLY_S)
            expected = self.cluster.config_version
            for name, node in self.cluster.nodes.items():
                version = node.gateway.view.catalogue().version
                if version != expected:
                    self.violations.append(f"{self.now:.2f} s: {name} at {version}, not {expected}")

    def _change(self) -> None:
        number = self.cluster.config_version
        self.cluster.configure({**ROUTES, f"added{number}": (SERVICE, "CURRENT")})
