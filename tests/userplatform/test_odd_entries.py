"""Entries among those of the members that another writer has left."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import orjson
import pytest

from tests.userplatform._deployment import CONFIG, SERVICE, Deployment
from tests.userplatform._gateway_process import GatewayProcess
from tests.userplatform._servers import MemberServer, PlatformServer
from wigeonpoint.events import Event
from wigeonpoint.platform._tables import RowDecoder
from wigeonpoint.services import VersionedRow

VALID: dict[str, Any] = {
    "serviceName": SERVICE,
    "address": "127.0.0.1:8286",
    "zone": "chur",
    "configVersion": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "dbRole": "replica",
    "sequence": 1,
    "born": 1_700_000_000_000,
}
LARGE_NUMBER = b"9" * 400
ODD_FIELDS = {
    "slots of 400 digits": (b'"slots":2', b'"slots":' + LARGE_NUMBER),
    "slots of 10^18": (b'"slots":2', b'"slots":1000000000000000000'),
    "no slots": (b'"slots":2', b'"slots":0'),
    "infinite warm-up": (b'"warmupLeftMs":0', b'"warmupLeftMs":1e999'),
    "warm-up that is no number": (b'"warmupLeftMs":0', b'"warmupLeftMs":NaN'),
    "negative warm-up": (b'"warmupLeftMs":0', b'"warmupLeftMs":-1e308'),
    "start of 400 digits": (b'"born":1700000000000', b'"born":' + LARGE_NUMBER),
    "negative start": (b'"born":1700000000000', b'"born":-' + LARGE_NUMBER),
    "port out of range": (b":8286", b":82860"),
    "port in other digits": (b":8286", ":٨٢٨٦".encode()),
    "host name": (b"127.0.0.1", b"localhost"),
    "host with a NUL": (b"127.0.0.1", b"127.0.0.1\\u0000"),
    "long host": (b"127.0.0.1", b"1" * 70_000),
    "service with a line end": (SERVICE.encode(), b"a\\r\\nQUERY q WRITE a b"),
    "service outside Latin-1": (SERVICE.encode(), "база".encode()),
    "long zone": (b'"chur"', b'"' + b"c" * 70_000 + b'"'),
    "deep nesting": (b'"sequence":1', b'"sequence":' + b"[" * 100_000 + b"]" * 100_000),
    "open nesting": (b'"sequence":1', b'"sequence":' + b"[" * 100_000),
}
ODD_KEYS = ["i-база", "i-\r\nQUERY q WRITE a b", "i a", "", "i" * 201]
FOLLOWED_S = 15.0  # the first time includes the start of the process
LOGGED_AT_MOST = 30  # lines of unreadable rows, within one interval


def odd_values() -> list[bytes]:
    """Rows that differ from a valid one in one field."""
    valid = orjson.dumps(VALID)
    return [valid.replace(*change) for change in ODD_FIELDS.values()]


def decode(key: str, value: bytes) -> Any:
    """Decodes a member's row."""
    return RowDecoder(clock=lambda: 0.0).member(VersionedRow("servers", key, value, 1))


def unreadable_lines(caplog: pytest.LogCaptureFixture) -> int:
    """Number of log lines about unreadable rows."""
    number = Event.ROW_UNREADABLE.number
    return sum(getattr(record, "event", None) == number for record in caplog.records)


