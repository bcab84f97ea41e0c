"""Membership of instances and distribution of the platform's directory."""

from __future__ import annotations

import asyncio

import pytest

from tests.fleet import Fleet
from wigeonpoint.process._swim_messages import DirectoryVersion, PingMessage, Versions
from wigeonpoint.services import Listing, ListingKind, ListingState
from wigeonpoint.version import MemberDelta, MemberState

CHUR = ["chur-1", "chur-2", "chur-3", "chur-4"]
SARGANS = ["sargans-1", "sargans-2", "sargans-3"]
pytestmark = pytest.mark.looptime(noop_cycles=0)


async def _settle(fleet: Fleet) -> None:
    """Starts two data centres and waits until they agree on each other."""
    for name in [*CHUR, *SARGANS]:
        fleet.add(name, name.split("-")[0])
    await fleet.wait_agreed(*CHUR, *SARGANS, limit=20)
    await asyncio.sleep(5)


class TestFailureDetection:
    """Dead and paused instances."""

    async def test_dead_instance_is_known_everywhere(self, fleet: Fleet) -> None:
        """Guards against a dead instance that counts as live because the directory lists it."""
        await _settle(fleet)
        fleet.kill("chur-2")
        rest = [name for name in [*CHUR, *SARGANS] if name != "chur-2"]
        await fleet.wait_agreed(*rest, limit=8)
        await asyncio.sleep(20)
        assert fleet.agreed(*rest)

    async def test_one_cut_pair_raises_no_suspicion(self, fleet: Fleet) -> None:
        """Guards against a suspicion because of one broken network link; peers ping indirectly."""
        await _settle(fleet)
        before = {name: core.membership.refutations for name, core in fleet.cores.items()}
        fleet.network.data_centres.update({"chur-1": "rack-1", "chur-2": "rack-2"})
        fleet.network.cut("rack-1", "rack-2")
        await asyncio.sleep(20)
        after = {name: core.membership.refutations for name, core in fleet.cores.items()}
        assert (after, fleet.agreed(*CHUR, *SARGANS)) == (before, True)

    async def test_paused_instance_refutes_after_its_death(self, fleet: Fleet) -> None:
        """Guards against an instance that stays dead after a pause above the suspicion time."""
        await _settle(fleet)
        dispatcher = fleet.cores["chur-3"].dispatcher
        fleet.cores["chur-3"].swim.close()
        dispatcher.running.clear()
        others = {name for name in [*CHUR, *SARGANS] if name != "chur-3"}
        await asyncio.sleep(8)
        assert fleet.views()["chur-1"] == others
        dispatcher.running.set()
        fleet.cores["chur-3"].swim.start()
        await fleet.wait_agreed(*CHUR, *SARGANS, limit=15)
        assert fleet.cores["chur-3"].membership.refutations > 0

    async def test_restart_at_another_address_replaces_the_record(self, fleet: Fleet) -> None:
        """Guards against requests that are sent to the address of a former process."""
        await _settle(fleet)
        fleet.kill("chur-4")
        fleet.add("chur-4", "chur", address="chur-4b")
        await asyncio.sleep(10)
        assert fleet.agreed(*CHUR, *SARGANS)
        for core in fleet.cores.values():
            addresses = {record.id: record.address for record in core.topology.instances}
            assert addresses["chur-4"] == "chur-4b"


