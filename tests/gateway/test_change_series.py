"""Random series of changes and faults, of which each seed gives the same verdict every time."""

from __future__ import annotations

import pytest

from tests.gateway._change_series import ChangeSeries
from tests.gateway._cluster import GatewayCluster

pytestmark = pytest.mark.looptime(noop_cycles=0)

SERIES_S = 25.0
SEEDS = (
    1,
    2,
    28,
)  # 28: an instance took a copy that it could not read again for the newest version
SMALL_FLEET = 4
LARGE_FLEET = 11  # instances; more than all watch each other


class TestChanges:
    """Changes of the configuration stay active, and become active in time."""

    @pytest.mark.parametrize("restores", [False, True])
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_small_fleet_keeps_to_acknowledged_changes(
        self, seed: int, restores: bool
    ) -> None:
        """Guards against instances that revert or miss a change when faults overlap."""
        await self.play(SMALL_FLEET, seed, restores=restores)

    @pytest.mark.parametrize("restores", [False, True])
    async def test_large_fleet_keeps_to_acknowledged_changes(self, restores: bool) -> None:
        """Guards against the same where instances copy the configuration from one another."""
        await self.play(LARGE_FLEET, 1, restores=restores)

    async def play(self, size: int, seed: int, *, restores: bool) -> None:
        """Plays a series on a fleet, which must not contradict the promises."""
        async with GatewayCluster() as cluster:
            await cluster.grow(size)
            series = ChangeSeries(cluster, seed, restores=restores)
            await series.play(SERIES_S)
            assert not series.violations
