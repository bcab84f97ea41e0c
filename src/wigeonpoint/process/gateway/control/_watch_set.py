"""Chooses the instances that an instance keeps in touch with.

Answers fleets of many instances: where each pings every other one, the messages of an instance
grow with the fleet. Beyond a few instances, each watches the next ones in its own data centre and
in every other one, and those that may arrange changes of primary. One instance of each data
centre asks the store for evidence on behalf of the others, which watch it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from wigeonpoint.version.catalogue import RegisteredInstance

# Up to this many instances each watches all others, which gives evidence without the store.
FULL_MESH_LIMIT = 8
WATCHED_HERE = 2
WATCHED_ELSEWHERE = 2  # in each other data centre; one failure must not hide a cut
# First instances by name, one of which arranges changes if the holder is lost.
BACKUP_COORDINATORS = 1


def watch_set(
    own: str, instances: Mapping[str, RegisteredInstance], *, holder: str | None
) -> frozenset[str]:
    """Names of the instances to watch.

    Args:
        own: Name of this instance.
        instances: Registered instances by name.
        holder: Holder of the duty to arrange changes of primary.
    """
    others = instances.keys() - {own}
    if len(instances) <= FULL_MESH_LIMIT or own not in instances:
        return frozenset(others)
    watched = set(sorted(instances)[:BACKUP_COORDINATORS])
    if holder is not None:
        watched.add(holder)
    watched.add(store_reader(own, instances))
    here = instances[own].data_centre
    for data_centre in {peer.data_centre for peer in instances.values()}:
        names = [name for name in others if instances[name].data_centre == data_centre]
        wanted = WATCHED_HERE if data_centre == here else WATCHED_ELSEWHERE
        watched.update(_next_in_ring(own, names, wanted))
    return frozenset(watched & others)


def store_reader(own: str, instances: Mapping[str, RegisteredInstance]) -> str:
    """The instance that asks the store for evidence in the data centre of a registered instance."""
    here = instances[own].data_centre
    names = [name for name, peer in instances.items() if peer.data_centre == here]
    return min(names, key=_ring_position)


def _next_in_ring(own: str, names: list[str], wanted: int) -> list[str]:
    """The names that follow an own one in their order, starting again at its end.

    Each name is so watched by about as many as any other.
    """
    ordered = sorted(names, key=_ring_position)
    start = sum(1 for name in ordered if _ring_position(name) < _ring_position(own))
    return [ordered[(start + step) % len(ordered)] for step in range(min(wanted, len(ordered)))]


def _ring_position(name: str) -> bytes:
    # Names carry their data centre, so their own order would have one instance watched by all.
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
