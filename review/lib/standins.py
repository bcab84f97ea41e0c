"""Stand-ins for the review: members, the platform's store and promotion call, clients, gateways.

They follow PROTOCOL.md and DEPLOY.md and need the standard library only. All of them run in the
process of the script, so that it sees what is sent, answered and run; the gateways are processes of
their own. `Network` cuts paths between named ends: bytes on a cut path are held up in silence.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
NET_S = 0.0005  # one way between two members
MAX_LINE = 1 << 20


def now() -> float:
    return time.monotonic()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes what happened, with seconds since the start, to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = now()

    def __call__(self, text: str, at: float | None = None) -> None:
        self._file.write(f"{(at or now()) - self._start:9.4f} {text}\n")

    def say(self, text: str) -> None:
        self(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


class Network:
    """Which ends reach each other."""

    def __init__(self) -> None:
        self._cut: set[frozenset[str]] = set()
        self._changed = asyncio.Event()

    def cut(self, *pairs: tuple[str, str]) -> None:
        self._cut |= {frozenset(pair) for pair in pairs}

    def heal(self) -> None:
        self._cut.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def open(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self._cut

    async def wait_open(self, one: str, other: str) -> None:
        while not self.open(one, other):
            await self._changed.wait()


@dataclass
class Entry:
    term: int
    number: int
    item: str
    value: str
    sid: str  # id of the statement that committed it


class Abandoned(Exception):
    """The connection ended."""


class Member:
    """One member of a database group."""

    def __init__(
        self,
        group: Group,
        name: str,
        zone: str,
        *,
        primary: bool = False,
        slots: int = 5,
        queue: int = 64,
        work_s: float = 0.005,
        lag_s: float = 0.02,
        limit: int = 50,
    ) -> None:
        self.group, self.name, self.zone = group, name, zone
        self.role = "primary" if primary else "replica"
        self.term = self.held = 3
        self.log: list[Entry] = []
        self.received_at: list[float] = []
        self.slots, self.queue, self.work_s, self.lag_s = slots, queue, work_s, lag_s
        self.limit = limit
        self.state = "ready"
        self.suspended = False
        self.deaf = False  # receives nothing
        self.slow_s = 0.0  # by which a slow member is late with each answer
        self.running = True
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.connections = 0
        self._waiting = 0
        self._slot = asyncio.Semaphore(slots)
        self.ports: dict[str, int] = {}
        self.born = int(time.time() * 1000)

    def applied(self) -> list[Entry]:
        if self.role == "primary":
            return self.log
        at = now() - self.lag_s
        count = sum(1 for received in self.received_at if received <= at)
        return self.log[:count]

    @staticmethod
    def position(entries: list[Entry]) -> tuple[int, int]:
        return (entries[-1].term, entries[-1].number) if entries else (3, 0)

    def position_text(self) -> str:
        term, number = self.position(self.applied())
        return f"{term}.{number}"

    def receive(self, entries: list[Entry]) -> None:
        self.log = list(entries)
        self.received_at += [now()] * (len(entries) - len(self.received_at))

    async def listen(self, gateway: str) -> None:
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(gateway, reader, writer),
            "127.0.0.1",
            0,
            limit=MAX_LINE + 64,
        )
        self._servers.append(server)
        self.ports[gateway] = server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Ends as a process does that is killed: connections are reset, new ones are refused."""
        self.running = False
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = MemberConnection(self, gateway)
        self.connections += 1
        self._writers.add(writer)
        try:
            while line := await reader.readuntil(b"\r\n"):
                await self.group.network.wait_open(gateway, self.name)
                if reader.at_eof():
                    break
                answer = await connection.respond(line[:-2].decode("latin-1"))
                if self.slow_s:
                    await asyncio.sleep(self.slow_s)
                await self.group.network.wait_open(gateway, self.name)
                writer.write(answer.encode("latin-1"))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Abandoned):
            pass
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def work(self, seconds: float) -> bool:
        """Occupies a slot; False if too many wait."""
        if self._slot.locked() and self._waiting >= self.queue:
            return False
        self._waiting += 1
        async with self._slot:
            self._waiting -= 1
            await asyncio.sleep(seconds)
        return True


