"""Live instances, groups of backend servers and their owners, as this instance knows them."""

from __future__ import annotations

from collections import defaultdict

from wigeonpoint.backend import Backend
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process._owner_pool import OwnerPool
from wigeonpoint.services import Listing, ListingKind, ListingState
from wigeonpoint.version import BackendServer, GroupView, InstanceRecord


class Topology:
    """Live instances, database groups and the owners of backend servers.

    Args:
        own: Record of this instance.
        backend: Access to backend servers.
    """

    def __init__(self, own: InstanceRecord, backend: Backend) -> None:
        self._own = own
        self._backend = backend
        self._instances: dict[str, InstanceRecord] = {}
        self._groups: dict[str, GroupView] = {}
        self._global_pool = OwnerPool()  # owns the servers of data centres without instances
        self._local_pools: dict[str, OwnerPool] = defaultdict(OwnerPool)  # key: data centre
        self._changes = 0
        self.set_instances([own])

    @property
    def own(self) -> InstanceRecord:
        """Record of this instance."""
        return self._own

    @property
    def instances(self) -> list[InstanceRecord]:
        """Live instances, this one included unless it is leaving."""
        return list(self._instances.values())

    @property
    def changes(self) -> int:
        """Number of changes so far that may have changed an owner or added a group."""
        return self._changes

    @property
    def groups(self) -> list[GroupView]:
        """Known database groups."""
        return list(self._groups.values())

    def group(self, name: str) -> GroupView:
        """A database group.

        Raises:
            NotRun: UNKNOWN_GROUP when no backend server of the group is listed.
        """
        group = self._groups.get(name)
        if group is None:
            raise NotRun(ResultCode.UNKNOWN_GROUP, f"no backend server of group {name!r} is listed")
        return group

    def owner_of(self, server: BackendServer) -> InstanceRecord:
        """Owner of a backend server among the live instances."""
        local = self._local_pools.get(server.data_centre)
        return (local or self._global_pool).owner(server.id) or self._own

    def owns(self, server: BackendServer) -> bool:
        """Whether this instance owns a backend server."""
        return self.owner_of(server).id == self._own.id

    def set_instances(self, instances: list[InstanceRecord]) -> None:
        """Replaces the live instances, which do not include this one while it is leaving."""
        self._instances = {instance.id: instance for instance in instances}
        if not self._global_pool.replace(instances):
            return
        self._changes += 1
        by_data_centre: dict[str, list[InstanceRecord]] = defaultdict(list)
        for instance in self._instances.values():
            by_data_centre[instance.data_centre].append(instance)
        for data_centre in self._local_pools.keys() | by_data_centre.keys():
            self._local_pools[data_centre].replace(by_data_centre[data_centre])

    def apply_listings(self, listings: list[Listing]) -> None:
        """Applies the backend servers of the platform's directory.

        Listings without any backend server are ignored and leave the groups as they are.
        """
        servers: dict[str, list[BackendServer]] = defaultdict(list)
        for listing in listings:
            if listing.kind is ListingKind.BACKEND_SERVER:
                servers[listing.group].append(_server(listing))
        self._changes += 1
        for name, members in servers.items():
            self._apply_group(name, sorted(members, key=lambda server: server.id))
        if servers:
            self._forget_unlisted({one.id for members in servers.values() for one in members})

    def close(self) -> None:
        """Stops the tasks of all groups."""
        for group in self._groups.values():
            group.close()

    def _forget_unlisted(self, server_ids: set[str]) -> None:
        for pool in (self._global_pool, *self._local_pools.values()):
            pool.retain(server_ids)

    def _apply_group(self, name: str, members: list[BackendServer]) -> None:
        known = self._groups.get(name)
        if known is None:
            self._groups[name] = GroupView(name, members, self._backend)
        elif known.servers != members:
            known.set_servers(members)


def _server(listing: Listing) -> BackendServer:
    return BackendServer(
        id=listing.id,
        address=listing.address,
        data_centre=listing.data_centre,
        group=listing.group,
        leaving=listing.state is ListingState.LEAVING,
    )
