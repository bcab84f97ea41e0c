"""Changes of a primary that announces its shutdown."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway._cluster import Caller, GatewayCluster, assert_logged_once, write_values
from wigeonpoint.request.session import Refusal

pytestmark = pytest.mark.looptime(noop_cycles=0)


class TestPlannedChange:
    """A primary that announces its shutdown and keeps running."""

    async def test_no_acknowledged_write_is_lost_or_committed_after_the_change(self) -> None:
        """Guards against writes at a primary that has already been replaced."""
        async with GatewayCluster() as cluster:
            callers = [await cluster.caller(f"g-{dc}", "current") for dc in ("chur", "sargans")]
            served: list[str] = []

            async def write_all(caller: Caller, name: str) -> None:
                for number in range(60):
                    value = f"{name}{number}"
                    if (await caller.query(f"WRITE a {value}", statement_id=value)).served:
                        served.append(value)
                    await asyncio.sleep(0.03)

            writers = [
                asyncio.create_task(write_all(caller, name))
                for caller, name in zip(callers, "xy", strict=True)
            ]
            await asyncio.sleep(0.3)
            cluster.announce_shutdown(cluster.member("chur"))
            await asyncio.gather(*writers)
            log = [entry.value for entry in cluster.group.leader().log]
            assert cluster.group.leader().record.id != "m-chur"
            assert sorted(log) == sorted(set(log))
            assert set(served) <= set(log)
            assert not set(cluster.group.commits_after_replacement) & set(served)

    async def test_writes_and_reads_continue_while_the_candidate_is_promoted(self) -> None:
        """Guards against a group that refuses everything while the platform promotes a member."""
        async with GatewayCluster() as cluster:
            cluster.group.promote_s = 1.0
            callers = [await cluster.caller(f"g-{dc}", "current") for dc in ("chur", "sargans")]
            outcomes: list[Refusal | None] = []

            async def use(caller: Caller, name: str) -> None:
                for number in range(80):
                    text = "READ a" if number % 2 else f"WRITE a {name}{number}"
                    outcomes.append((await caller.query(text)).reply.refusal)
                    await asyncio.sleep(0.02)

            users = [
                asyncio.create_task(use(caller, name))
                for caller, name in zip(callers, "xy", strict=True)
            ]
            await asyncio.sleep(0.2)
            cluster.announce_shutdown(cluster.member("chur"))
            await asyncio.gather(*users)
            assert cluster.group.leader().record.id != "m-chur"
            assert outcomes.count(None) >= len(outcomes) - len(callers)
            # The outcome of a statement that runs at the moment of the promotion is unknown.
            assert set(outcomes) <= {None, Refusal.IN_DOUBT}

    async def test_candidate_that_receives_nothing_confirms_no_commit(self) -> None:
        """Guards against acknowledged writes that a promotion discards."""
        async with GatewayCluster() as cluster:
            cluster.group.promote_s = 1.0
            caller = await cluster.caller("g-sargans", "current")
            values = await write_values(caller, 3)
            cluster.announce_shutdown(cluster.member("chur"))
            while not cluster.promotion_calls:
                await asyncio.sleep(0.01)
            for other in ("stgallen", "sargans"):
                cluster.network.cut("chur", other)  # no replica receives the log
            inside = await cluster.caller("g-chur", "current")
            served = []
            for number in range(20):
                if (await inside.query(f"WRITE a late{number}")).served:
                    served.append(f"late{number}")
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            assert_logged_once(cluster, values + served)

    async def test_writes_continue_while_an_instance_restarts(self) -> None:
        """Guards against a planned change that stops writes because an instance is missing."""
        async with GatewayCluster() as cluster:
            caller = await cluster.caller("g-sargans", "current")
            cluster.kill("g-stgallen")
            await asyncio.sleep(0.5)
            cluster.announce_shutdown(cluster.member("chur"))
            refused = 0
            for number in range(60):
                if number == 40:
                    cluster.start("g-stgallen", "stgallen")
                refused += not (await caller.query(f"WRITE a {number}")).served
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            assert cluster.group.leader().record.id != "m-chur"
            assert refused <= 1

    async def test_leaving_replica_causes_no_promotion(self) -> None:
        """Guards against a needless promotion."""
        async with GatewayCluster() as cluster:
            cluster.announce_shutdown(cluster.member("sargans"))
            await asyncio.sleep(2.0)
            assert cluster.promotion_calls == []
