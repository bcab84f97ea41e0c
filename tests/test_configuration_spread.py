"""Distribution of configurations between instances, and starts with outdated or no sources."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from tests.faulty_platform import FaultyTables
from tests.fleet import POOL, ROUTE, Fleet
from wigeonpoint.errors import ConfigurationRefused
from wigeonpoint.process._configuration_feed import ConfigurationFeed
from wigeonpoint.process._configuration_history import ConfigurationHistory
from wigeonpoint.version import ConfigurationState, Edit, RowChange, build_state

pytestmark = pytest.mark.looptime(noop_cycles=0)

BOUND_S = 5.0


def pool_edit(number: int) -> Edit:
    return Edit(f"e-{number}", [RowChange("pools", f"p-{number}", 0, POOL)])


async def started(counts: dict[str, int]) -> Fleet:
    """A fleet in which state 1 is active at every instance."""
    fleet = Fleet.with_feeds(counts)
    await fleet.tables.put("pools", plans=POOL)
    await fleet.tables.put("routes", closures=ROUTE)
    await asyncio.sleep(BOUND_S)
    assert fleet.numbers == {1}
    return fleet


async def active_numbers(feed: ConfigurationFeed) -> set[int]:
    """Numbers that are active at an instance during a second and a half."""
    seen = set()
    for _ in range(3000):
        seen.add(feed.number)
        await asyncio.sleep(0.0005)
    return seen


class TestSpread:
    """Time until a state is active at every instance."""

    async def test_edit_is_active_at_26_instances_within_the_bound(self) -> None:
        """Guards against distribution that needs the pollers; the tables are unavailable."""
        fleet = await started({"chur": 13, "sargans": 13})
        await fleet.feeds["chur-0"].edit(pool_edit(2))
        fleet.tables.unavailable = True
        await asyncio.sleep(1.0)
        assert fleet.numbers == {2}
        fleet.close()

    async def test_edit_with_a_lost_answer_is_active_at_once(self) -> None:
        """Guards against an accepted state that only the pollers would apply."""
        fleet = await started({"chur": 3})
        fleet.tables.lost_answers = 1
        result = await fleet.feeds["chur-0"].edit(pool_edit(2))
        await asyncio.sleep(0.05)
        assert result.repeated and fleet.numbers == {2}
        fleet.close()

    async def test_isolated_data_centre_catches_up_after_the_partition(self) -> None:
        """Guards against a data centre that keeps an outdated state after a partition."""
        fleet = await started({"chur": 13, "sargans": 13})
        fleet.network.cut("chur", "sargans")
        fleet.tables_by_data_centre["sargans"].down = True
        for number in (2, 3):
            await fleet.feeds["chur-3"].edit(pool_edit(number))
        await asyncio.sleep(20)
        numbers = {name.split("-")[0]: feed.number for name, feed in fleet.feeds.items()}
        assert numbers == {"chur": 3, "sargans": 1}
        fleet.network.heal()  # sargans still cannot reach the tables
        await asyncio.sleep(BOUND_S)
        assert fleet.numbers == {3}
        fleet.close()

    async def test_newer_number_of_a_peer_is_fetched(self) -> None:
        """Guards against a number on a membership ping that is ignored."""
        fleet = await started({"chur": 1, "sargans": 1})
        fleet.network.cut("chur", "sargans")
        fleet.tables_by_data_centre["sargans"].down = True
        await fleet.feeds["chur-0"].edit(pool_edit(2))
        await asyncio.sleep(3)
        fleet.network.heal()
        fleet.feeds["sargans-0"].note_number(2, "chur-0")
        await asyncio.sleep(0.01)
        assert fleet.feeds["sargans-0"].number == 2
        fleet.close()

    async def test_stale_offers_are_not_applied(self) -> None:
        """Guards against an instance that returns to an older state."""
        fleet = await started({"chur": 2})
        feed = fleet.feeds["chur-0"]
        old = feed.state
        await feed.edit(pool_edit(2))
        feed._apply(old)
        assert feed.number == 2
        feed.note_number(1, "chur-1")
        await asyncio.sleep(1)
        assert fleet.numbers == {2}
        fleet.close()

    def test_change_since_a_number_leads_to_the_state(self) -> None:
        """Guards against merged changes that miss a row, and against an unnoticed gap in them."""
        history, states = ConfigurationHistory(), [ConfigurationState()]
        for number in range(1, 5):
            pools = {f"p-{index}": POOL for index in range(number)} if number < 4 else {"q": POOL}
            states.append(build_state(number, {}, pools))
        for earlier, later in ((0, 1), (1, 2), (2, 4)):
            history.add(states[later].change_since(states[earlier]))
        for since, base in ((1, 1), (2, 2), (3, 0), (0, 0)):
            change = history.change_to(states[4], since)
            assert change.base == base
            assert states[since].apply(change).digest == states[4].digest
        with pytest.raises(ConfigurationRefused):
            states[3].apply(history.change_to(states[4], 2))


class TestStart:
    """State with which an instance starts."""

    async def test_start_during_an_outage_uses_the_state_of_a_peer(self) -> None:
        """Guards against a start that waits for the platform or uses an outdated snapshot."""
        fleet = await started({"chur": 2, "sargans": 2})
        stale = dict(fleet.feeds["chur-0"].state.document)
        await fleet.feeds["chur-0"].edit(pool_edit(2))
        await asyncio.sleep(1)
        for name in await fleet.objects.names(""):
            await fleet.objects.put(name, orjson.dumps(stale))
        fleet.tables.unavailable = True
        fleet.directory.listings = []
        feed = fleet.add_feed("chur-9", "chur", peers=["sargans-1"])
        assert await active_numbers(feed) == {0, 2}
        fleet.close()

    async def test_start_waits_for_all_sources_before_it_fetches_from_a_peer(self) -> None:
        """Guards against a start that uses the outdated state of the first peer that calls.

        The unreachable peer `gone-0` makes the comparison of sources take a second.
        """
        fleet = await started({"chur": 1, "sargans": 1})
        fleet.network.cut("chur", "sargans")
        fleet.tables_by_data_centre["sargans"].down = True
        await fleet.feeds["chur-0"].edit(pool_edit(2))
        await asyncio.sleep(1)
        fleet.objects._objects.clear()
        fleet.network.data_centres["flums-0"] = "flums"
        fleet.tables_by_data_centre["flums"] = fleet.tables_by_data_centre["sargans"]
        feed = fleet.add_feed("flums-0", "flums", peers=["chur-0", "sargans-0", "gone-0"])
        feed.note_number(1, "sargans-0")
        assert await active_numbers(feed) == {0, 2}
        fleet.close()

    async def test_tables_are_preferred_to_an_outdated_peer(self) -> None:
        """Guards against a start that uses the first source instead of the highest number."""
        fleet = await started({"chur": 1, "sargans": 1})
        for other in ("sargans", "flums"):
            fleet.network.cut("chur", other)
        fleet.tables_by_data_centre["sargans"].down = True
        await fleet.feeds["chur-0"].edit(pool_edit(2))
        fleet.tables_by_data_centre["flums"] = fleet.tables_by_data_centre["chur"]
        fleet.objects._objects.clear()
        feed = fleet.add_feed("flums-0", "flums", peers=["sargans-0"])
        assert await active_numbers(feed) == {0, 2}
        fleet.close()

    async def test_snapshot_is_used_when_nothing_else_responds(self) -> None:
        """Guards against a damaged snapshot that is used, and an intact one that is not."""
        fleet = await started({"chur": 1})
        await fleet.feeds["chur-0"].edit(pool_edit(2))
        await asyncio.sleep(1)
        damaged = {**fleet.feeds["chur-0"].state.document, "number": 9, "routes": {}}
        await fleet.objects.put("configuration-snapshot-3", orjson.dumps(damaged))
        fleet.close()
        alone = Fleet(tables=FaultyTables(unavailable=True), objects=fleet.objects)
        alone.add_feed("sargans-0", "sargans")
        await asyncio.sleep(BOUND_S)
        assert alone.numbers == {2}
        alone.close()
