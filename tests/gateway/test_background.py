"""Tests of background loops that meet an error which nothing expects."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.gateway._cluster import ROUTES, SERVICE, GatewayCluster
from wigeonpoint.process.gateway.control._messages import FetchTable, GatewayPing
from wigeonpoint.services import VersionedRow

pytestmark = pytest.mark.looptime(noop_cycles=0)

APPLY_S = 3.0  # an acknowledged change is active everywhere within this time
ADDED = {**ROUTES, "added": (SERVICE, "CURRENT")}


class UnexpectedError(Exception):
    """An error that the code does not handle."""


class FailingDecoder:
    """Fails once, as a defect in a decoder does, and then decodes."""

    def __init__(self, decode: Any) -> None:
        self._decode = decode
        self.failures = 0

    def __call__(self, row: VersionedRow) -> Any:
        """Decodes a row."""
        if not self.failures:
            self.failures += 1
            raise UnexpectedError
        return self._decode(row)


class TestUnexpectedErrors:
    """What an instance knows after an unexpected error in one of its loops."""

    async def test_change_whose_application_failed_is_active_in_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a feed that ends for good, so that the instance keeps its routes."""
        async with GatewayCluster() as cluster:
            node = cluster.nodes["g-chur"]
            decoder = FailingDecoder(node.platform.decode_catalogue)
            monkeypatch.setattr(node.platform, "decode_catalogue", decoder)
            cluster.configure(ADDED)
            await asyncio.sleep(APPLY_S)
            assert decoder.failures
            assert "added" in node.gateway.view.catalogue().routes

    async def test_new_member_is_known_after_its_row_failed_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an instance that never learns of members again."""
        async with GatewayCluster() as cluster:
            node = cluster.nodes["g-chur"]
            decoder = FailingDecoder(node.platform.decode_member)
            monkeypatch.setattr(node.platform, "decode_member", decoder)
            cluster.group.add("m-new", "chur")
            await asyncio.sleep(APPLY_S)
            assert decoder.failures
            assert node.gateway.view.group(SERVICE).pool("m-new") is not None

    @pytest.mark.parametrize("kind", [GatewayPing, FetchTable])
    async def test_change_comes_from_a_peer_whose_answer_failed_once(self, kind: type) -> None:
        """Guards against an instance that never pings a peer again, or copies its tables."""
        async with GatewayCluster() as cluster:
            failed_at: set[str] = set()

            async def fail_once(stage: str, address: str, message: Any) -> None:
                own = getattr(message, "sender", "g-chur") == "g-chur"
                first = stage == "answered" and address not in failed_at
                if own and first and isinstance(message, kind):
                    failed_at.add(address)
                    raise UnexpectedError

            cluster.nodes["g-chur"].platform.store.cut_off = True
            cluster.network.on_message = fail_once
            for number in range(2):
                cluster.configure({**ADDED, f"added{number}": (SERVICE, "CURRENT")})
                await asyncio.sleep(APPLY_S)
            assert failed_at
            assert "added1" in cluster.nodes["g-chur"].gateway.view.catalogue().routes