class TestDecoder:
    """Decoding of single rows."""

    def test_valid_entry_names_a_member(self) -> None:
        """Guards against bounds that shut members out."""
        assert decode("i-1", orjson.dumps(VALID)) is not None
        assert decode("i-1", orjson.dumps(VALID | {"warmupLeftMs": -2.5})) is not None

    @pytest.mark.parametrize("change", ODD_FIELDS.values(), ids=ODD_FIELDS)
    def test_entry_with_an_odd_field_names_no_member(self, change: tuple[bytes, bytes]) -> None:
        """Guards against values that other parts of the program cannot handle."""
        value = orjson.dumps(VALID).replace(*change)
        assert value != orjson.dumps(VALID)
        assert decode("i-1", value) is None

    @pytest.mark.parametrize("key", ODD_KEYS)
    def test_entry_with_an_odd_key_names_no_member(self, key: str) -> None:
        """Guards against ids that cannot be sent to a member, or that carry further messages."""
        assert decode(key, orjson.dumps(VALID)) is None

    def test_many_odd_entries_are_logged_a_few_times(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against a log that another writer fills."""
        times = [0.0]
        decoder = RowDecoder(clock=lambda: times[-1])
        for number in range(1000):
            decoder.member(VersionedRow("servers", f"i-{number}", b"{", number))
        assert 0 < unreadable_lines(caplog) <= LOGGED_AT_MOST
        times.append(60.0)
        decoder.member(VersionedRow("servers", "i-last", b"{", 1000))
        assert caplog.records[-1].left_out > 900  # type: ignore[attr-defined]


class TestGateway:
    """A gateway whose member table has odd entries."""

    async def test_odd_entries_hinder_no_change_of_primary(self, deployment: Deployment) -> None:
        """Guards against a group that is not looked after because one entry raises an error."""
        for number, value in enumerate(odd_values()):
            deployment.platform.store.put("servers", f"i-odd-{number}", value)
        for key in ODD_KEYS:
            deployment.platform.put("servers", key, VALID)
        await asyncio.sleep(0.5)
        deployment.members["chur"].crash()
        await deployment.wait_until(lambda: deployment.group.promotions == 1)
        await self._assert_writes(deployment)

    async def test_members_are_followed_while_entries_turn_odd_and_back(
        self, deployment: Deployment, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against a table that is no longer followed after odd entries."""
        odd = odd_values()
        member = deployment.group.members["i-sargans"]
        for number in range(200):
            deployment.platform.store.put("servers", "i-sargans", odd[number % len(odd)])
            if number % 10 == 0:
                await asyncio.sleep(0.02)
        deployment.platform.put_member(member)
        added = deployment.group.add("i-added", "chur")
        server = deployment.members["added"] = MemberServer(deployment.group, added)
        await server.start()
        deployment.platform.put_member(added)
        assert deployment.gateway is not None
        group = deployment.gateway.view.group(SERVICE)
        await deployment.wait_until(
            lambda: {"i-sargans", "i-added"} <= {pool.record.id for pool in group.pools}
        )
        assert unreadable_lines(caplog) <= LOGGED_AT_MOST
        await self._assert_writes(deployment)

    async def _assert_writes(self, deployment: Deployment) -> None:
        """Checks that a write is served within a few attempts."""
        caller = await deployment.connect_caller()
        await caller.send("CONNECT orders u1")
        for number in range(20):
            answer = await caller.send(f"QUERY w{number} WRITE a {number}")
            if answer[0].startswith("COMPLETE"):
                return
            await asyncio.sleep(0.1)
        pytest.fail(f"no write was served: {answer}")


class TestProcess:
    """`wigeonpoint gateway` as a process of its own, whose member table has odd entries."""

    async def test_process_goes_on_and_follows_the_table(self, tmp_path: Path) -> None:
        """Guards against a process that ends, or stops following the table, at an odd entry."""
        platform = PlatformServer({})
        platform.start()
        platform.put("op", "config", CONFIG)
        gateway = GatewayProcess(tmp_path, int(platform.address.rpartition(":")[2]))
        try:
            for round_number in range(3):
                for number, value in enumerate(odd_values()):
                    platform.store.put("servers", f"i-odd-{number}", value)
                for key in ODD_KEYS:
                    platform.put("servers", key, VALID)
                platform.put("servers", f"i-good-{round_number}", VALID)
                await self._wait_for_member(gateway, f"i-good-{round_number}")
            assert gateway.process.poll() is None
            assert "i-odd" not in await asyncio.to_thread(gateway.scrape)
        finally:
            gateway.process.kill()
            gateway.process.wait()
            platform.stop()

    async def _wait_for_member(self, gateway: GatewayProcess, member: str) -> None:
        async with asyncio.timeout(FOLLOWED_S):
            while f'member="{member}"' not in await asyncio.to_thread(gateway.scrape):
                await asyncio.sleep(0.1)