class MemberConnection:
    """One connection to a member."""

    def __init__(self, member: Member, gateway: str) -> None:
        self._member, self._gateway = member, gateway
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._shapes: dict[str, str] = {}
        self._state = "I"
        self._read_only = False
        self._writes: list[tuple[str, str, str]] = []
        self._term = 0

    async def respond(self, line: str) -> str:
        word, _, rest = line.partition(" ")
        if word == "CONNECT":
            fields = rest.split(" ")
            if fields[0] != self._member.group.name or fields[2:3] not in ([], [self._member.name]):
                return "ERROR WRONGNODE another member\r\n"
            if self._member.connections > self._member.limit:
                return "ERROR OVERLOAD too many connections\r\n"
            await self._member.work(0.002)
            return "READY I -\r\n"
        if word == "RELEASE":
            raise Abandoned
        sid, _, text = rest.partition(" ")
        body = await self._query(sid, text)
        return f"{body}READY {self._state} {self._member.position_text()}\r\n"

    async def _query(self, sid: str, text: str) -> str:
        member = self._member
        after = None
        if text.startswith("AFTER "):
            _, place, text = text.split(" ", 2)
            term, number = place.split(".")
            after = (int(term), int(number))
        words = text.split(" ")
        match words[0]:
            case "STATUS":
                return self._status()
            case "SUSPEND":
                term = int(words[1])
                if member.role == "replica" and term > max(member.term, member.held):
                    member.held, member.suspended = term, True
                return self._status()
            case "RESUME":
                member.suspended = False
                return self._status()
            case "DEMOTE":
                if member.role == "primary" and member.term < int(words[1]):
                    member.group.follow(member)
                return self._status()
            case "RESET":
                self._values.clear()
                self._prepared.clear()
                self._shapes.clear()
                return "COMPLETE -\r\n"
            case "SET":
                self._values[words[1]] = text.split(" ", 2)[2]
                return "COMPLETE -\r\n"
            case "PREPARE":
                self._prepared[words[1]], self._shapes[words[1]] = words[2], words[3]
                return "COMPLETE -\r\n"
            case "ROLLBACK":
                self._state, self._writes = "I", []
                return "COMPLETE -\r\n"
            case "BEGIN":
                if after is not None and member.position(member.applied()) < after:
                    return "ERROR LAGGING behind\r\n"
                if words[1:] != ["READ"] and member.role != "primary":
                    return "ERROR READONLY a replica\r\n"
                self._state, self._read_only = "T", words[1:] == ["READ"]
                self._writes, self._term = [], member.term
                return "COMPLETE -\r\n"
        return await self._run(sid, text, words, after)

    async def _run(
        self, sid: str, text: str, words: list[str], after: tuple[int, int] | None
    ) -> str:
        """Runs a statement of a client."""
        member, group = self._member, self._member.group
        group.arrived(sid, member, text)
        if words[0] == "EXECUTE":
            if words[1] not in self._prepared:
                return "ERROR NOSTMT no such name\r\n"
            group.executed.append((now(), sid, member.name, self._shapes[words[1]]))
            self.record_shape(sid, words[1])
        if self._state == "E":
            return "ERROR MALFORMED the transaction failed\r\n"
        if after is not None and member.position(member.applied()) < after:
            return "ERROR LAGGING behind\r\n"
        verb = words[0]
        writes = verb == "WRITE" or (verb == "EXECUTE" and self._prepared.get(words[1]) == "WRITE")
        if writes and member.role != "primary":
            return self._fault("READONLY a replica")
        if not await member.work(member.work_s * random.uniform(0.8, 1.2)):
            return "ERROR BUSY too many wait\r\n"
        lost_lead = member.role != "primary" or member.term != self._term
        if self._state == "T" and not self._read_only and lost_lead:
            if not (verb == "COMMIT" and not self._writes):
                return self._fault("READONLY it lost the lead")
        if verb == "COMMIT":
            written, self._writes, self._state = self._writes, [], "I"
            if written:
                group.commit(member, sid, written)
                await group.wait_received(member)
            return self._proof(sid)
        if verb == "READ" or (verb == "EXECUTE" and not writes):
            entries = member.applied()
            group.read(member, sid, entries)
            item = words[1] if verb == "READ" else words[2]
            value = next((e.value for e in reversed(entries) if e.item == item), "none")
            return f"ROW {value}\r\n{self._proof(sid)}"
        if not writes:
            return "ERROR MALFORMED unknown\r\n"
        if member.role != "primary":
            return self._fault("READONLY it lost the lead")
        item, value = (words[1:3] if verb == "WRITE" else words[2:4])[:2]
        if self._state == "T":
            self._writes.append((sid, item, value))
        else:
            group.commit(member, sid, [(sid, item, value)])
            await group.wait_received(member)
        return self._proof(sid)

    def record_shape(self, sid: str, name: str) -> None:
        shape = self._shapes[name]
        self._member.group.record(f"member {self._member.name} runs {sid} with the shape {shape}")

    def _fault(self, text: str) -> str:
        if self._state == "T":
            self._state, self._writes = "E", []
        return f"ERROR {text}\r\n"

    def _proof(self, sid: str) -> str:
        return f"COMPLETE {self._member.group.prove(sid)}\r\n"

    def _status(self) -> str:
        member = self._member
        received = member.position(member.log)
        row = (
            f"{member.role} {member.term} {received[0]}.{received[1]} "
            f"{max(member.held, member.term)} {int(member.lag_s * 1000)} 0 {member.connections}"
        )
        return f"ROW {row}\r\nCOMPLETE -\r\n"


