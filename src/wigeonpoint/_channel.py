"""Multiplexed JSON requests over one persistent WebSocket.

Every answer carries the id of its request, so that answers may arrive late or out of order. An
answer to a request that has timed out or was cancelled is dropped.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from tornado.httpclient import HTTPRequest
from tornado.websocket import (
    WebSocketClientConnection,
    WebSocketClosedError,
    WebSocketHandler,
    websocket_connect,
)

from wigeonpoint.errors import (
    NotRun,
    OutcomeUnknown,
    ResultCode,
    WigeonpointError,
    error_for,
)

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_RUNNING = 1024  # requests of a channel that are served at once; further ones wait unread
INVALID_DATA_CODE = 1007  # WebSocket close code
_COMPRESSION = {"compression_level": 1, "mem_level": 5}
_BASE_HEADERS = {"Content-Type": "application/json"}

Responder = Callable[[str, Any], Awaitable[Any]]


class JsonChannel:
    """Client side of a channel; one task reads all answers.

    Use `JsonChannel.open` to connect.
    """

    def __init__(self, url: str, connection: WebSocketClientConnection) -> None:
        self._url = url
        self._connection = connection
        self._ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._closed = False
        self._reader = asyncio.create_task(self._read_answers())

    @property
    def closed(self) -> bool:
        """Whether the channel can no longer send requests."""
        return self._closed

    @property
    def pending(self) -> int:
        """Number of requests without an answer."""
        return len(self._pending)

    @classmethod
    async def open(
        cls,
        url: str,
        *,
        timeout: float,
        headers: dict[str, str] | None = None,
        compress: bool = False,
    ) -> JsonChannel:
        """Connects to a channel.

        Args:
            url: `ws://host:port/path`.
            timeout: Seconds to wait for the connection.
            headers: Additional HTTP headers, such as authorisation.
            compress: Whether to compress messages in both directions, if the server does so too.

        Raises:
            NotRun: PEER_UNREACHABLE when no connection could be made, CONNECTION_LIMIT when the
                server refused it with status 503.
        """
        request = HTTPRequest(
            url, headers={**_BASE_HEADERS, **(headers or {})}, connect_timeout=timeout
        )
        try:
            connection = await asyncio.wait_for(
                websocket_connect(
                    request,
                    max_message_size=MAX_MESSAGE_BYTES,
                    compression_options=_COMPRESSION if compress else None,
                ),
                timeout,
            )
        except Exception as error:
            if getattr(error, "code", None) == 503:
                raise NotRun(
                    ResultCode.CONNECTION_LIMIT, f"{url} accepts no further connection"
                ) from error
            raise NotRun(
                ResultCode.PEER_UNREACHABLE, f"cannot connect to {url}: {error}"
            ) from error
        return cls(url, connection)

    async def request(self, kind: str, body: Any, *, timeout: float) -> Any:
        """Sends a request and waits for its answer.

        Args:
            kind: Type of the request.
            body: JSON value or data class.
            timeout: Seconds to wait for the answer.

        Returns:
            The body of the answer, as decoded JSON.

        Raises:
            NotRun: The channel was closed before the request was sent, or the server refused it.
            OutcomeUnknown: The request was sent, but no answer arrived.
        """
        if self._closed:
            raise NotRun(ResultCode.PEER_UNREACHABLE, f"channel to {self._url} is closed")
        number = next(self._ids)
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[Any] = loop.create_future()
        self._pending[number] = answer
        frame = orjson.dumps({"id": number, "type": kind, "body": body})
        # A timer on the answer costs less than `asyncio.wait_for`, which adds a second future.
        timer = loop.call_later(timeout, _expire, answer)
        try:
            self._connection.write_message(frame)
            return await answer
        except WebSocketClosedError as error:  # closed before the reading task noticed
            raise NotRun(
                ResultCode.PEER_UNREACHABLE, f"channel to {self._url} is closed"
            ) from error
        except TimeoutError as error:
            raise OutcomeUnknown(
                ResultCode.DEADLINE_EXCEEDED, f"no answer from {self._url} to {kind} in time"
            ) from error
        finally:
            timer.cancel()
            self._pending.pop(number, None)

    def close(self) -> None:
        """Closes the channel; requests without an answer end with an unknown outcome."""
        if not self._closed:
            self._closed = True
            self._reader.cancel()
            self._connection.close()
            self._fail_pending()

    async def _read_answers(self) -> None:
        while True:
            data = await self._connection.read_message()
            if data is None:
                break
            try:
                self._resolve(orjson.loads(data))
            except (ValueError, TypeError, KeyError, AttributeError):  # no answer of a channel
                self._connection.close(INVALID_DATA_CODE)
                break
        self._closed = True
        self._fail_pending()

    def _resolve(self, frame: dict[str, Any]) -> None:
        answer = self._pending.get(frame["id"])
        if answer is None or answer.done():
            return
        error = frame.get("error")
        if error is None:
            answer.set_result(frame["body"])
        else:
            answer.set_exception(_decode_error(error))

    def _fail_pending(self) -> None:
        for answer in self._pending.values():
            if not answer.done():
                answer.set_exception(
                    OutcomeUnknown(
                        ResultCode.CONNECTION_LOST, f"connection to {self._url} was lost"
                    )
                )


class ChannelHandler(WebSocketHandler):
    """Server side of a channel; each request runs in a task of its own.

    Subclasses implement `respond`. Raising a `WigeonpointError` answers with its code.
    """

    def initialize(self) -> None:
        """Creates the set that keeps tasks of running requests from being garbage-collected."""
        self._running: set[asyncio.Task[None]] = set()

    def get_compression_options(self) -> dict[str, Any]:
        """Compresses messages on channels whose client asks for it."""
        return _COMPRESSION

    def check_origin(self, origin: str) -> bool:
        """Accepts any origin, because browsers do not open channels and channels use no cookies."""
        return True

    def open(self, *args: str, **kwargs: str) -> None:
        """Disables Nagle's algorithm, because requests are small and latency matters."""
        self.set_nodelay(True)

    async def respond(self, kind: str, body: Any) -> Any:
        """Answers one request.

        Args:
            kind: Type of the request.
            body: Decoded JSON.

        Returns:
            JSON value or data class.
        """
        raise NotImplementedError

    def on_message(self, message: str | bytes) -> Awaitable[None] | None:
        """Starts a task for a request; the next one is read once not too many are running."""
        frame = _decode_request(message)
        if frame is None:
            self.close(INVALID_DATA_CODE)
            return None
        task = asyncio.create_task(self._answer(frame))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return None if len(self._running) < MAX_RUNNING else self._wait_for_one()

    async def _wait_for_one(self) -> None:
        await asyncio.wait(self._running, return_when=asyncio.FIRST_COMPLETED)

    async def _answer(self, frame: dict[str, Any]) -> None:
        reply: dict[str, Any] = {"id": frame["id"]}
        try:
            reply["body"] = await self.respond(frame["type"], frame["body"])
        except WigeonpointError as error:
            reply["error"] = _encode_error(error)
        except Exception as error:  # an unexpected error in one request must not end the channel
            reply["error"] = _encode_error(
                OutcomeUnknown(ResultCode.INTERNAL, f"internal error: {error!r}")
            )
        if self.ws_connection is not None and not self.ws_connection.is_closing():
            await self.write_message(orjson.dumps(reply))


def _decode_request(message: str | bytes) -> dict[str, Any] | None:
    """Decodes a request; None if it is none."""
    try:
        frame = orjson.loads(message)
    except ValueError:
        return None
    if not isinstance(frame, dict) or "body" not in frame:
        return None
    valid = isinstance(frame.get("id"), int) and isinstance(frame.get("type"), str)
    return frame if valid else None


def _expire(answer: asyncio.Future[Any]) -> None:
    if not answer.done():
        answer.set_exception(TimeoutError())


def _encode_error(error: WigeonpointError) -> dict[str, Any]:
    return {
        "code": int(error.code),
        "message": error.message,
        "retry_after_ms": error.retry_after_ms,
    }


def _decode_error(error: dict[str, Any]) -> WigeonpointError:
    return error_for(
        ResultCode(error["code"]), error["message"], retry_after_ms=error.get("retry_after_ms")
    )
