"""Tests of answers that arrive late or out of order on one channel."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from wigeonpoint.backend._websocket import WebSocketConnection
from wigeonpoint.channel import JsonChannel
from wigeonpoint.errors import OutcomeUnknown

pytestmark = pytest.mark.looptime(noop_cycles=0)


class FakeSocket:
    """Client end of a WebSocket; the test sends the answers."""

    def __init__(self) -> None:
        self.frames: list[dict[str, Any]] = []
        self._answers: asyncio.Queue[bytes | None] = asyncio.Queue()

    def write_message(self, data: bytes) -> None:
        self.frames.append(orjson.loads(data))

    async def read_message(self) -> bytes | None:
        return await self._answers.get()

    def close(self) -> None:
        self._answers.put_nowait(None)

    def answer(self, frame: dict[str, Any], body: Any) -> None:
        self._answers.put_nowait(orjson.dumps({"id": frame["id"], "body": body}))


class TestCrossedAnswers:
    """Several requests on one channel."""

    async def test_each_request_gets_its_own_answer(self) -> None:
        """Guards against matching answers to requests by their order."""
        socket = FakeSocket()
        channel = JsonChannel("ws://test", socket)  # type: ignore[arg-type]
        requests = [
            asyncio.create_task(channel.request("echo", number, timeout=1.0))
            for number in range(50)
        ]
        await asyncio.sleep(0)
        for frame in reversed(socket.frames):
            socket.answer(frame, frame["body"])
        assert await asyncio.gather(*requests) == list(range(50))

    async def test_late_answer_is_dropped(self) -> None:
        """Guards against a late answer that is returned for the next request."""
        socket = FakeSocket()
        channel = JsonChannel("ws://test", socket)  # type: ignore[arg-type]
        with pytest.raises(OutcomeUnknown):
            await channel.request("echo", "first", timeout=0.1)
        second = asyncio.create_task(channel.request("echo", "second", timeout=1.0))
        await asyncio.sleep(0)
        socket.answer(socket.frames[0], "late")
        socket.answer(socket.frames[1], "own")
        assert await second == "own"

    async def test_backend_connection_with_a_pending_answer_is_closed(self) -> None:
        """Guards against reuse of a backend connection that still waits for an answer."""
        socket = FakeSocket()
        connection = WebSocketConnection(JsonChannel("ws://test", socket))  # type: ignore[arg-type]
        call = asyncio.create_task(connection.settle("r-1", "t-1", timeout=5.0))
        await asyncio.sleep(0.01)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        assert connection.closed
