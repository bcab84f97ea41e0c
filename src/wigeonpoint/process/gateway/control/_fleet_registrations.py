"""The registrations of the fleet as one instance knows them, its own among them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from wigeonpoint.process.gateway._background import start_loop
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.process.gateway.control._fleet import UNLISTED_GRACE_S, RegisteredFleet
from wigeonpoint.process.gateway.control._lease import Lease
from wigeonpoint.process.gateway.control._records import ControlRecords, instance_row
from wigeonpoint.process.gateway.control._registration import Registration
from wigeonpoint.process.gateway.control._watch_set import FULL_MESH_LIMIT, store_reader
from wigeonpoint.version.catalogue import RegisteredInstance

# After a start, for which tables are copied from an instance that reads them for the data centre,
# if there is one. Most instances of a fleet have registered by then.
SETTLING_S = 1.0


class FleetRegistrations:
    """Keeps this instance registered, and tells which instances claimants have to wait for.

    Args:
        registration: The row that this instance writes for itself.
        feed: Feed of the control table.
        records: The control rows.
        lease: The lease of this instance, whose clock counts.
        on_change: Called when the registrations have to be applied again.
        on_instances_changed: Called when instances have been registered or deregistered.
    """

    def __init__(
        self,
        registration: Registration,
        feed: TableFeed,
        records: ControlRecords,
        lease: Lease,
        *,
        on_change: Callable[[], None],
        on_instances_changed: Callable[[], None],
    ) -> None:
        self._registration = registration
        self._feed = feed
        self._records = records
        self._lease = lease
        self._on_change = on_change
        self._on_instances_changed = on_instances_changed
        self._known = RegisteredFleet(registration.name)
        self._listed_version: int | None = None
        self._registered_since: float | None = None
        self._started_at = float("-inf")
        self._unlisted_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def own_row(self) -> RegisteredInstance:
        """The row that this instance writes for itself."""
        return self._registration.row

    @property
    def listed(self) -> dict[str, RegisteredInstance]:
        """Instances by name whose registration the store holds."""
        return self._known.listed

    @property
    def instances(self) -> dict[str, RegisteredInstance]:
        """Registered instances by name, this one included.

        An instance whose registration was lost in a restore of the store is kept until it has had
        the time to register again.
        """
        return self._known.instances

    @property
    def peers(self) -> dict[str, RegisteredInstance]:
        """Registered instances by name, without this one."""
        return self._known.peers

    @property
    def deregistered(self) -> Mapping[str, RegisteredInstance]:
        """Instances by name that others have deregistered, and that may still run."""
        return self._known.deregistered

    @property
    def forgotten(self) -> Mapping[str, RegisteredInstance]:
        """Instances by name of which a restored store knows nothing, and that may still run."""
        return self._known.forgotten

    @property
    def registered(self) -> bool:
        """Whether this instance is registered, so that claimants wait for its confirmation.

        Claims from before its registration do not wait for it, so it must have read them.
        """
        return self._listed_version is not None and self._listed_version <= self._feed.version

    @property
    def registered_since(self) -> float:
        """Time in seconds, by the lease's clock, since when this instance knows its registration.

        Instances whose copy of the registrations is older may not know this one; it is the present
        time while this instance is not registered.
        """
        return self._lease.now if self._registered_since is None else self._registered_since

    @property
    def registered_before(self) -> bool:
        """Whether the instance was registered when this process started."""
        return self.registered and not self._registration.written

    @property
    def reads_for_others(self) -> bool:
        """Whether this instance reads the store on behalf of its data centre, or of itself only."""
        if len(self.instances) <= FULL_MESH_LIMIT or not self.registered:
            return True
        own = self._registration.name
        return store_reader(own, self.instances) == own

    @property
    def registration_attempted(self) -> bool:
        """Whether this process has tried to write its registration."""
        return self._registration.attempted

    @property
    def settling(self) -> bool:
        """Whether this instance has just started, and may not know yet which one reads the store.

        If all instances of a fleet that starts read and followed all tables, the number of calls of
        the store would grow with its size.
        """
        if self.registered and self.reads_for_others:
            return False
        return self._lease.now - self._started_at < SETTLING_S

    def start(self) -> None:
        """Registers this instance."""
        self._started_at = self._lease.now
        self._task = start_loop(self._registration.run)

    def close(self) -> None:
        """Stops all tasks."""
        if self._unlisted_timer is not None:
            self._unlisted_timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def apply_rows(self) -> None:
        """Applies the newest copy of the control rows."""
        own = self._registration.name
        rows = self._records.instances()
        if self._registration.leaving:
            rows.pop(own, None)
        known = self.instances
        for name in self._known.update(rows, era=self._feed.era, now=self._lease.now):
            self._lease.forget_peer(name)
        if self.listed.get(own) != self._registration.row:
            self._listed_version = None
        elif self._listed_version is None:
            self._listed_version = self._records.version(instance_row(own).key)
        if not self.registered:
            self._registered_since = None
        elif self._registered_since is None:
            self._registered_since = self._lease.now
        if self._known.unlisted and self._unlisted_timer is None:
            loop = asyncio.get_running_loop()
            self._unlisted_timer = loop.call_later(UNLISTED_GRACE_S, self._end_unlisted_grace)
        if self.instances is not known:
            self._on_instances_changed()

    async def deregister_instance(self, name: str) -> None:
        """Deregisters an instance that has been lost."""
        known = self.instances.get(name) or self.forgotten.get(name)
        if known is not None:
            await self._registration.end_other(name, known)

    async def remove_instance(self, name: str) -> None:
        """Removes the row of an instance that was deregistered long ago."""
        await self._registration.remove_other(name)

    async def deregister(self, *, timeout: float) -> None:
        """Deregisters this instance; it may use no primary afterwards.

        Args:
            timeout: Seconds to wait for the store.
        """
        self._known.leave()
        self._listed_version = None
        await self._registration.end(timeout=timeout)

    def _end_unlisted_grace(self) -> None:
        self._unlisted_timer = None
        self._on_change()
