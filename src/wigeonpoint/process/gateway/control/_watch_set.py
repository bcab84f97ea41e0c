"""Chooses the watch set of an instance: the peers that it pings.

If every instance pinged all others, the number of messages per instance would grow with the fleet.
In a fleet of more than a few instances, each watches the next ones on a ring in its own data centre
and in every other one, and those that may arrange changes of primary. One instance per data centre
reads the store on behalf of the others there, which watch it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Mapping

from wigeonpoint.version.catalogue import RegisteredInstance

# Up to this many instances, each watches all others, so that their answers renew leases without the
# store.
FULL_MESH_LIMIT = 8
LOCAL_WATCH_COUNT = 2  # in the own data centre
# In all other data centres together, where each has at least one; pings between data centres are
# charged, and with several, one failure does not hide a network partition.
REMOTE_WATCH_COUNT = 4
MAX_REMOTE_WATCH_COUNT = 2  # in one other data centre
# First instances by name, which take over if the coordinator is lost.
BACKUP_COORDINATORS = 1


def watch_set(
    own: str, instances: Mapping[str, RegisteredInstance], *, active: Collection[str]
) -> frozenset[str]:
    """Names of the instances to watch.

    Args:
        own: Name of this instance.
        instances: Registered instances by name.
        active: The present coordinator, and the instances that arrange changes of primary.
    """
    others = instances.keys() - {own}
    if len(instances) <= FULL_MESH_LIMIT or own not in instances:
        return frozenset(others)
    watched = set(sorted(instances)[:BACKUP_COORDINATORS])
    watched.update(active)
    watched.add(store_reader(own, instances))
    own_data_centre = instances[own].data_centre
    data_centres = {peer.data_centre for peer in instances.values()}
    for data_centre in data_centres:
        names = [name for name in others if instances[name].data_centre == data_centre]
        local = data_centre == own_data_centre
        count = LOCAL_WATCH_COUNT if local else _remote_watch_count(len(data_centres) - 1)
        watched.update(_next_in_ring(own, names, count))
    return frozenset(watched & others)


def store_reader(own: str, instances: Mapping[str, RegisteredInstance]) -> str:
    """The instance that reads the store for the data centre of a registered instance."""
    own_data_centre = instances[own].data_centre
    names = [name for name, peer in instances.items() if peer.data_centre == own_data_centre]
    return min(names, key=_ring_position)


def _remote_watch_count(other_data_centres: int) -> int:
    """Number of instances to watch in each other data centre."""
    return min(max(REMOTE_WATCH_COUNT // other_data_centres, 1), MAX_REMOTE_WATCH_COUNT)


def _next_in_ring(own: str, names: list[str], count: int) -> list[str]:
    """The names that follow an instance's own name on the ring.

    This spreads the watchers evenly over the instances.
    """
    ordered = sorted(names, key=_ring_position)
    start = sum(1 for name in ordered if _ring_position(name) < _ring_position(own))
    return [ordered[(start + step) % len(ordered)] for step in range(min(count, len(ordered)))]


def _ring_position(name: str) -> bytes:
    # Names often contain the data centre, so in the order of the names themselves one instance of a
    # data centre would be watched by all instances of another.
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
