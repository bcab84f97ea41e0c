"""TCP connections that notice a peer without power or behind a partition."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream, StreamClosedError

UNACKNOWLEDGED_MS = 1500  # sent bytes that stay unacknowledged for this long end the connection
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_BUFFER_BYTES = 8 * 1024 * 1024


def tune_socket(connection: socket.socket) -> None:
    """Sends small messages at once, and ends connections whose peer stays silent."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port`.

    Raises:
        ValueError: The text is no such address.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {address!r}")
    return host, int(port)


async def connect_stream(address: str, *, timeout: float) -> IOStream:
    """Connects to `host:port`.

    Args:
        address: The address.
        timeout: Seconds to wait.

    Raises:
        OSError: No connection could be made in time.
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
        raise OSError(f"cannot connect to {address}: {_reason(error)}") from error
    except TimeoutError as error:
        stream.close()
        raise OSError(f"{address} did not accept a connection in time") from error
    except BaseException:
        stream.close()
        raise
    return stream


def _reason(error: Exception) -> str:
    if isinstance(error, StreamClosedError) and error.real_error is not None:
        return str(error.real_error)
    return str(error)
