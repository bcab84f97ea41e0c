"""Tests of channels to peers that cannot be reached."""

from __future__ import annotations

import asyncio
import gc
import socket
from collections.abc import AsyncIterator
from contextlib import suppress

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from wigeonpoint.connection import PeerChannels, PeerDispatcher
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.platform._peers import PeerHandler
from wigeonpoint.process.gateway.control._messages import (
    AwaitChange,
    FetchTable,
    LatestChange,
    TableCopy,
    TableRow,
)

SHORT_S = 0.2
# Less than the timeout of the connection attempt, which is 1 s.
SLACK_S = 0.4


@pytest.fixture
async def silent_address() -> AsyncIterator[str]:
    """Address of a peer that accepts connections and never answers, as in a network partition."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()


@pytest.fixture
async def channels() -> AsyncIterator[PeerChannels]:
    """Channels of an instance."""
    opened = PeerChannels("127.0.0.1:1", PeerDispatcher(), "")
    yield opened
    opened.close()


class TestUnreachablePeer:
    """A peer that does not answer the connection attempt."""

    async def test_request_timeout_includes_connecting(
        self, channels: PeerChannels, silent_address: str
    ) -> None:
        """Guards against a change of primary that waits for a connection to a failed instance."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(NotRun) as refusal:
            await channels.request(silent_address, FetchTable("t"), TableCopy, timeout=SHORT_S)
        assert refusal.value.code is ResultCode.PEER_UNREACHABLE
        assert loop.time() - began < SHORT_S + SLACK_S

    async def test_disconnect_fails_requests_that_wait_for_the_connection(
        self, channels: PeerChannels, silent_address: str
    ) -> None:
        """Guards against a task that is cancelled because another task disconnected its peer."""
        request = asyncio.create_task(
            channels.request(silent_address, FetchTable("t"), TableCopy, timeout=5.0)
        )
        await asyncio.sleep(0.05)
        channels.disconnect(silent_address)
        with pytest.raises(NotRun) as refusal:
            await asyncio.wait_for(request, SLACK_S)
        assert refusal.value.code is ResultCode.PEER_UNREACHABLE


class RecordingHandler(PeerHandler):
    """Records which extensions of the protocol clients ask for."""

    def open(self, *args: str, **kwargs: str) -> None:
        """Opens the channel."""
        super().open(*args, **kwargs)
        self.settings["extensions"].append(self.request.headers.get("Sec-WebSocket-Extensions", ""))


class TestLargeCopies:
    """Copies of a configuration of many routes."""

    @pytest.mark.parametrize("compress", [False, True])
    async def test_only_channels_for_copies_are_compressed(self, compress: bool) -> None:
        """Guards against copies that fill narrow links with repeated field names."""
        value = ",".join(f'{{"name":"route-{number}","timeoutMs":800}}' for number in range(1500))

        async def answer(message: FetchTable) -> TableCopy:
            return TableCopy([TableRow("config", value, 1)], 1, 1)

        dispatcher = PeerDispatcher()
        dispatcher.register(FetchTable, answer)
        handlers = [("/peer", RecordingHandler, {"dispatcher": dispatcher})]
        extensions: list[str] = []
        listener = HTTPServer(Application(handlers, extensions=extensions))
        sockets = bind_sockets(0, "127.0.0.1")
        listener.add_sockets(sockets)
        channels = PeerChannels("127.0.0.1:1", PeerDispatcher(), "", compress=compress)
        address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        copy = await channels.request(address, FetchTable("op"), TableCopy, timeout=5.0)
        channels.close()
        listener.stop()
        assert copy.rows[0].value == value
        assert ["permessage-deflate" in one for one in extensions] == [compress]


class TestAbandonedConnection:
    """A connection attempt that fails when no request waits for it any more."""

    async def test_its_failure_is_not_reported_as_lost(self) -> None:
        """Guards against tracebacks in the log, unbounded and outside its structured lines."""
        reported: list[str] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context["message"]))
        with socket.socket() as silent:
            silent.bind(("127.0.0.1", 0))  # not listening: connections are refused
            channels = PeerChannels("own:1", PeerDispatcher(), "key")
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            request = asyncio.create_task(
                channels.request(address, AwaitChange("t", 0, 0, 1.0), LatestChange, timeout=1.0)
            )
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            request.cancel()
            with suppress(asyncio.CancelledError):
                await request
            await asyncio.sleep(0.3)
        gc.collect()
        await asyncio.sleep(0)
        assert reported == []
