"""Measures how costs of control tasks grow with the size of a deployment; prints a JSON object.

Covers the tasks that the other tools do not measure, each at several sizes. Database members run as
separate processes and everything else in this process, so costs of peer messages include both ends.
Run from the root, for less than a minute: `PYTHONPATH=src python -m tools.measure_capacity`.
"""

from __future__ import annotations

import asyncio
import gc
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from tools.cluster import Cluster
from wigeonpoint.backend import DatabaseMember, LogPosition, MemberStatus, WebSocketBackend
from wigeonpoint.channel import ChannelHandler, JsonChannel
from wigeonpoint.connection import (
    Acknowledgement,
    AnnounceConfigurationMessage,
    AnnouncePrimaryMessage,
    ConfigurationNumberReply,
    PeerDispatcher,
    Session,
    SessionTokens,
    TokenSigner,
)
from wigeonpoint.embedded import http_platform
from wigeonpoint.process._group_probe import GroupProbe
from wigeonpoint.process._topology import Topology
from wigeonpoint.report import BurnRecorder
from wigeonpoint.request import Rank
from wigeonpoint.services import ConditionalDirectory, Listing, ListingKind
from wigeonpoint.standins import PlatformStandIn
from wigeonpoint.version import BackendServer, GroupConfirmer, GroupView, InstanceRecord

GROUP = "signplan-0"
WATCHED_GROUPS = (2, 8, 32)  # groups of 3 members
WATCH_WINDOW_S = 4.0
CHANNELS = (10, 50, 100)
ROUNDS = 40  # messages on each channel
BURN_KEYS = (100, 1_000, 3_000)
VIEWS = (100, 1_000, 2_900)
TOKEN_GROUPS = (1, 2, 5, 20)
LISTINGS = (1_040, 5_200, 10_400)
INSTANCES = (425, 850, 1_700)
SERVERS_FOR_AN_INSTANCE = 5
WAITERS = (1, 4, 16, 64)
CONFIRMATIONS = 640
TIMEOUT_S = 5.0


def slope(sizes: tuple[int, ...], values: list[float]) -> float:
    """Returns the increase of a value per unit of size."""
    return round(statistics.linear_regression(sizes, values).slope, 5)