class TestPartition:
    """Data centres that are isolated and reconnected."""

    async def test_sides_merge_again(self, fleet: Fleet) -> None:
        """Guards against two sides that consider each other dead for ever after a partition."""
        await _settle(fleet)
        fleet.network.cut("chur", "sargans")
        await asyncio.sleep(60)
        assert fleet.views()["chur-1"] == set(CHUR)
        assert fleet.views()["sargans-1"] == set(SARGANS)
        fleet.directory.available = False
        fleet.network.heal()
        await fleet.wait_agreed(*CHUR, *SARGANS, limit=30)

    async def test_healing_does_not_kill_neighbours(self, fleet: Fleet) -> None:
        """Guards against claims of the other side that remove live members of this data centre."""
        await _settle(fleet)
        fleet.network.cut("chur", "sargans")
        await asyncio.sleep(60)
        fleet.network.heal()
        for _ in range(300):
            assert set(CHUR) <= fleet.views()["chur-1"]
            await asyncio.sleep(0.1)

    async def test_own_data_centre_decides_on_its_members(self, fleet: Fleet) -> None:
        """Guards against a claim of another data centre that removes a live member of this one."""
        await _settle(fleet)
        receiver, target = fleet.cores["chur-1"], fleet.cores["chur-2"]
        versions = Versions(0, DirectoryVersion(), 0)
        claim = MemberDelta(target.record, MemberState.DEAD, target.membership.own.incarnation)
        sender = fleet.cores["sargans-1"].membership.own
        before = target.membership.refutations
        await receiver.swim.answer_ping(PingMessage(sender, versions, [claim]))
        assert "chur-2" in fleet.views()["chur-1"]
        await asyncio.sleep(2)
        assert target.membership.refutations == before + 1


class TestDirectory:
    """The platform's directory, which may be outdated or unavailable."""

    async def test_unlisted_live_instance_stays_live(self, fleet: Fleet) -> None:
        """Guards against a directory that removes a live instance."""
        await _settle(fleet)
        fleet.directory.remove("chur-1")
        await asyncio.sleep(10)
        assert fleet.agreed(*CHUR, *SARGANS)

    async def test_listed_instance_without_process_is_not_live(self, fleet: Fleet) -> None:
        """Guards against a directory that makes an instance live before it answers."""
        await _settle(fleet)
        fleet.network.data_centres["ghost"] = "chur"
        fleet.network.down.add("ghost")
        fleet.directory.replace(Listing("ghost", ListingKind.ENTRY, "ghost", "chur"))
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert fleet.agreed(*CHUR, *SARGANS)

    async def test_instance_listed_as_leaving_gets_no_ownership(self, fleet: Fleet) -> None:
        """Guards against an instance that stays in use although it is listed as leaving."""
        await _settle(fleet)
        leaving = Listing("chur-1", ListingKind.ENTRY, "chur-1", "chur", "", ListingState.LEAVING)
        fleet.directory.replace(leaving)
        await fleet.wait_agreed(*CHUR[1:], *SARGANS, limit=5)

    async def test_two_pollers_in_each_data_centre(self, fleet: Fleet) -> None:
        """Guards against every instance polling the platform's directory."""
        await _settle(fleet)
        before = fleet.directory.reads
        await asyncio.sleep(10)
        assert fleet.directory.reads - before <= 2 * 2 * 21
        listing = Listing("db-0", ListingKind.BACKEND_SERVER, "db-0", "chur", "g")
        fleet.directory.replace(listing)
        await asyncio.sleep(5)
        assert all(core.topology.groups for core in fleet.cores.values())

    async def test_start_during_platform_outage(self, fleet: Fleet) -> None:
        """Guards against an instance that needs the platform to find peers and the directory."""
        await _settle(fleet)
        fleet.directory.replace(Listing("db-0", ListingKind.BACKEND_SERVER, "db-0", "chur", "g"))
        await asyncio.sleep(5)
        fleet.directory.available = False
        started = fleet.add("sargans-9", "sargans", peers=["chur-1"])
        await fleet.wait_agreed(*CHUR, *SARGANS, "sargans-9", limit=10)
        await asyncio.sleep(2)
        assert started.swim.joined
        assert [group.name for group in started.topology.groups] == ["g"]

    async def test_leaving_instance_gets_no_ownership(self, fleet: Fleet) -> None:
        """Guards against requests that are sent to an instance which announced that it leaves."""
        await _settle(fleet)
        await fleet.cores["chur-1"].swim.announce_leaving()
        await fleet.wait_agreed(*CHUR[1:], *SARGANS, limit=3)
