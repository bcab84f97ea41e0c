"""Limits of what callers may use of a process."""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_DESCRIPTORS = 200  # for files; sockets and pipes share the rest
CONNECTION_SHARE = 0.45  # of the sockets
PEER_CONNECTION_SHARE = 0.3  # of the sockets; members and the store use the rest
# Shares of the memory; the process without callers uses the rest.
CONNECTION_MEMORY_SHARE = 0.12
MESSAGE_MEMORY_SHARE = 0.15
REPLY_MEMORY_SHARE = 0.15
ANSWER_MEMORY_SHARE = 0.1
SESSION_MEMORY_SHARE = 0.05
# Objects of a session, the beginning of a message, and the kernel's buffer of unread bytes.
CONNECTION_BYTES = 64 * 1024
MIN_CONNECTIONS = 16
DEFAULT_MEMORY_BYTES = 512_000_000  # of a machine that states no limit
DEFAULT_CONNECTIONS = 4000


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may use of a process.

    Attributes:
        connections: Connections that may be open.
        message_bytes: Bytes that all messages of callers may hold.
        reply_bytes: Bytes that all replies may hold until callers have taken them.
        answer_bytes: Bytes that answers of members may hold while they arrive.
        session_bytes: Bytes that values and prepared statements of all sessions may hold.
        message_s: Seconds within which a message must arrive, from its first byte on.
        reply_s: Seconds within which a caller must take a reply.
    """

    connections: int
    message_bytes: int
    reply_bytes: int
    answer_bytes: int
    session_bytes: int
    message_s: float = 30.0
    reply_s: float = 30.0

    @classmethod
    def for_machine(cls, memory_bytes: int | None, max_descriptors: int | None) -> CallerLimits:
        """Derives the limits from those of the machine.

        Args:
            memory_bytes: Memory that the process may use, None if it is not limited.
            max_descriptors: File descriptors that it may open, None if that is not known.
        """
        memory = DEFAULT_MEMORY_BYTES if memory_bytes is None else memory_bytes
        connections = DEFAULT_CONNECTIONS
        if memory_bytes is not None:
            memory_connections = int(memory_bytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES)
            connections = max(memory_connections, MIN_CONNECTIONS)
        if max_descriptors is not None:
            connections = min(connections, _share_of_sockets(max_descriptors, CONNECTION_SHARE))
        return cls(
            connections=connections,
            message_bytes=int(memory * MESSAGE_MEMORY_SHARE),
            reply_bytes=int(memory * REPLY_MEMORY_SHARE),
            answer_bytes=int(memory * ANSWER_MEMORY_SHARE),
            session_bytes=int(memory * SESSION_MEMORY_SHARE),
        )


def peer_connections_for_machine(max_descriptors: int | None) -> int:
    """Number of connections that other instances may open to this one.

    Args:
        max_descriptors: File descriptors that the process may open, None if that is not known.
    """
    if max_descriptors is None:
        return DEFAULT_CONNECTIONS
    return _share_of_sockets(max_descriptors, PEER_CONNECTION_SHARE)


def _share_of_sockets(max_descriptors: int, share: float) -> int:
    sockets = max_descriptors - RESERVED_DESCRIPTORS
    return max(int(sockets * share), MIN_CONNECTIONS)
