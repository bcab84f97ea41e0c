"""One gateway on the platform's own protocols, with one group of members, on loopback."""

from __future__ import annotations

import asyncio
import time

from tests.fakes import FakeNetwork
from tests.gateway._members import ModelGroup
from tests.userplatform._servers import MemberServer, PlatformServer, free_port
from wigeonpoint.platform import UserPlatform
from wigeonpoint.process.gateway import Gateway, GatewaySettings

SERVICE = "huvo11a"
CONFIG = {
    "configVersion": 7,
    "routeTable": [
        {
            "name": "r-1",
            "dbName": "orders",
            "prefix": "/",
            "routeType": "primary",
            "timeoutMs": 800,
            "targetLatencyMs": 100,
            "priority": 0,
            "serviceName": SERVICE,
        },
        {
            "name": "r-2",
            "dbName": "plans",
            "routeType": "read_your_writes",
            "timeoutMs": 800,
            "targetLatencyMs": 200,
            "priority": 1,
            "serviceName": SERVICE,
            "maxStalenessMs": 2500,
        },
        {"name": "broken", "dbName": 5},
    ],
    "services": [{"name": SERVICE, "maxConnections": 16, "syncReplicas": 0}],
    "limits": {"txIdleMs": 3000},
}


class Deployment:
    """One gateway with one group of three members."""

    def __init__(self) -> None:
        self.group = ModelGroup(SERVICE, FakeNetwork())
        self.platform = PlatformServer({SERVICE: self.group})
        self.members: dict[str, MemberServer] = {}
        self.gateway: Gateway | None = None
        self.address = ("127.0.0.1", free_port())

    async def start(self) -> None:
        """Starts everything and waits until the gateway is ready."""
        self.platform.start()
        for name in ("chur", "stgallen", "sargans"):
            member = self.group.add(f"i-{name}", name, primary=name == "chur")
            server = self.members[name] = MemberServer(self.group, member)
            await server.start()
            self.platform.put_member(member)
        self.platform.put("servers", "i-foreign", {"serviceName": SERVICE, "state": 3})
        self.platform.store.put("servers", "i-bytes", b"\xff\x00")
        self.platform.put("op", "config", CONFIG)
        settings = GatewaySettings(
            instance_id="front-chur-1",
            data_centre="chur",
            caller_address=f"127.0.0.1:{self.address[1]}",
            readiness_address=f"127.0.0.1:{free_port()}",
            peer_address=f"127.0.0.1:{free_port()}",
            seeds=(),
            store_address=self.platform.address,
            promotion_address=self.platform.address,
            grace_s=2.0,
            leaving_s=7.0,
            configuration_s=3.0,
        )
        self.gateway = Gateway(settings, UserPlatform(settings))
        self.gateway.start()
        await self.wait_until(lambda: self.gateway is not None and self.gateway.ready)
        await self.wait_until(lambda: self.gateway is not None and self.gateway.control.lease_valid)

    async def wait_until(self, condition: object, seconds: float = 10.0) -> None:
        """Waits until a condition holds; fails after `seconds`."""
        end = time.monotonic() + seconds
        while not condition():  # type: ignore[operator]
            assert time.monotonic() < end
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        """Stops everything."""
        if self.gateway is not None:
            self.gateway.stop()
        for member in self.members.values():
            member.crash()
        self.platform.stop()

    async def connect_caller(self) -> LineClient:
        """Connects a caller."""
        reader, writer = await asyncio.open_connection(*self.address)
        return LineClient(reader, writer)


class LineClient:
    """A caller that speaks the line protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, line: str) -> list[str]:
        """Sends a line and reads the whole answer."""
        self._writer.write(line.encode("latin-1") + b"\r\n")
        return await self.read()

    async def read(self) -> list[str]:
        """Reads lines up to READY, or to the end of the connection."""
        lines: list[str] = []
        while not lines or not lines[-1].startswith("READY"):
            line = await asyncio.wait_for(self._reader.readline(), 5.0)
            if not line:
                break
            lines.append(line.decode("latin-1").rstrip("\r\n"))
        return lines