def traced_bytes(make: Callable[[], object]) -> int:
    """Returns the memory in bytes that Python allocates for an object."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used if made is not None else 0


def resident_kib() -> int:
    """Returns the resident memory of this process in KiB."""
    lines = Path("/proc/self/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


def wire_bytes(channel: JsonChannel) -> int:
    """Returns the WebSocket bytes sent and received by a channel, without TCP/IP headers."""
    protocol: Any = channel._connection.protocol  # Tornado counts bytes only in private fields
    return int(protocol._wire_bytes_in + protocol._wire_bytes_out)


def servers_of(cluster: Cluster) -> list[BackendServer]:
    """Returns the members of the group that the cluster runs."""
    return [
        BackendServer(name, process.address, "chur", GROUP)
        for name, process in cluster.processes.items()
        if name.startswith(GROUP)
    ]


async def measure_watching(cluster: Cluster) -> dict[str, Any]:
    """Measures probes of groups: processor time, memory and bytes for each watched member."""
    rows = []
    for count in WATCHED_GROUPS:
        before = resident_kib()
        backends = [WebSocketBackend() for _ in range(count)]
        views = [GroupView(f"{GROUP}-{n}", servers_of(cluster), backends[n]) for n in range(count)]
        probes = [GroupProbe(view, view._backend) for view in views]
        for probe in probes:
            probe.update()
        await asyncio.sleep(1.0)
        channels = [
            member._channel  # type: ignore[attr-defined]
            for backend in backends
            for member in backend._members.values()
        ]
        sent, used = sum(map(wire_bytes, channels)), time.process_time()
        await asyncio.sleep(WATCH_WINDOW_S)
        rows.append(
            {
                "members": 3 * count,
                "processor_ms_per_s": round(
                    1000 * (time.process_time() - used) / WATCH_WINDOW_S, 3
                ),
                "bytes_per_s": round((sum(map(wire_bytes, channels)) - sent) / WATCH_WINDOW_S),
                "resident_kib": resident_kib() - before,
            }
        )
        for probe in probes:
            probe.close()
        for channel in channels:
            channel.close()
        await asyncio.sleep(0.2)
    sizes = tuple(int(row["members"]) for row in rows)
    names = ("processor_ms_per_s", "bytes_per_s", "resident_kib")
    slopes = {name: slope(sizes, [row[name] for row in rows]) for name in names}
    return {"rows": rows, "for_each_member": slopes}


class _PeerHandler(ChannelHandler):
    def initialize(self, dispatcher: PeerDispatcher) -> None:  # type: ignore[override]
        super().initialize()
        self.dispatcher = dispatcher

    async def respond(self, kind: str, body: Any) -> Any:
        return await self.dispatcher.respond(kind, body)


def peer_server() -> tuple[HTTPServer, str]:
    """Starts a server that answers announcements; returns it with its URL."""
    dispatcher = PeerDispatcher()

    async def acknowledge(message: AnnouncePrimaryMessage) -> Acknowledgement:
        return Acknowledgement()

    async def answer(message: AnnounceConfigurationMessage) -> ConfigurationNumberReply:
        return ConfigurationNumberReply(message.number)

    dispatcher.register(AnnouncePrimaryMessage, acknowledge)
    dispatcher.register(AnnounceConfigurationMessage, answer)
    server = HTTPServer(Application([("/peer", _PeerHandler, {"dispatcher": dispatcher})]))
    socket, port = bind_unused_port()
    server.add_socket(socket)
    return server, f"ws://127.0.0.1:{port}/peer"


async def measure_peers() -> dict[str, Any]:
    """Measures the memory of peer channels at both ends, and the cost of announcements."""
    messages = [
        AnnouncePrimaryMessage(GROUP, f"{GROUP}-1", 7, [(t, 1_000_000 * t) for t in range(1, 8)]),
        AnnounceConfigurationMessage(123_456, "10.1.1.1:8080"),
    ]
    server, url = peer_server()
    rows, channels, start = [], [], resident_kib()
    for count in CHANNELS:
        while len(channels) < count:
            channels.append(await JsonChannel.open(url, timeout=TIMEOUT_S))
        row: dict[str, Any] = {"channels": count}
        for message in messages:
            kind = type(message).__name__
            sent, used = sum(map(wire_bytes, channels)), time.process_time()
            for _ in range(ROUNDS):
                requests = [one.request(kind, message, timeout=TIMEOUT_S) for one in channels]
                await asyncio.gather(*requests)
            row[f"{kind}_both_ends_ms"] = round(
                1000 * (time.process_time() - used) / (ROUNDS * count), 4
            )
            row[f"{kind}_bytes"] = round((sum(map(wire_bytes, channels)) - sent) / (ROUNDS * count))
        row["resident_kib_both_ends"] = resident_kib() - start
        rows.append(row)
    server.stop()
    kib = slope(CHANNELS, [row["resident_kib_both_ends"] for row in rows])
    return {"rows": rows, "kib_for_each_channel_both_ends": kib}


class _CountingMember:
    def __init__(self, member: DatabaseMember) -> None:
        self._member = member
        self.calls = 0

    async def status(self, *, timeout: float) -> MemberStatus:
        self.calls += 1
        return await self._member.status(timeout=timeout)


class _CountingBackend(WebSocketBackend):
    def __init__(self) -> None:
        super().__init__()
        self.counted: dict[str, Any] = {}

    def member(self, address: str) -> DatabaseMember:
        if address not in self.counted:
            self.counted[address] = _CountingMember(super().member(address))
        member: DatabaseMember = self.counted[address]
        return member


async def measure_confirmations(cluster: Cluster) -> list[dict[str, Any]]:
    """Measures polls of members for each confirmed answer, by the number of waiting answers."""
    rows, servers = [], servers_of(cluster)
    for waiting in WAITERS:
        backend = _CountingBackend()
        confirmer = GroupConfirmer(servers, backend)
        at = (await backend.member(servers[0].address).status(timeout=TIMEOUT_S)).at

        async def confirm(
            confirmer: GroupConfirmer = confirmer, at: LogPosition = at, waiting: int = waiting
        ) -> None:
            for _ in range(CONFIRMATIONS // waiting):
                await confirmer.confirm(at, servers[0].id, timeout=TIMEOUT_S)

        used = time.process_time()
        await asyncio.gather(*(confirm() for _ in range(waiting)))
        polls = sum(member.calls for member in backend.counted.values())
        rows.append(
            {
                "answers_waiting": waiting,
                "polls_for_each_answer": round(polls / CONFIRMATIONS, 3),
                "processor_ms_for_each_answer": round(
                    1000 * (time.process_time() - used) / CONFIRMATIONS, 4
                ),
            }
        )
        confirmer.close()
    return rows


def listings(count: int) -> list[Listing]:
    """Returns listings of backend servers in 13 data centres."""
    return [
        Listing(
            f"signplan-db-{number:05d}",
            ListingKind.BACKEND_SERVER,
            f"10.{number % 13}.{number // 256}.{number % 256}:5432",
            f"data-centre-{number % 13}",
            f"signplan-db-{number // 3:04d}",
        )
        for number in range(count)
    ]


async def measure_directory() -> list[dict[str, Any]]:
    """Measures the bytes of the directory, and the processor time of reads at both ends."""
    rows = []
    for count in LISTINGS:
        server = HTTPServer(PlatformStandIn(listings(count)).application())
        socket, port = bind_unused_port()
        server.add_socket(socket)
        directory = http_platform(f"127.0.0.1:{port}").directory
        assert isinstance(directory, ConditionalDirectory)
        url = f"http://127.0.0.1:{port}/directory"
        plain = await AsyncHTTPClient().fetch(url, decompress_response=False)
        packed = await AsyncHTTPClient().fetch(
            url, decompress_response=False, headers={"Accept-Encoding": "gzip"}
        )
        used = time.process_time()
        read = await directory.list_since(None)
        changed_read_s = time.process_time() - used
        assert read is not None
        used = time.process_time()
        for _ in range(ROUNDS):
            assert await directory.list_since(read.version) is None
        rows.append(
            {
                "listings": count,
                "list_bytes": len(plain.body),
                "list_bytes_compressed": len(packed.body),
                "changed_read_both_ends_ms": round(1000 * changed_read_s, 2),
                "unchanged_read_both_ends_ms": round(
                    1000 * (time.process_time() - used) / ROUNDS, 3
                ),
            }
        )
        server.stop()
    return rows


def make_burn(keys: int) -> BurnRecorder:
    """Returns a recorder that has counted one answer for each of `keys` routes."""
    recorder = BurnRecorder()
    for number in range(keys):
        recorder.record(f"route-{number:05d}", Rank.STANDARD, good=True, now=1.0)
    return recorder


def make_views(count: int) -> list[GroupView]:
    """Returns views of groups, each with a position in term 7 of every member."""
    backend = WebSocketBackend()
    views = []
    for number in range(count):
        name = f"signplan-db-{number:04d}"
        servers = [BackendServer(f"{name}-{n}", f"10.1.{n}.1:1", "chur", name) for n in range(3)]
        view = GroupView(name, servers, backend)
        for server in servers:
            view.note_position(server.id, LogPosition(7, 1_000_000 + number))
        views.append(view)
    return views


def token_bytes(groups: int) -> int:
    """Returns the length of the token of a session that has used `groups` groups."""
    tokens = SessionTokens(TokenSigner({"k1": "secret"}, "k1", purpose="session"))
    positions = {f"signplan-db-{n:04d}": LogPosition(7, 1_000_000 + n) for n in range(groups)}
    return len(tokens.encode(Session("x" * 12, positions)))


def measure_memory() -> dict[str, Any]:
    """Measures the memory of burn counters and group views, and the length of session tokens."""
    burn: list[float] = [traced_bytes(partial(make_burn, keys)) for keys in BURN_KEYS]
    views: list[float] = [traced_bytes(partial(make_views, count)) for count in VIEWS]
    tokens: list[float] = [token_bytes(groups) for groups in TOKEN_GROUPS]
    return {
        "burn_bytes": dict(zip(BURN_KEYS, burn, strict=True)),
        "burn_bytes_for_each_key": slope(BURN_KEYS, burn),
        "group_view_bytes": dict(zip(VIEWS, views, strict=True)),
        "group_view_bytes_for_each_group": slope(VIEWS, views),
        "token_bytes": dict(zip(TOKEN_GROUPS, tokens, strict=True)),
        "token_bytes_for_each_group": slope(TOKEN_GROUPS, tokens),
    }


def instance_record(number: int) -> InstanceRecord:
    """Returns the record of an instance in one of 13 data centres."""
    data_centre = f"data-centre-{number % 13}"
    address = f"10.2.{number // 256}.{number % 256}:8080"
    return InstanceRecord(f"entry-{number:05d}", address, data_centre)


def measure_ownership() -> list[dict[str, Any]]:
    """Measures the processor time of changes of instances and listings, new owners included."""
    rows = []
    for count in INSTANCES:
        listed = listings(SERVERS_FOR_AN_INSTANCE * count)
        topology = Topology(instance_record(0), WebSocketBackend())
        live = [instance_record(number) for number in range(count)]

        def processor_ms(change: Callable[[], None], topology: Topology = topology) -> float:
            used = time.process_time()
            change()
            for group in topology.groups:
                any(topology.owns(server) for server in group.servers)
            return round(1000 * (time.process_time() - used), 2)

        topology.apply_listings(listed)
        rows.append(
            {
                "instances": count,
                "servers": len(listed),
                "first_ms": processor_ms(partial(topology.set_instances, live)),
                "added_ms": processor_ms(
                    partial(topology.set_instances, [*live, instance_record(count)])
                ),
                "removed_ms": processor_ms(partial(topology.set_instances, live)),
                "list_ms": processor_ms(partial(topology.apply_listings, listed)),
                "unchanged_ms": processor_ms(lambda: None),
            }
        )
    return rows


async def measure(cluster: Cluster) -> dict[str, Any]:
    """Runs all measurements in sequence."""
    return {
        "watching": await measure_watching(cluster),
        "peers": await measure_peers(),
        "confirmations": await measure_confirmations(cluster),
        "directory": await measure_directory(),
        "ownership": measure_ownership(),
        "memory": measure_memory(),
    }


def main() -> None:
    """Starts the members, runs the measurements and prints JSON."""
    with Cluster() as cluster:
        cluster.add_group(GROUP, ["chur", "chur", "chur"], ["--statement-ms", "0"])
        result = asyncio.run(measure(cluster))
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
