"""Stand-ins for review scripts: the platform's store and promotion call, members, and clients.

All of them run in one process on loopback addresses. They follow PROTOCOL.md and do no more than it
allows. The gateways are separate processes, started with the command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import subprocess
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2


def now() -> float:
    return time.monotonic()


def free_ports(count: int) -> list[int]:
    """Ports that nobody uses, below those that the kernel gives to outgoing connections.

    One of those could be taken between this call and the start of the program that is to listen there.
    """
    import random
    import socket

    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            one = socket.socket()
            try:
                one.bind((HOST, random.randrange(12_000, 32_000)))
            except OSError:
                one.close()
                continue
            sockets.append(one)
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started = now()

    def __call__(self, event: str, /, **fields: object) -> None:
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{now() - self.started:9.4f} {event} {text}\n")

    def close(self) -> None:
        self._file.close()


class Store:
    """The platform's store (rows, transactions, feed) and its promotion call, over HTTP/1.1."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.version = 0
        self.changed = asyncio.Event()
        self.groups: dict[str, Group] = {}
        self.promotion_up = True
        self.port = 0
        self.promotions: list[tuple[float, str, str, str, int]] = []

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: object) -> int:
        return self._apply([(table, key, json.dumps(value).encode())])

    def remove(self, table: str, key: str) -> int:
        return self._apply([(table, key, None)])

    def _apply(self, changes: list[tuple[str, str, bytes | None]]) -> int:
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = value, self.version
            self.history.append((self.version, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                method, path, _ = line.decode().split(" ", 2)
                headers = {}
                while (header := await reader.readline()) not in (b"\r\n", b""):
                    name, _, value = header.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self._answer(method, path, headers, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/promotion":
            return await self._promote(headers, json.loads(body))
        await asyncio.sleep(0.004)
        if url.path == "/rows-tx":
            return self._transact(json.loads(body))
        if url.path == "/rows-get":
            rows = [
                self._row(table, key, value, version)
                for (table, key), (value, version) in sorted(self.rows.items())
                if table == query["table"] and key >= query.get("from", "")
            ]
            return 200, {"rows": rows, "hasMore": False, **self._state()}
        if url.path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _state(self) -> dict[str, int]:
        return {"ver": self.version, "nowMs": int(now() * 1000)}

    @staticmethod
    def _row(table: str, key: str, value: bytes | None, version: int) -> dict[str, object]:
        row: dict[str, object] = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value).decode()}

    async def _feed(self, query: dict[str, str]) -> tuple[int, object]:
        after, end = int(query["after"]), now() + int(query["waitMs"]) / 1000
        while True:
            newest: dict[str, dict[str, object]] = {}
            for version, table, key, value in self.history:
                if version > after and table == query["table"]:
                    newest[key] = self._row(table, key, value, version)
            if newest or now() >= end:
                rows = sorted(newest.values(), key=lambda row: row["ver"])
                return 200, {"rows": rows, **self._state()}
            try:
                await asyncio.wait_for(self.changed.wait(), max(end - now(), 0.001))
            except TimeoutError:
                pass

    def _transact(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, object]:
        expected = body.get("expected", [])
        for entry in expected:
            known = self.rows.get((entry["table"], entry["key"]))
            if (known[1] if known else 0) != entry["ver"]:
                rows = [
                    self._row(table, key, *self.rows[table, key])
                    for table, key in ((one["table"], one["key"]) for one in expected)
                    if (table, key) in self.rows
                ]
                return 412, {"rows": rows, **self._state()}
        changes = [
            (entry["table"], entry["key"], base64.b64decode(entry["value"]))
            for entry in body.get("puts", [])
        ]
        changes += [(entry["table"], entry["key"], None) for entry in body.get("remove", [])]
        self._apply(changes)
        return 200, self._state()

    async def _promote(self, headers: dict[str, str], body: dict[str, str]) -> tuple[int, object]:
        holder = headers.get("x-wigeonpoint-duty-holder", "")
        token = int(headers.get("x-wigeonpoint-fencing-token", "-1"))
        if not self.promotion_up:
            self.record("promotion-refused", id=body["id"], holder=holder, token=token)
            return 503, {}
        self.promotions.append((now(), body["serviceName"], body["id"], holder, token))
        self.record("promotion", id=body["id"], holder=holder, token=token)
        return (200 if self.groups[body["serviceName"]].promote(body["id"]) else 409), {}


class Group:
    """One database: a primary and its replicas, with asynchronous replication."""

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        *,
        promote_s: float,
        lag_s: float,
        slots: int,
        sync: int = 0,
    ) -> None:
        self.name, self.store, self.record = name, store, record
        self.sync = sync
        self.led_with: list[tuple[str, list[tuple[int, str, str]]]] = []  # logs of promoted members
        self.promote_s, self.lag_s, self.slots = promote_s, lag_s, slots
        self.members: dict[str, Member] = {}
        self.promote_task: asyncio.Task[None] | None = None
        store.groups[name] = self

    async def add(self, member_id: str, zone: str, *, primary: bool) -> Member:
        member = self.members[member_id] = Member(self, member_id, zone, primary=primary)
        await member.start()
        member.report()
        return member

    def promote(self, member_id: str) -> bool:
        member = self.members.get(member_id)
        if member is None or not member.running:
            return False
        if not member.primary:
            self.promote_task = asyncio.get_running_loop().create_task(self._lead(member))
        return True

    async def _lead(self, member: Member) -> None:
        await asyncio.sleep(self.promote_s)
        if not member.running:
            return
        self.led_with.append((member.id, list(member.log)))
        old = [one for one in self.members.values() if one.primary and one is not member]
        member.term = max(one.term for one in self.members.values()) + 1
        member.primary, member.held = True, 0
        self.record("leads", id=member.id, term=member.term)
        member.report()
        for one in self.members.values():
            if one is not member and not one.primary and one.running and not one.deaf:
                one.follow(member)
        await asyncio.sleep(1.0)
        for one in old:
            if one.running and one.primary and one.term < member.term:
                one.step_down(member.term)


