"""HTTP/1.1 client with keep-alive connections, for the platform's store and promotion call."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.platform._sockets import connect_stream

CONNECT_TIMEOUT_S = 1.0
# A response whose body arrives in parts is awaited for this long after each part. A large one takes
# longer over a narrow link than a caller waits for the first part.
BODY_STALL_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 4


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete HTTP response.

    Attributes:
        status: HTTP status code.
        body: Response body.
        headers: Header fields; names are matched without regard to case.
    """

    status: int
    body: bytes
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)


class HttpClient:
    """HTTP client for one address; a connection carries one request at a time.

    Args:
        address: `host:port`.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle: list[IOStream] = []

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float,
    ) -> HttpResponse:
        """Sends a request and waits for the response.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Request body.
            headers: Further headers.
            timeout: Seconds until the body must have begun to arrive; each part of it extends this.

        Raises:
            StoreUnavailable: No complete response arrived; the request may have taken effect.
        """
        stream: IOStream | None = None
        try:
            async with asyncio.timeout(timeout) as limit:
                stream = self._idle.pop() if self._idle else None
                if stream is None or stream.closed():
                    stream = await connect_stream(self._address, timeout=CONNECT_TIMEOUT_S)
                collector = _ResponseCollector(limit)
                response = await _exchange(
                    stream, self._address, method, path, body, headers or {}, collector
                )
        except (OSError, StreamClosedError, TimeoutError) as error:
            _close(stream)
            reason = str(error) or "no answer in time"
            raise StoreUnavailable(f"{method} {self._address}{path}: {reason}") from error
        except asyncio.CancelledError:
            _close(stream)  # a late response must not be read as that of the next request
            raise
        if not stream.closed() and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(stream)
        else:
            stream.close()
        return response

    def close(self) -> None:
        """Closes the idle connections."""
        for stream in self._idle:
            stream.close()
        self._idle.clear()


class _ResponseCollector(HTTPMessageDelegate):
    """Collects the parts of a response, and extends its time limit with each.

    Args:
        limit: The time limit.
    """

    def __init__(self, limit: asyncio.Timeout) -> None:
        self._limit = limit
        self.status = 0
        self.headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self.complete = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
            self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        stalled_at = asyncio.get_running_loop().time() + BODY_STALL_TIMEOUT_S
        if not self._limit.expired():
            self._limit.reschedule(max(self._limit.when() or 0.0, stalled_at))

    def finish(self) -> None:
        self.complete = True

    @property
    def body(self) -> bytes:
        return b"".join(self._chunks)


async def _exchange(
    stream: IOStream,
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    collector: _ResponseCollector,
) -> HttpResponse:
    parameters = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)
    connection = HTTP1Connection(stream, True, parameters)
    fields = HTTPHeaders({"Host": address, **headers})
    if body or method in ("POST", "PUT"):
        fields["Content-Type"] = fields.get("Content-Type", "application/json")
        fields["Content-Length"] = str(len(body))
    await connection.write_headers(RequestStartLine(method, path, "HTTP/1.1"), fields, body)
    connection.finish()
    await connection.read_response(collector)
    if not collector.complete:
        raise StreamClosedError()
    connection.detach()
    return HttpResponse(collector.status, collector.body, collector.headers)


def _close(stream: IOStream | None) -> None:
    if stream is not None:
        stream.close()
