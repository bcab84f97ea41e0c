"""Rendezvous hashing of backend servers to instances, cached across changes of the instances."""

from __future__ import annotations

from collections.abc import Iterable, Set

from wigeonpoint.version import InstanceRecord, rendezvous_weight


class OwnerPool:
    """Finds the same owners as `owner_of`, without hashing every pair again after a change.

    With 8,700 backend servers and 131 instances per data centre, hashing all pairs again would
    block the event loop for seconds, and some instance is replaced about once a minute. Instead, an
    added instance is compared with the cached owners, and a removed one only affects the servers
    that it owned.
    """

    def __init__(self) -> None:
        self._instances: dict[str, InstanceRecord] = {}
        self._owners: dict[str, tuple[int, InstanceRecord]] = {}

    def __bool__(self) -> bool:
        """Whether the pool has instances."""
        return bool(self._instances)

    def replace(self, instances: Iterable[InstanceRecord]) -> bool:
        """Replaces the set of instances.

        Returns:
            Whether it differs from the previous set.
        """
        found = {instance.id: instance for instance in instances}
        if found == self._instances:
            return False
        removed_ids = {i for i, known in self._instances.items() if found.get(i) != known}
        added = [one for i, one in found.items() if self._instances.get(i) != one]
        self._instances = found
        self._owners = {
            server_id: _highest_weight(server_id, owner, added)
            for server_id, owner in self._owners.items()
            if owner[1].id not in removed_ids
        }
        return True

    def retain(self, server_ids: Set[str]) -> None:
        """Drops the cached owners of all other servers."""
        self._owners = {i: owner for i, owner in self._owners.items() if i in server_ids}

    def owner(self, server_id: str) -> InstanceRecord | None:
        """Returns the owner of a server, or None while the pool has no instances."""
        known = self._owners.get(server_id)
        if known is None:
            if not self._instances:
                return None
            first, *others = self._instances.values()
            known = _highest_weight(
                server_id, (rendezvous_weight(server_id, first.id), first), others
            )
            self._owners[server_id] = known
        return known[1]


def _highest_weight(
    server_id: str, best: tuple[int, InstanceRecord], others: Iterable[InstanceRecord]
) -> tuple[int, InstanceRecord]:
    for instance in others:
        weight = rendezvous_weight(server_id, instance.id)
        if (weight, instance.id) > (best[0], best[1].id):
            best = (weight, instance)
    return best
