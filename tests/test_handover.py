"""Changes of ownership, backend servers that leave, and graceful shutdown."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from tests.fakes import FakeBackend
from tests.fleet import Fleet, FleetInstance
from wigeonpoint.connection import BackendPool
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.services import ListingState
from wigeonpoint.standins import MemberOptions

LIMIT = 4
NAMES = ["chur-1", "chur-2", "chur-3"]
pytestmark = pytest.mark.looptime(noop_cycles=0)


async def _settle(fleet: Fleet) -> None:
    """Starts three instances and a group of three members with few connections."""
    fleet.add_members(["chur"] * 3, MemberOptions(connection_limit=LIMIT, statement_ms=5))
    await fleet.put_rows()
    for name in NAMES:
        fleet.add(name, "chur")
    await fleet.wait_agreed(*NAMES, limit=20)
    await asyncio.sleep(3)


def _owner(fleet: Fleet, server_id: str = "plans-0") -> str:
    core = next(iter(fleet.cores.values()))
    server = core.topology.group("plans").server(server_id)
    assert server is not None
    return core.topology.owner_of(server).id


class TestHandover:
    """Backend servers whose owner changes."""

    async def test_change_of_owner_under_load_loses_and_repeats_nothing(self, fleet: Fleet) -> None:
        """Guards against refused connections that fail requests, and against a second execution."""
        await _settle(fleet)
        former_owner = _owner(fleet)
        acknowledged: Counter[int] = Counter()
        ending = False

        async def add(worker: int) -> None:
            while not ending:
                core = fleet.cores[NAMES[worker % len(NAMES)]]
                await core.write(f"ADD k{worker} 1", deadline=5.0)
                acknowledged[worker] += 1

        workers = [asyncio.create_task(add(worker)) for worker in range(24)]
        await asyncio.sleep(2)
        await fleet.cores[former_owner].swim.announce_leaving()
        await asyncio.sleep(4)
        ending = True
        await asyncio.gather(*workers)
        member = fleet.network.members["plans-0"]
        assert _owner(fleet) != former_owner
        assert {f"k{worker}": count for worker, count in acknowledged.items()} == member.data
        assert min(acknowledged.values()) > 10
        assert member.peak_connections <= LIMIT
        await asyncio.sleep(2)
        assert "plans-0" not in fleet.cores[former_owner].owners.owned_servers

    async def test_new_owner_waits_for_the_former_owners_connections(self, fleet: Fleet) -> None:
        """Guards against a refused connection that fails the request before its deadline."""
        await _settle(fleet)
        member, loop = fleet.network.members["plans-0"], asyncio.get_running_loop()
        pool = BackendPool(FakeBackend(fleet.network, "chur"), "plans-0", limit=LIMIT)
        member.connections += LIMIT  # held by a former owner
        started = loop.time()
        loop.call_later(1.0, setattr, member, "connections", 0)
        connection = await pool.acquire(deadline=started + 3)
        assert 1.0 <= loop.time() - started <= 1.5
        connection.close()

    async def test_open_transaction_ends_at_the_former_owner(self, fleet: Fleet) -> None:
        """Guards against a transaction that is interrupted when the owner changes."""
        await _settle(fleet)
        former_owner, core = _owner(fleet), fleet.cores["chur-1"]
        transaction_id, begun = await core.begin(deadline=30)
        await fleet.cores[former_owner].swim.announce_leaving()
        await asyncio.sleep(4)
        await core.put(transaction_id, "PUT t 1", begun.session)
        await core.commit(transaction_id, begun.session)
        await asyncio.sleep(2)
        assert fleet.network.members["plans-0"].data["t"] == "1"
        assert fleet.cores[former_owner].owners.owned_servers == []
        assert fleet.network.members["plans-0"].connections == 0

    async def test_begin_waits_for_the_views_to_agree(self, fleet: Fleet) -> None:
        """Guards against a begin that fails because its instance still knows the former owner."""
        await _settle(fleet)
        owner, topology = _owner(fleet), fleet.cores["chur-1"].topology
        known = topology.instances
        topology.set_instances([record for record in known if record.id != owner])
        asyncio.get_running_loop().call_later(0.5, topology.set_instances, known)
        await fleet.cores["chur-1"].begin(deadline=5)
        assert sum(core.owners.open_transactions for core in fleet.cores.values()) == 1


async def _read_members(core: FleetInstance, session: str | None) -> set[str | None]:
    """Members that serve twenty reads of a session, whose replicas are chosen at random."""
    answers = [await core.run("GET a", session=session, deadline=5.0) for _ in range(20)]
    return {answer.served_by for answer in answers}


class TestLeavingServer:
    """Backend servers that leave."""

    @pytest.mark.parametrize("listed", [True, False])
    async def test_leaving_replica_gets_no_new_reads(self, fleet: Fleet, listed: bool) -> None:
        """Guards against reads at a server that is listed as leaving or reports that it leaves."""
        await _settle(fleet)
        core = fleet.cores["chur-1"]
        session = (await core.write("PUT a 1", deadline=5.0)).session
        await asyncio.sleep(0.5)
        assert "plans-1" in await _read_members(core, session)
        if listed:
            fleet.list_member("plans-1", ListingState.LEAVING)
        else:
            fleet.network.members["plans-1"].options.leaving = True
        await asyncio.sleep(3)
        for name in NAMES:
            assert "plans-1" not in await _read_members(fleet.cores[name], session)
        assert "plans-2" in await _read_members(core, session)


class TestDrain:
    """Graceful shutdown of the core."""

    async def test_waits_for_callers_requests_and_transactions(self, fleet: Fleet) -> None:
        """Guards against closing while the load balancer still sends or a transaction is open."""
        await _settle(fleet)
        core = fleet.cores["chur-1"]
        transaction_id, begun = await core.begin(deadline=30)
        owner_core = fleet.cores[_owner(fleet)]
        draining = asyncio.create_task(owner_core.finish_work())
        for _ in range(5):
            await asyncio.sleep(1)
            assert not owner_core.ready
            owner_core.drain.note_arrival(request := _Request())
            owner_core.drain.require_accepting()
            owner_core.drain.forget_arrival(request)
        await asyncio.sleep(2.5)
        assert not draining.done()  # the transaction is still open
        with pytest.raises(NotRun) as refused:
            owner_core.drain.require_accepting()
        assert refused.value.code is ResultCode.INSTANCE_STOPPING
        await core.commit(transaction_id, begun.session)
        await asyncio.sleep(0.2)
        assert draining.done()

    async def test_wait_for_callers_is_bounded(self, fleet: Fleet) -> None:
        """Guards against a shutdown that never ends because the load balancer keeps sending."""
        await _settle(fleet)
        core, loop = fleet.cores["chur-1"], asyncio.get_running_loop()
        started = loop.time()
        draining = asyncio.create_task(core.finish_work())
        while not draining.done():
            core.drain.note_arrival(request := _Request())
            core.drain.forget_arrival(request)
            await asyncio.sleep(0.5)
        assert loop.time() - started <= core.settings.drain_seconds + 1


class _Request:
    """Stands for an HTTP request."""
