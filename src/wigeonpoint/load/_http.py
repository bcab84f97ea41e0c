"""Sends requests over keep-alive HTTP/1.1 connections.

Tornado's own client opens a connection for each request, which takes four times the processor time
of a keep-alive connection, so that results would show the load generator's limits instead of the
instances'.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import orjson
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from wigeonpoint.errors import Outcome
from wigeonpoint.load._replay import Reply
from wigeonpoint.load._trace import Arrival

ANSWER_MARGIN_S = 1.0
NO_ANSWER = Reply(Outcome.UNKNOWN, -1)


class _ResponseBody(HTTPMessageDelegate):
    """Collects the body of a response."""

    def __init__(self) -> None:
        self.data = b""
        self.finished = False

    def data_received(self, chunk: bytes) -> None:
        """Appends a chunk."""
        self.data += chunk

    def finish(self) -> None:
        """Marks the body as complete."""
        self.finished = True


class KeepAliveConnections:
    """Sends requests to several instances in turn, over keep-alive connections.

    Args:
        addresses: `host:port` of the instances.
        tokens: Bearer token by name of the caller; the empty name is for all others.
    """

    def __init__(self, addresses: list[str], tokens: dict[str, str]) -> None:
        self._addresses = itertools.cycle(addresses)
        self._tokens = tokens
        self._idle: dict[str, list[IOStream]] = {address: [] for address in addresses}
        self._client = TCPClient()
        self.opened = 0

    async def send(self, arrival: Arrival) -> Reply:
        """Sends a request to the next instance; without an answer, the outcome is unknown."""
        address = next(self._addresses)
        timeout = arrival.deadline_ms / 1000 + ANSWER_MARGIN_S
        try:
            return await asyncio.wait_for(self._exchange(address, arrival), timeout)
        except (StreamClosedError, OSError, TimeoutError):
            return NO_ANSWER

    def close(self) -> None:
        """Closes all idle connections."""
        for streams in self._idle.values():
            for stream in streams:
                stream.close()
            streams.clear()

    async def _exchange(self, address: str, arrival: Arrival) -> Reply:
        stream = await self._take_stream(address)
        body = _ResponseBody()
        try:
            connection = HTTP1Connection(stream, True, HTTP1ConnectionParameters())
            content = orjson.dumps(_request_body(arrival))
            token = self._tokens.get(arrival.caller, self._tokens.get("", ""))
            headers = HTTPHeaders(
                {
                    "Host": address,
                    "Authorization": f"Bearer {token}",
                    "Content-Length": str(len(content)),
                }
            )
            await connection.write_headers(
                RequestStartLine("POST", "/v1/statements", "HTTP/1.1"), headers, content
            )
            connection.finish()
            await connection.read_response(body)
        finally:
            if body.finished and not stream.closed():
                self._idle[address].append(stream)
            else:
                stream.close()
        return _reply(body)

    async def _take_stream(self, address: str) -> IOStream:
        """Returns an idle connection, or opens one."""
        idle = self._idle[address]
        while idle:
            stream = idle.pop()
            if not stream.closed():
                return stream
        host, port = address.rsplit(":", 1)
        self.opened += 1
        stream = await self._client.connect(host, int(port))
        stream.set_nodelay(True)
        return stream


def _request_body(arrival: Arrival) -> dict[str, Any]:
    body = {
        "route": arrival.route,
        "text": arrival.text,
        "access": arrival.access,
        "rank": arrival.rank,
        "deadline_ms": arrival.deadline_ms,
    }
    if arrival.max_age_ms is not None:
        body["max_age_ms"] = arrival.max_age_ms
    return body


def _reply(body: _ResponseBody) -> Reply:
    if not body.finished:
        return NO_ANSWER
    answer = orjson.loads(body.data)
    return Reply(Outcome(answer["outcome"]), answer["code"], answer.get("retry_after_ms"))
