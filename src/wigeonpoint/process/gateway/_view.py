"""What this instance knows of the platform's tables: the catalogue and the groups."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._platform import GatewayPlatform
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.services import VersionedRow
from wigeonpoint.version.catalogue import (
    ActiveCatalogue,
    Catalogue,
    MemberDirectory,
    MemberRecord,
    Service,
)


class PlatformView:
    """Applies the rows of the operators and of the members.

    Args:
        platform: The platform.
        data_centre: Data centre of this instance.
    """

    def __init__(self, platform: GatewayPlatform, data_centre: str) -> None:
        self._platform = platform
        self._data_centre = data_centre
        self._in_force = ActiveCatalogue()
        self._directory = MemberDirectory()
        self._groups: dict[str, Group] = {}
        self._decoded: dict[str, tuple[VersionedRow, MemberRecord | None]] = {}
        self._expiry: asyncio.TimerHandle | None = None
        self._known = asyncio.Event()
        self.instances = 1
        self.operators = TableFeed(platform.store, platform.tables.operators, self._apply_operators)
        self.members = TableFeed(platform.store, platform.tables.members, self._apply_members)

    @property
    def known(self) -> bool:
        """Whether routes and members are known."""
        return self._in_force.known and self.members.loaded

    @property
    def groups(self) -> dict[str, Group]:
        """Groups by name."""
        return self._groups

    def catalogue(self) -> Catalogue:
        """The catalogue in force."""
        return self._in_force.catalogue

    def group(self, name: str) -> Group:
        """A group by name; one without members yet is made."""
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = Group(
                name,
                self._platform.connector,
                data_centre=self._data_centre,
                service=lambda: self._service(name),
                instances=lambda: self.instances,
            )
        return group

    async def wait_until_known(self, *, timeout: float) -> bool:
        """Waits until routes and members are known.

        Args:
            timeout: Seconds to wait.

        Returns:
            Whether they are.
        """
        with suppress(TimeoutError):
            await asyncio.wait_for(self._known.wait(), timeout)
        return self.known

    def probe_data_centre(self, data_centre: str) -> None:
        """Tries to connect to the members of a data centre that has perhaps been cut off."""
        for group in self._groups.values():
            for pool in group.pools:
                if pool.record.data_centre == data_centre:
                    pool.note_late()

    def probe_primary(self, group: str) -> None:
        """Tries to connect to a primary that a peer does not reach; without traffic none shows."""
        known = self._groups.get(group)
        if known is not None and known.primary is not None:
            known.primary.note_late()

    def retry_suspects(self, data_centre: str | None = None) -> None:
        """Tries at once to connect to members that did not answer, after a fault has perhaps ended.

        Args:
            data_centre: Only members there; all members if None.
        """
        for group in self._groups.values():
            for pool in group.pools:
                if data_centre in (None, pool.record.data_centre) and not pool.health.available:
                    pool.health.retry_now()
                    pool.probe()

    def start(self) -> None:
        """Starts to follow the tables."""
        self.operators.start()
        self.members.start()

    def close(self) -> None:
        """Stops to follow the tables and closes the connections."""
        self.operators.close()
        self.members.close()
        if self._expiry is not None:
            self._expiry.cancel()
        for group in self._groups.values():
            group.set_members([])

    def _service(self, name: str) -> Service:
        return self._in_force.catalogue.service(name)

    def _apply_operators(self) -> None:
        row = self.operators.rows.get(self._platform.tables.catalogue_key)
        catalogue = self._platform.decode_catalogue(row) if row is not None else None
        if catalogue is not None and self._in_force.replace_if_newer(catalogue):
            log_event(
                Event.CATALOGUE_APPLIED,
                version=catalogue.version,
                routes=len(catalogue.routes),
                store_version=self.operators.version,
            )
        self._note_known()

    def _apply_members(self) -> None:
        now = asyncio.get_running_loop().time()
        rows = self.members.rows
        self._decoded = {key: self._decode(row) for key, row in rows.items()}
        records = [record for _, record in self._decoded.values() if record is not None]
        self._directory.replace(records, now=now, store_stable=self.members.stable)
        self._set_groups()
        self._schedule_expiry(now)
        self._note_known()

    def _note_known(self) -> None:
        if self.known:
            self._known.set()

    def _decode(self, row: VersionedRow) -> tuple[VersionedRow, MemberRecord | None]:
        known = self._decoded.get(row.key)
        if known is not None and known[0].version == row.version:
            return known
        return row, self._platform.decode_member(row)

    def _set_groups(self) -> None:
        for name in {record.service for record in self._directory.records.values()}:
            self.group(name)
        for name, group in self._groups.items():
            group.set_members(self._directory.of_service(name))
            group.prewarm()

    def _schedule_expiry(self, now: float) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        expiry = self._directory.next_expiry
        if expiry is not None:
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(max(expiry - now, 0), self._expire)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self.members.reachable:
            # Entries lapse while the store is away; they are judged after its return.
            self._schedule_expiry(now + 0.5)
            return
        for record in self._directory.expire(now):
            log_event(Event.MEMBERS_CHANGED, member=record.id, change="gone")
        self._set_groups()
        self._schedule_expiry(now)
