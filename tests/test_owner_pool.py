"""Tests of the cached owners of backend servers while instances change."""

from __future__ import annotations

import random

import pytest

from wigeonpoint.backend import WebSocketBackend
from wigeonpoint.process import _owner_pool
from wigeonpoint.process._topology import Topology
from wigeonpoint.version import BackendServer, InstanceRecord, owner_of, rendezvous_weight

SEED = 11
DATA_CENTRES = ("chur", "sargans", "st-gallen")


def record(number: int, *, restarts: int = 0) -> InstanceRecord:
    """Returns an instance; a restart changes its address."""
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    return InstanceRecord(f"entry-{number}", f"10.0.{restarts}.{number}:8080", data_centre)


SERVERS = [
    BackendServer(f"db-{n}", f"10.1.0.{n}:1", DATA_CENTRES[n % len(DATA_CENTRES)], f"g{n // 3}")
    for n in range(60)
]


class TestOwnerPool:
    """Owners of backend servers while instances join, leave and restart."""

    def test_owners_equal_those_of_a_full_computation(self) -> None:
        """Guards against owners that depend on the order in which an instance saw changes.

        Makes random changes, among them data centres that lose all instances, and restarts.
        """
        source = random.Random(SEED)
        topology = Topology(record(0), WebSocketBackend())
        for _ in range(200):
            numbers = source.sample(range(24), source.randint(1, 24))
            if source.random() < 0.2:
                numbers = [n for n in numbers if n % 3] or [1]
            live = [record(n, restarts=source.randint(0, 1)) for n in numbers]
            topology.set_instances(live)
            for server in source.sample(SERVERS, 40):
                assert topology.owner_of(server) == owner_of(server, live)

    def test_one_change_hashes_each_server_at_most_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against hashing all pairs again, which blocks the event loop of a large fleet."""
        pool = _owner_pool.OwnerPool()
        live = [record(3 * number) for number in range(100)]
        pool.replace(live)
        owners = {server.id: pool.owner(server.id) for server in SERVERS}
        hashed = []

        def counting_weight(key: str, candidate: str) -> int:
            hashed.append(key)
            return rendezvous_weight(key, candidate)

        monkeypatch.setattr(_owner_pool, "rendezvous_weight", counting_weight)
        pool.replace([*live, record(300)])
        assert len(hashed) == len(SERVERS)
        hashed.clear()
        pool.replace(live)
        changed = [server.id for server in SERVERS if pool.owner(server.id) != owners[server.id]]
        assert changed == []
        assert len(set(hashed)) <= 3
