"""TCP connections that detect a peer that lost power or is cut off by a network partition."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream, StreamClosedError

TCP_USER_TIMEOUT_MS = 1500  # closes the connection when sent bytes stay unacknowledged this long
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_BUFFER_BYTES = 8 * 1024 * 1024


def tune_socket(connection: socket.socket) -> None:
    """Sends small messages at once (TCP_NODELAY) and detects a peer that stays silent."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port` into host and port.

    Raises:
        ValueError: The text is not `host:port`.
    """
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {address!r}")
    return host, int(port)


async def connect_stream(address: str, *, timeout: float) -> IOStream:
    """Connects to `host:port`.

    Args:
        address: Address to connect to.
        timeout: Seconds to wait for the connection.

    Raises:
        OSError: The connection failed or timed out.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    stream = IOStream(connection, max_buffer_size=MAX_BUFFER_BYTES)
    try:
        tune_socket(connection)
        async with asyncio.timeout(timeout):
            await stream.connect(split_address(address))
    except (StreamClosedError, ValueError) as error:
        stream.close()
        raise OSError(f"cannot connect to {address}: {_error_text(error)}") from error
    except TimeoutError as error:
        stream.close()
        raise OSError(f"{address} did not accept a connection in time") from error
    except BaseException:
        stream.close()
        raise
    return stream


def _error_text(error: Exception) -> str:
    if isinstance(error, StreamClosedError) and error.real_error is not None:
        return str(error.real_error)
    return str(error)