class Group:
    """A primary and its replicas."""

    def __init__(
        self, name: str, network: Network, record: Record, promote_s: float, *, sync: bool = False
    ) -> None:
        self.name, self.network, self.record, self.promote_s = name, network, record, promote_s
        self.sync = sync  # whether a commit is acknowledged once one replica has received it
        self.members: dict[str, Member] = {}
        self.leader: Member | None = None  # of the newest term
        self.ran: dict[str, list[str]] = {}  # members to which a statement came, by its id
        self.finished: set[str] = set()
        self.commits: dict[str, tuple[str, float, bool]] = {}  # member, time, by the leader
        self.reads: list[tuple[float, str, str, frozenset[str], bool]] = []
        self.executed: list[tuple[float, str, str, str]] = []  # time, id, member, shape
        self.rolled_back: set[str] = set()
        self.missing_at_promotion: set[str] = set()
        self._proofs = itertools.count(1)
        self.proofs: dict[str, str] = {}

    def add(self, name: str, zone: str, **options: object) -> Member:
        member = self.members[name] = Member(self, name, zone, **options)  # type: ignore[arg-type]
        if member.role == "primary":
            self.leader = member
        return member

    def arrived(self, sid: str, member: Member, text: str) -> None:
        self.ran.setdefault(sid, []).append(member.name)
        self.record(f"member {member.name} gets {sid} {text[:40]}")

    def prove(self, sid: str) -> str:
        self.finished.add(sid)
        self.proofs[sid] = f"{next(self._proofs):x}.{random.getrandbits(32):08x}"
        return self.proofs[sid]

    def commit(self, member: Member, sid: str, written: list[tuple[str, str, str]]) -> None:
        number = member.position(member.log)[1]
        for _, item, value in written:
            number += 1
            member.log.append(Entry(member.term, number, item, value, sid))
            member.received_at.append(now())
        by_leader = member is self.leader
        self.commits[sid] = (member.name, now(), by_leader)
        self.record(
            f"member {member.name} commits {sid} at {member.term}.{number}"
            + ("" if by_leader else " ALTHOUGH ANOTHER MEMBER LEADS")
        )
        for other in self.members.values():
            if other is not member:
                asyncio.get_running_loop().call_later(NET_S, self._replicate, member, other)

    async def wait_received(self, member: Member) -> None:
        """Where commits are synchronous, waits until one replica has the log as it is now."""
        length = len(member.log)
        while self.sync and not any(
            len(other.log) >= length for other in self.members.values() if other is not member
        ):
            await asyncio.sleep(NET_S)

    def _replicate(self, member: Member, other: Member) -> None:
        if member.role != "primary" or other.role == "primary" or other.suspended:
            return
        if other.deaf or not (member.running and other.running):
            return
        if other.term > member.term or other.held > member.term:
            return
        if self.network.open(member.name, other.name):
            other.term = member.term
            other.receive(member.log)

    def read(self, member: Member, sid: str, entries: list[Entry]) -> None:
        sids = frozenset(entry.sid for entry in entries)
        self.reads.append((now(), sid, member.name, sids, member is self.leader))

    def promote(self, name: str) -> bool:
        member = self.members.get(name)
        if member is None or not member.running:
            return False
        if member is not self.leader:
            asyncio.get_running_loop().call_later(self.promote_s, self._take_lead, member)
        return True

    def _take_lead(self, member: Member) -> None:
        former = self.leader
        if former is None or member is former:
            return
        term = max(max(m.term, m.held) for m in self.members.values()) + 1
        known = {entry.sid for entry in member.log}
        self.missing_at_promotion = {sid for sid in self.commits if sid not in known}
        self.rolled_back |= self.missing_at_promotion
        member.role, member.term, member.held = "primary", term, term
        member.suspended = False
        self.leader = member
        self.record(f"member {member.name} leads term {term}; {former.name} led before")
        for other in self.members.values():
            if other is not member and other.role == "replica":
                self._keep_following(member, other)
        self._demote_in_time(former)

    def _keep_following(self, leader: Member, other: Member) -> None:
        if leader is not self.leader or other.role == "primary":
            return
        if self.network.open(leader.name, other.name):
            other.term = other.held = leader.term
            other.suspended = False
            other.received_at = other.received_at[: len(leader.log)]
            other.receive(leader.log)
        else:
            asyncio.get_running_loop().call_later(0.1, self._keep_following, leader, other)

    def _demote_in_time(self, former: Member) -> None:
        """The former primary follows a second after it can reach the new one."""
        if former.role != "primary" or former is self.leader or self.leader is None:
            return
        if self.network.open(former.name, self.leader.name):
            asyncio.get_running_loop().call_later(1.0, self.follow, former)
        else:
            asyncio.get_running_loop().call_later(0.1, self._demote_in_time, former)

    def follow(self, member: Member) -> None:
        """Makes a primary of a lower term a replica."""
        if member is self.leader or member.role != "primary" or self.leader is None:
            return
        member.role = "replica"
        self.record(f"member {member.name} is a replica now")
        self._keep_following(self.leader, member)


