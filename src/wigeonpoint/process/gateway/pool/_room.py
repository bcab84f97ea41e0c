"""Decides who gives up a connection when another customer needs one.

A connection names its customer for its whole life. When a member accepts no more of them, a waiting
customer without one can only be served if a connection of another customer is closed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from wigeonpoint.process._schedule import RANKS, QueueEntry

# A request whose customer has an open connection passes one that needs a new connection only if it
# arrived less than this much later. Longer, customers without connections would starve behind a
# busy one; shorter, connections would be closed and opened for each statement.
PATIENCE_S = 0.05
# Of the connections to a member, that one customer may use at a time, idle transactions included.
USE_SHARE = 0.6


def choose_victim(
    idle: Mapping[str, int], waiting: Iterable[str], recent: Callable[[str], float]
) -> str | None:
    """The customer whose idle connection is least likely to be needed soon.

    Args:
        idle: Numbers of idle connections by customer.
        waiting: Customers with requests that wait for an idle connection, which keep theirs.
        recent: Returns how often a customer has needed a connection recently.

    Returns:
        The customer, None if all idle connections are about to be used.
    """
    kept = set(waiting)
    candidates = [name for name in idle if name not in kept]
    return min(candidates, key=lambda name: recent(name) / idle[name], default=None)


def displaces(entry: QueueEntry, rival: QueueEntry, *, over_share: bool) -> bool:
    """Whether a connection that becomes idle is closed for a request of another customer.

    Args:
        entry: The request that needs a new connection.
        rival: The next request of the customer that the connection serves.
        over_share: Whether that customer holds more connections than its equal share.
    """
    if entry.rank is not rival.rank:
        return RANKS.index(entry.rank) < RANKS.index(rival.rank)
    patience_s = 0.0 if over_share else PATIENCE_S
    return entry.queued_at + patience_s < rival.queued_at


def use_limit(limit: int) -> int:
    """Connections that one customer may use at a time.

    Args:
        limit: Connections to the member that this instance may hold.
    """
    return max(int(limit * USE_SHARE), 1)
