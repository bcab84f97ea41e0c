"""Bounds of what the kernel keeps of connections."""

from __future__ import annotations

import socket
from contextlib import suppress

CALLER_BUFFER_BYTES = 32 * 1024  # of a connection that carries the messages of one caller
SHARED_BUFFER_BYTES = 256 * 1024  # of a connection that may carry those of many


def bound_kernel_buffers(listening: socket.socket, count: int) -> None:
    """Bounds what the kernel keeps of connections that a listening socket accepts.

    Bytes that have arrived and were not read count as memory of the process.

    Args:
        listening: The listening socket.
        count: Bytes in each direction.
    """
    with suppress(OSError):  # a kernel that does not support this uses its own bounds
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, count)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, count)