class Platform:
    """The store and the promotion call; each gateway has a port of its own."""

    def __init__(self, network: Network, record: Record) -> None:
        self.network, self.record = network, record
        self.groups: dict[str, Group] = {}
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.version = 0
        self.ports: dict[str, int] = {}
        # Where a gateway reaches another one, if not at its own address: (reader, name) -> address.
        self.peer_paths: dict[tuple[str, str], str] = {}
        self.promotions: list[tuple[float, str, str, str, int]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        self._write({(table, key): json.dumps(value).encode()}, [])

    def put_member(self, member: Member) -> None:
        self.put(
            "servers",
            member.name,
            {
                "serviceName": member.group.name,
                "address": "@",
                "zone": member.zone,
                "configVersion": "v1",
                "slots": member.slots,
                "state": member.state,
                "warmupLeftMs": 0,
                "dbRole": member.role,
                "sequence": 1,
                "born": member.born,
            },
        )

    def instances(self) -> set[str]:
        return {
            key.removeprefix("instance/") for _, key in self.rows if key.startswith("instance/")
        }

    async def listen(self, gateway: str) -> None:
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(gateway, reader, writer), "127.0.0.1", 0
        )
        self.ports[gateway] = server.sockets[0].getsockname()[1]

    def _write(
        self, puts: dict[tuple[str, str], bytes], removed: list[tuple[str, str]]
    ) -> None:
        self.version += 1
        for (table, key), value in puts.items():
            self.rows[table, key] = (self.version, value)
            self.history.append((self.version, table, key, value))
        for table, key in removed:
            if self.rows.pop((table, key), None) is not None:
                self.history.append((self.version, table, key, None))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                headers = dict(
                    (name.lower(), value.strip())
                    for name, _, value in (line.partition(":") for line in lines)
                )
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self.network.wait_open(gateway, "store")
                if reader.at_eof():
                    return
                method, target, _ = first.split(" ")
                status, answer = await self._call(gateway, method, target, headers, body)
                await self.network.wait_open(gateway, "store")
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _call(
        self, gateway: str, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, object]]:
        path = urlsplit(target).path
        query = {key: values[0] for key, values in parse_qs(urlsplit(target).query).items()}
        if path == "/rows-get":
            await asyncio.sleep(0.002)
            start, end = query.get("from", ""), query.get("target", "\U0010ffff")
            found = sorted(
                (key, ver, value)
                for (table, key), (ver, value) in self.rows.items()
                if table == query["table"] and start <= key < end
            )
            rows = [self._row(gateway, query["table"], k, ver, v) for k, ver, v in found[:500]]
            return 200, self._answer(rows, hasMore=len(found) > 500)
        if path == "/rows-feed":
            end_at = now() + int(query["waitMs"]) / 1000
            while True:
                rows = [
                    self._row(gateway, table, key, ver, value)
                    for ver, table, key, value in self.history
                    if table == query["table"] and ver > int(query["after"])
                ]
                if rows or now() >= end_at - 0.001:
                    return 200, self._answer(rows)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), end_at - now())
        if path == "/rows-tx":
            return await self._transaction(gateway, json.loads(body))
        if path == "/promotion":
            return await self._promotion(headers, json.loads(body))
        return 404, {}

    async def _transaction(
        self, gateway: str, call: dict[str, list[dict[str, object]]]
    ) -> tuple[int, dict[str, object]]:
        await asyncio.sleep(0.004)
        for entry in call["expected"]:
            key = (str(entry["table"]), str(entry["key"]))
            if self.rows.get(key, (0, b""))[0] != entry["ver"]:
                return 412, self._answer([])
        puts = {
            (str(e["table"]), str(e["key"])): base64.b64decode(str(e["value"]))
            for e in call["puts"]
        }
        removed = [(str(e["table"]), str(e["key"])) for e in call["remove"]]
        self._write(puts, removed)
        for (_, key), value in puts.items():
            self.record(f"store: {gateway} writes {key} {value[:160]!r}")
        for _, key in removed:
            self.record(f"store: {gateway} removes {key}")
        return 200, self._answer([])

    async def _promotion(
        self, headers: dict[str, str], call: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        holder = headers["x-wigeonpoint-duty-holder"]
        token = int(headers["x-wigeonpoint-fencing-token"])
        self.promotions.append((now(), call["serviceName"], call["id"], holder, token))
        self.record(f"platform: {holder} promotes {call['id']} with token {token}")
        accepted = self.groups[call["serviceName"]].promote(call["id"])
        return (200 if accepted else 409), {}

    def _answer(self, rows: list[dict[str, object]], **fields: object) -> dict[str, object]:
        return {"rows": rows, "ver": self.version, "nowMs": int(now() * 1000), **fields}

    def _row(
        self, reader: str, table: str, key: str, ver: int, value: bytes | None
    ) -> dict[str, object]:
        row: dict[str, object] = {"table": table, "part": "", "key": key, "ver": ver}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(self._seen_by(reader, table, key, value)).decode()}

    def _seen_by(self, reader: str, table: str, key: str, value: bytes) -> bytes:
        """The value with the addresses at which the reader reaches what it names."""
        if table == "servers":
            entry = json.loads(value)
            member = self.groups[entry["serviceName"]].members[key]
            entry["address"] = f"127.0.0.1:{member.ports[reader]}"
            return json.dumps(entry).encode()
        path = self.peer_paths.get((reader, key.removeprefix("instance/")))
        if key.startswith("instance/") and path is not None:
            return json.dumps({**json.loads(value), "address": path}).encode()
        return value


