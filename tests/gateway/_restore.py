"""Takes the store of a cluster away and restores it from an older copy."""

from __future__ import annotations

import asyncio

from tests.gateway._cluster import GatewayCluster

OUTAGE_S = 2.0
REWRITE_S = 0.3  # after the outage, operators and members have written their rows again


async def restore(
    cluster: GatewayCluster, copied_at: int, *, outage_s: float = OUTAGE_S, rewrite: bool = True
) -> None:
    """Takes the store away, restores it, and has operators and members write their rows again."""
    cluster.store.down = True
    await asyncio.sleep(outage_s)
    cluster.store.restore(copied_at)
    cluster.store.down = False
    if rewrite:
        await asyncio.sleep(REWRITE_S)
        cluster.rewrite_configuration()