class Member:
    """One member: the wire protocol, a log, sessions and transactions."""

    work_s = 0.003

    def __init__(self, group: Group, member_id: str, zone: str, *, primary: bool) -> None:
        self.group, self.id, self.zone = group, member_id, zone
        self.primary, self.term, self.held = primary, 1, 0
        self.log: list[tuple[int, str, str]] = [(1, "", "")]
        self.applied = 1
        self.draining = False
        self.running = True
        self.deaf = False  # whether it receives nothing
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.port = 0
        self._server: asyncio.Server | None = None
        self.runs: list[tuple[float, str, str]] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 21)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self, *, reported_s: float = 0.0) -> None:
        """Stops without a word; its entry is removed after three liveness report intervals.

        Args:
            reported_s: Seconds since its last liveness report.
        """
        self.running = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.group.record("crash", id=self.id, log_end=self._received())
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S - reported_s, self._expire)

    def _expire(self) -> None:
        if not self.running and ("servers", self.id) in self.group.store.rows:
            self.group.store.remove("servers", self.id)
            self.group.record("entry-removed", id=self.id)

    async def restart(self) -> None:
        """Comes back with its log, as a replica if another member was promoted."""
        self.running, self.held, self.born = True, 0, int(time.time() * 1000)
        leader = next((one for one in self.group.members.values() if one.primary and one is not self), None)
        if leader is not None and leader.term > self.term:
            self.primary = False
            self.follow(leader)
        await self.start()
        self.group.record("back", id=self.id)
        self.report()

    def report(self) -> None:
        self.sequence += 1
        row = {
            "serviceName": self.group.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "configVersion": "v1",
            "slots": self.group.slots,
            "state": "draining" if self.draining else "ready",
            "warmupLeftMs": 0,
            "dbRole": "primary" if self.primary else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }
        self.group.store.put("servers", self.id, row)

    def drain(self) -> None:
        """Reports `draining`; the member goes on serving."""
        self.draining = True
        self.report()
        self.group.record("draining", id=self.id)

    def step_down(self, term: int) -> None:
        self.primary, self.term = False, max(self.term, term)
        leader = next((one for one in self.group.members.values() if one.primary), None)
        if leader is not None:
            self.follow(leader)
        self.group.record("steps-down", id=self.id)
        self.report()

    def follow(self, leader: Member) -> None:
        self.term, self.held = max(self.term, leader.term), 0
        self.log = list(leader.log)
        self.applied = len(self.log)

    @property
    def position(self) -> str:
        return f"{self.log[self.applied - 1][0]}.{self.applied}"

    def _received(self) -> str:
        return f"{self.log[-1][0]}.{len(self.log)}"

    async def commit(self, writes: list[tuple[str, str]]) -> None:
        for item, data in writes:
            self.log.append((self.term, item, data))
        self.applied = len(self.log)
        loop = asyncio.get_running_loop()
        for one in self.group.members.values():
            if one is not self and not one.primary:
                loop.call_later(0.001, one._receive, self, len(self.log))
        term, length = self.term, len(self.log)
        while self.group.sync > sum(
            one is not self and len(one.log) >= length and one.log[length - 1][0] == term
            for one in self.group.members.values()
            if one.running
        ):
            await asyncio.sleep(0.002)

    def _receive(self, leader: Member, length: int) -> None:
        if self.held or self.deaf or self.primary or not self.running:
            return
        if leader.term < self.term or not leader.primary or not leader.running:
            return
        self.log = leader.log[:length] if len(self.log) < length else self.log
        asyncio.get_running_loop().call_later(self.group.lag_s, self._apply, length)

    def _apply(self, length: int) -> None:
        self.applied = min(max(self.applied, length), len(self.log))

    def value(self, item: str) -> str:
        for _, name, data in reversed(self.log[: self.applied]):
            if name == item:
                return data
        return "-"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = Session(self)
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                text = line.decode("latin-1").removesuffix("\r\n")
                answer = await session.answer(text)
                if answer is None:
                    break
                writer.write(answer.encode("latin-1"))
                await writer.drain()
                if session.refused:
                    break
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Session:
    """One connection to a member."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.state, self.read_only = "I", False
        self.writes: list[tuple[str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.refused = False

    async def answer(self, text: str) -> str | None:
        word, _, rest = text.partition(" ")
        if word == "RELEASE":
            return None
        if word == "CONNECT":
            service, _, expected = (rest.split(" ") + [""])[:3]
            if service != self.member.group.name or expected not in ("", self.member.id):
                self.refused = True
                return "ERROR WRONGNODE another\r\n"
            await asyncio.sleep(0.012)
            return "READY I -\r\n"
        query_id, _, query = rest.partition(" ")
        lines = await self._query(query_id, query)
        return "".join(f"{line}\r\n" for line in lines) + f"READY {self.state} {self.member.position}\r\n"

    async def _query(self, query_id: str, query: str) -> list[str]:
        member = self.member
        if query.startswith("AFTER "):
            _, position, query = query.split(" ", 2)
            term, number = map(int, position.split("."))
            last = member.log[member.applied - 1][0]
            if (last, member.applied) < (term, number):
                return ["ERROR LAGGING behind"]
        words = query.split(" ")
        if self.state == "E" and words[0] not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED failed"]
        match words[0]:
            case "STATUS" | "SUSPEND" | "RESUME" | "DEMOTE":
                return self._control(words)
            case "SET":
                self.values[words[1]] = " ".join(words[2:])
                return ["COMPLETE -"]
            case "RESET":
                self.values, self.prepared = {}, {}
                return ["COMPLETE -"]
            case "PREPARE":
                self.prepared[words[1]] = (words[2], " ".join(words[3:]))
                return ["COMPLETE -"]
            case "DEALLOC":
                self.prepared.pop(words[1], None)
                return ["COMPLETE -"]
            case "BEGIN":
                if len(words) == 1 and not member.primary:
                    return ["ERROR READONLY replica"]
                self.state, self.read_only, self.writes = "T", len(words) > 1, []
                return ["COMPLETE -"]
            case "ROLLBACK":
                self.state, self.writes = "I", []
                return ["COMPLETE -"]
        return await self._run(query_id, words)

    async def _run(self, query_id: str, words: list[str]) -> list[str]:
        member = self.member
        kind = words[0]
        if kind == "EXECUTE":
            if words[1] not in self.prepared:
                return ["ERROR NOSTMT unknown"]
            kind, words = self.prepared[words[1]][0], words[1:]
        if kind in ("WRITE", "COMMIT") and not member.primary and (kind == "WRITE" or self.writes):
            if self.state != "I":
                self.state = "E"
            return ["ERROR READONLY replica"]
        member.runs.append((now(), query_id, kind))
        member.group.record("run", member=member.id, id=query_id, kind=kind, draining=member.draining)
        await asyncio.sleep(member.work_s)
        proof = f"COMPLETE {member.id}.{query_id}"
        if kind == "READ":
            own = [data for item, data in self.writes if item == words[1]]
            return [f"ROW {own[-1] if own else member.value(words[1])}", proof]
        if kind == "COMMIT":
            self.state = "I"
            if self.writes:
                await member.commit(self.writes)
            self.writes = []
            return [proof]
        write = (words[1], " ".join(words[2:]))
        if self.state == "T":
            self.writes.append(write)
        else:
            await member.commit([write])
        return [proof]

    def _control(self, words: list[str]) -> list[str]:
        member = self.member
        if words[0] == "SUSPEND" and not member.primary and int(words[1]) > member.term:
            member.held = int(words[1])
        elif words[0] == "RESUME":
            member.held = 0
        elif words[0] == "DEMOTE" and member.primary and int(words[1]) > member.term:
            member.step_down(int(words[1]))
        role = "primary" if member.primary else "replica"
        row = f"ROW {role} {member.term} {member._received()} {member.held} 0 1 5"
        return [row, "COMPLETE -"]


class Gateways:
    """The project's gateways, as separate processes with the command of the deploy file."""

    def __init__(self, folder: Path, record: Record, store: Store, zones: list[str]) -> None:
        self.folder, self.record, self.store, self.zones = folder, record, store, zones
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.run = deploy["roles"]["gateway"]["run"]
        ports = free_ports(4 * len(zones))
        self.ports = [
            dict(zip(("front", "ready", "control", "metrics"), ports[4 * i : 4 * i + 4]))
            for i in range(len(zones))
        ]
        self.names = [f"front-{zone}-{i + 1}" for i, zone in enumerate(zones)]
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.started_at: dict[int, float] = {}

    def start(self, index: int) -> None:
        ports = self.ports[index]
        path = self.folder / f"settings-{index}.toml"
        seeds = [f'"{HOST}:{one["control"]}"' for one in self.ports[:3]]
        path.write_text(
            f"""nodeName = "{self.names[index]}"
role = "gateway"
machineClass = "front"
serves = ["front", "control"]
ip = "{HOST}"
zone = "{self.zones[index]}"
region = "east"
seeds = [{", ".join(seeds)}]
heartbeatMs = 1200
[bindAddrs]
front = "{HOST}:{ports["front"]}"
ready = "{HOST}:{ports["ready"]}"
control = "{HOST}:{ports["control"]}"
[limits]
memoryMb = 430
maxFds = 6450
[contractParams]
contactMs = 4000
drainMs = 7000
graceS = 6
configApplyMs = 3000
[platform]
address = "{HOST}:{self.store.port}"
[cloudApi]
address = "{HOST}:{self.store.port}"
"""
        )
        words = self.run.replace("{{ip}}:9464", f"{HOST}:{ports['metrics']}").split()
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "WIGEONPOINT_CONFIG": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.folder / f"{self.names[index]}.log").open("ab")
        self.processes[index] = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.started_at[index] = now()
        self.record("start", gateway=self.names[index])

    def signal(self, index: int, number: signal.Signals) -> None:
        self.record("signal", gateway=self.names[index], signal=number.name)
        self.processes[index].send_signal(number)

    def kill(self, index: int) -> None:
        self.signal(index, signal.SIGKILL)
        self.processes.pop(index).wait()
        self.started_at.pop(index)

    def stop(self) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    async def ready(self, index: int) -> bool:
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(HOST, self.ports[index]["ready"]), 1.0
            )
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Client:
    """A client with one session, which it opens again when it ends."""

    def __init__(self, gateways: Gateways, record: Record, name: str) -> None:
        self.gateways, self.record, self.name = gateways, record, name
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._number = 0
        self.index = 0

    async def connect(self, index: int, database: str) -> bool:
        self.close()
        self.index = index
        try:
            self._streams = await asyncio.wait_for(
                asyncio.open_connection(HOST, self.gateways.ports[index]["front"], limit=1 << 21), 1.0
            )
            lines = await self._exchange(f"CONNECT {database} {self.name}", 2.0)
        except (OSError, TimeoutError):
            lines = []
        if lines and lines[-1].startswith("READY"):
            return True
        self.close()
        return False

    @property
    def connected(self) -> bool:
        return self._streams is not None

    async def query(self, text: str, timeout: float = 1.5) -> tuple[str, list[str]]:
        """Sends a statement; returns its id and the lines of the answer, empty if it ended."""
        self._number += 1
        query_id = f"{self.name}-{self._number}"
        self.record("sent", id=query_id, to=self.gateways.names[self.index], text=text.replace(" ", "_"))
        try:
            lines = await self._exchange(f"QUERY {query_id} {text}", timeout)
        except (OSError, TimeoutError):
            lines = []
        self.record("answered", id=query_id, answer="|".join(lines).replace(" ", "_") or "none")
        if not lines or not lines[-1].startswith("READY"):
            self.close()
            lines = []
        return query_id, lines

    async def _exchange(self, line: str, timeout: float) -> list[str]:
        reader, writer = self._streams
        writer.write(line.encode("latin-1") + b"\r\n")
        lines: list[str] = []
        async with asyncio.timeout(timeout):
            while not lines or not lines[-1].startswith("READY"):
                data = await reader.readline()
                if not data:
                    break
                lines.append(data.decode("latin-1").removesuffix("\r\n"))
        return lines

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def configuration(service: str, *, connections: int, sync: int = 0) -> dict[str, object]:
    route = {"name": "r-1", "prefix": "/", "serviceName": service, "timeoutMs": 1000, "priority": 0}
    return {
        "configVersion": 7,
        "routeTable": [
            {**route, "dbName": "orders", "routeType": "primary", "targetLatencyMs": 100},
            {
                **route,
                "name": "r-2",
                "dbName": "plans",
                "routeType": "read_your_writes",
                "targetLatencyMs": 200,
                "maxStalenessMs": 2500,
            },
        ],
        "services": [{"name": service, "maxConnections": connections, "syncReplicas": sync}],
        "limits": {"txIdleMs": 3000},
    }
