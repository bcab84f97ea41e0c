"""Tests of the HTTP client's time limits."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.platform._http import HttpClient

PARTS = 4
PART_INTERVAL_S = 0.15
TIMEOUT_S = 0.3


@asynccontextmanager
async def slow_server(parts_sent: int) -> AsyncIterator[str]:
    """A server that sends a body in parts, of which it may leave the last ones out."""
    ended = asyncio.Event()
    answers: set[asyncio.Task[None]] = set()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % PARTS)
        for _ in range(parts_sent):
            writer.write(b"x")
            await asyncio.sleep(PART_INTERVAL_S)
        await ended.wait()
        writer.close()
        await writer.wait_closed()

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answers.add(asyncio.ensure_future(answer(reader, writer)))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        ended.set()
        await asyncio.gather(*answers, return_exceptions=True)
        server.close()
        await server.wait_closed()


class TestTimeLimits:
    """How long a response may take."""

    async def test_large_response_may_take_longer_than_its_beginning(self) -> None:
        """Guards against a configuration that can never be read over a narrow link."""
        async with slow_server(PARTS) as address:
            response = await HttpClient(address).request("GET", "/", timeout=TIMEOUT_S)
            assert response.body == b"x" * PARTS

    async def test_response_that_stops_arriving_is_given_up(self) -> None:
        """Guards against a call that waits for good for the rest of a response."""
        async with slow_server(PARTS - 1) as address:
            with pytest.raises(StoreUnavailable):
                await HttpClient(address).request("GET", "/", timeout=TIMEOUT_S)
