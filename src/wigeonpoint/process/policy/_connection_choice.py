"""Decides which connection makes room for a new one."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol, TypeVar


class ConnectionUse(IntEnum):
    """What a connection is used for; the lower, the less its end costs."""

    UNOPENED = 0  # nothing has been answered on it yet
    IDLE = 1  # it waits for a message outside a transaction
    RECEIVING = 2  # a message has arrived in part
    IN_TRANSACTION = 3  # it waits for a message in a transaction
    WORKING = 4  # a message is being served or a reply is being sent


class OpenConnection(Protocol):
    """What the decision needs to know of a connection."""

    @property
    def use(self) -> ConnectionUse:
        """What it is used for."""
        ...

    @property
    def waiting_since(self) -> float:
        """Event-loop time, in seconds, since which it waits for a message."""
        ...


ConnectionT = TypeVar("ConnectionT", bound=OpenConnection)


def connection_to_close(connections: Iterable[ConnectionT]) -> ConnectionT | None:
    """Chooses the connection whose end costs least, among equals the one that waits for longest.

    Args:
        connections: All open connections.

    Returns:
        The connection, or None if all are at work.
    """
    waiting = [one for one in connections if one.use is not ConnectionUse.WORKING]
    return min(waiting, key=lambda one: (one.use, one.waiting_since), default=None)
