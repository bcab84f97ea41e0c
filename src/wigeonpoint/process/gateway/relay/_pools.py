"""Connections of this instance to the members that it relays for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from wigeonpoint.connection.session import MemberConnector
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.pool import MemberPool, MemberSharing
from wigeonpoint.version.catalogue import MemberRecord

PREWARMED_CONNECTIONS = 2
UNUSED_POOL_S = 2.0


class RelayPools:
    """A pool for each member that this instance relays for, regularly or for lost relays.

    Args:
        connector: Opens connections to members.
        sharing: Decides which members this instance relays for.
        groups: Returns the groups by name.
        keys_needed: Tells whether callers need the keys of customers.
        running: Returns the statements that this relay may run at a member at the same time.
    """

    def __init__(
        self,
        connector: MemberConnector,
        sharing: MemberSharing,
        groups: Callable[[], Mapping[str, Group]],
        keys_needed: Callable[[], bool],
        running: Callable[[MemberRecord], int],
    ) -> None:
        self._connector = connector
        self._sharing = sharing
        self._groups = groups
        self._keys_needed = keys_needed
        self._running = running
        self._pools: dict[str, MemberPool] = {}
        self._used_at: dict[str, float] = {}  # event-loop time in seconds, by member id

    @property
    def by_member(self) -> Mapping[str, MemberPool]:
        """The pools by member id."""
        return self._pools

    def use(self, group: Group, member_id: str) -> MemberPool:
        """Returns the pool of a member; creates it if needed.

        Raises:
            NotRun: NOT_OWNER; the member is not known here.
        """
        known = group.pool(member_id)
        if known is None:
            raise NotRun(ResultCode.NOT_OWNER, f"member {member_id} is not known here")
        self._used_at[member_id] = asyncio.get_running_loop().time()
        pool = self._pools.get(member_id)
        if pool is not None and pool.record.address == known.record.address:
            pool.update(known.record)
            return pool
        if pool is not None:
            pool.retire()
        pool = self._pools[member_id] = MemberPool(
            known.record,
            self._connector,
            share=lambda: self._sharing.relay_share(group.service.connection_limit),
            limit=lambda: group.service.connection_limit,
            running=lambda: self._running(known.record),
            takes_new=lambda: self._takes_new(group, member_id),
            names_customers=self._keys_needed,
        )
        return pool

    def maintain(self, *, draining: bool) -> None:
        """Opens first connections, probes unavailable members and retires unneeded pools.

        Args:
            draining: Whether this instance stops, and so opens none ahead of demand.
        """
        records = {
            pool.record.id: (group, pool.record)
            for group in self._groups().values()
            for pool in group.pools
        }
        if not draining:
            for group, record in records.values():
                if self._relays_for(group, record):
                    self._keep_warm(group, record.id)
        for member_id, pool in list(self._pools.items()):
            if member_id not in records or self._is_unused(pool):
                self._retire(member_id)
                continue
            if not pool.health.available:
                pool.probe()
            pool.close_spare_connections()

    def close(self) -> None:
        """Closes all connections that are not in use."""
        for member_id in list(self._pools):
            self._retire(member_id)

    @staticmethod
    def _takes_new(group: Group, member_id: str) -> bool:
        known = group.pool(member_id)
        return known is not None and known.takes_new

    def _relays_for(self, group: Group, record: MemberRecord) -> bool:
        limit = group.service.connection_limit
        if record.leaving or not self._sharing.relayed(limit):
            return False
        return self._sharing.is_relay(record, limit)

    def _keep_warm(self, group: Group, member_id: str) -> None:
        """Keeps some connections open, from the second call on.

        By then, instances that used the member directly have closed their connections.
        """
        known = member_id in self._pools
        pool = self.use(group, member_id)
        if known and pool.health.available:
            pool.prewarm(PREWARMED_CONNECTIONS)

    def _is_unused(self, pool: MemberPool) -> bool:
        """Whether a pool has served nothing for a while, as that of a former relay."""
        idle_s = asyncio.get_running_loop().time() - self._used_at[pool.record.id]
        return idle_s >= UNUSED_POOL_S and not pool.in_use and not pool.waiting

    def _retire(self, member_id: str) -> None:
        self._pools.pop(member_id).retire()
        del self._used_at[member_id]
