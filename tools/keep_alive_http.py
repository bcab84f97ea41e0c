"""Minimal HTTP/1.1 client with keep-alive connections, for measurements with little overhead."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import orjson


@dataclass(slots=True)
class KeepAliveConnection:
    """A keep-alive connection, which carries one request at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def open(cls, address: str) -> KeepAliveConnection:
        """Connects to `host:port`."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader, writer)

    async def request(self, method: str, path: str, body: Any, *, token: str) -> tuple[int, Any]:
        """Sends a request with a JSON body; returns status and decoded body."""
        data = b"" if body is None else orjson.dumps(body)
        return await self._exchange(method, path, data, token)

    async def request_raw(self, path: str, data: bytes, *, token: str) -> tuple[int, Any]:
        """Posts bytes unchanged; returns status and decoded body."""
        return await self._exchange("POST", path, data, token)

    async def _exchange(self, method: str, path: str, data: bytes, token: str) -> tuple[int, Any]:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer {token}\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        self.writer.write(head.encode() + data)
        raw = await self.reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        length = next(
            int(line.split(":")[1]) for line in lines if line.lower().startswith("content-length")
        )
        content = await self.reader.readexactly(length)
        return int(lines[0].split()[1]), orjson.loads(content) if content else None

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