class Link:
    """A TCP path from one end to an address, through the network."""

    def __init__(self, network: Network, one: str, other: str, target_port: int) -> None:
        self._network, self._ends, self._target_port = network, (one, other), target_port
        self.port = 0

    async def listen(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._network.wait_open(*self._ends)
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.wait(
            [
                asyncio.create_task(self._copy(reader, far_writer)),
                asyncio.create_task(self._copy(far_reader, writer)),
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )
        writer.close()
        far_writer.close()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                await self._network.wait_open(*self._ends)
                writer.write(data)
                await writer.drain()


class PeerLink(Link):
    """A path between two instances that changes addresses on the way, as a router may.

    Each end knows the other by the address of the link that leads there, so that the path can be
    cut. Addresses of equal length are put in place of each other within WebSocket frames.
    """

    there: dict[bytes, bytes]
    back: dict[bytes, bytes]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._network.wait_open(*self._ends)
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.wait(
            [
                asyncio.create_task(self._translate(reader, far_writer, self.there)),
                asyncio.create_task(self._translate(far_reader, writer, self.back)),
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )
        writer.close()
        far_writer.close()

    async def _translate(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, names: dict[bytes, bytes]
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            kept = [one for one in lines if not one.lower().startswith(b"sec-websocket-extensions")]
            await self._pass_on(writer, b"\r\n".join(kept))
            while True:
                await self._pass_on(writer, await self._frame(reader, names))

    async def _pass_on(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        await self._network.wait_open(*self._ends)
        writer.write(data)
        await writer.drain()

    @staticmethod
    async def _frame(reader: asyncio.StreamReader, names: dict[bytes, bytes]) -> bytes:
        head = await reader.readexactly(2)
        length = head[1] & 127
        if length >= 126:
            more = await reader.readexactly(2 if length == 126 else 8)
            head, length = head + more, int.from_bytes(more)
        mask = await reader.readexactly(4) if head[1] & 128 else b""
        payload = _masked(await reader.readexactly(length), mask)
        for name, other in names.items():
            payload = payload.replace(name, other)
        return head + mask + _masked(payload, mask)


def _masked(data: bytes, mask: bytes) -> bytes:
    if not mask or not data:
        return data
    key = (mask * (len(data) // 4 + 1))[: len(data)]
    return (int.from_bytes(data) ^ int.from_bytes(key)).to_bytes(len(data))


async def link_pair(network: Network, platform: Platform, one: Gateway, other: Gateway) -> None:
    """Joins two instances by paths that can be cut."""
    to_other = PeerLink(network, one.name, other.name, other.ports["control"])
    to_one = PeerLink(network, other.name, one.name, one.ports["control"])
    await to_other.listen()
    await to_one.listen()

    def name(port: int) -> bytes:
        return f"127.0.0.1:{port}".encode()

    own, far = name(one.ports["control"]), name(other.ports["control"])
    onward = {own: name(to_one.port), name(to_other.port): far}
    backward = {far: name(to_other.port), name(to_one.port): own}
    to_other.there, to_other.back = onward, backward
    to_one.there, to_one.back = backward, onward
    platform.peer_paths[one.name, other.name] = name(to_other.port).decode()
    platform.peer_paths[other.name, one.name] = name(to_one.port).decode()


SETTINGS = """
nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "{zone}"
region = "ostschweiz"
seeds = {seeds}
bootstrap = {bootstrap}
faultCounted = false
discovery = "platform"
entryPoint = "vip"
heartbeatMs = 1200
activeContracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
chur = "ostschweiz"
stgallen = "ostschweiz"
sargans = "ostschweiz"
[bindAddrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpuShare = 0.817
cores = 2
memoryMb = 430
maxFds = 6450
linkMbps = 1500.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[contractParams]
seedPropagationS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
outerMs = 12000
recoveryS = 12
requireFencing = false
unfreezeSlackMs = 300
[platform]
address = "127.0.0.1:{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 4.0
partWritesPerS = 250
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
[cloudApi]
address = "127.0.0.1:{cloud}"
ratePerS = 50.0
duties = ["promotion"]
dutyPerS = 50.0
"""


class Gateway:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, folder: Path) -> None:
        self.name, self.zone, self._folder = name, zone, folder
        self.ports = {end: free_port() for end in ("front", "ready", "control", "metrics")}
        self.process: subprocess.Popen[bytes] | None = None

    def start(
        self, store: int, cloud: int, seeds: list[str], *, bootstrap: bool = True
    ) -> None:
        path = self._folder / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                seeds=json.dumps(seeds),
                store=store,
                cloud=cloud,
                bootstrap=str(bootstrap).lower(),
                **{end: self.ports[end] for end in ("front", "ready", "control")},
            )
        )
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        run = deploy["roles"]["gateway"]["run"]
        run = run.replace("{{ip}}:9464", f"127.0.0.1:{self.ports['metrics']}")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"WIGEONPOINT_CONFIG": str(path), "PYTHONPATH": "target/deps"}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                run.split(), cwd=REPOSITORY, env=env, stdout=log, stderr=log
            )

    async def ready(self) -> bool:
        """Whether it answers the ingress with 200."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, seconds: float = 30.0) -> None:
        end = now() + seconds
        while not await self.ready():
            if now() > end or (self.process is not None and self.process.poll() is not None):
                raise RuntimeError(f"{self.name} is not ready; see its log in {self._folder}")
            await asyncio.sleep(0.05)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ended(self) -> None:
        while self.process is not None and self.process.poll() is None:
            await asyncio.sleep(0.01)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


@dataclass
class Sent:
    """A statement of a client."""

    sid: str
    text: str
    gateway: str
    sent_at: float
    ended_at: float = 0.0
    outcome: str = "waiting"  # ok, the code of an error, or closed
    proof: str = ""
    rows: list[str] = field(default_factory=list)


class Closed(Exception):
    """The system closed the session."""


class Client:
    """A session with one gateway."""

    def __init__(self, record: Record, sent: list[Sent], gateway: Gateway, database: str) -> None:
        self._record, self._sent = record, sent
        self.gateway, self._database = gateway, database
        self.state = "I"

    async def connect(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", self.gateway.ports["front"], limit=MAX_LINE + 64
        )
        self._writer.write(f"CONNECT {self._database} u1\r\n".encode())
        line = await asyncio.wait_for(self._reader.readline(), 2.0)
        if not line.startswith(b"READY"):
            self.close()
            raise Closed(line.decode("latin-1").strip())

    async def query(self, text: str, timeout: float = 5.0) -> Sent:
        """Sends a statement and waits for its whole answer."""
        sid = f"{random.getrandbits(64):016x}"
        one = Sent(sid, text, self.gateway.name, now())
        self._sent.append(one)
        self._record(f"client sends {sid} {text} to {self.gateway.name}")
        try:
            self._writer.write(f"QUERY {sid} {text}\r\n".encode())
            async with asyncio.timeout(timeout):
                while True:
                    line = (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                    word, _, rest = line.partition(" ")
                    if word == "ROW":
                        one.rows.append(rest)
                    elif word == "COMPLETE":
                        one.outcome, one.proof = "ok", rest
                    elif word == "ERROR":
                        one.outcome = rest.split(" ")[0]
                    elif word == "READY":
                        self.state = rest.split(" ")[0]
                        break
        except (asyncio.IncompleteReadError, ConnectionError):
            one.outcome = "closed"
        except TimeoutError:
            one.outcome = "silent"
        one.ended_at = now()
        self._record(f"client gets {one.outcome} for {sid} {one.proof}")
        if one.outcome in ("closed", "silent"):
            self.close()
            raise Closed(one.outcome)
        return one

    def close(self) -> None:
        self._writer.close()

    @property
    def closed_by_peer(self) -> bool:
        return self._reader.at_eof()


def catalogue(
    service: str, routes: list[dict[str, object]], connections: int = 50, sync: int = 0
) -> object:
    return {
        "configVersion": 7,
        "routeTable": [{"prefix": "/", "serviceName": service, **route} for route in routes],
        "services": [{"name": service, "maxConnections": connections, "syncReplicas": sync}],
        "limits": {"txIdleMs": 3000},
    }


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


async def _limited(case: Coroutine[None, None, bool]) -> bool:
    async with asyncio.timeout(105):
        return await case


def main(run: object, folder: Path) -> None:
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        gateways: list[Gateway] = []
        try:
            broken = asyncio.run(_limited(run(record, Path(temporary), gateways)))  # type: ignore[operator]
        except Exception as error:
            record.say(f"the case could not run: {error!r}")
            broken = None
        finally:
            for gateway in gateways:
                gateway.end()
        record.close()
    sys.stdout.flush()
    os._exit(2 if broken is None else int(broken))
