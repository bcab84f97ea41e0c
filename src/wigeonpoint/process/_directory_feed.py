"""Keeps a copy of the platform's directory, which two pollers in each data centre read."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from wigeonpoint.connection import PeerDispatcher, PeerTransport
from wigeonpoint.errors import PlatformError, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._pollers import directory_pollers
from wigeonpoint.process._swim_messages import DirectoryVersion
from wigeonpoint.services import ConditionalDirectory, Directory, Listing
from wigeonpoint.version import InstanceRecord

POLL_INTERVAL_S = 0.5
# Without conditional reads every poll transfers the whole directory, 1.5 MB for 10,400 listings.
UNCONDITIONAL_POLL_INTERVAL_S = 5.0
FETCH_TIMEOUT_S = 2.0
MAX_CHANGES = 256  # retained changes, which peers fetch instead of the whole directory


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """Difference between two versions of the directory."""

    before: DirectoryVersion
    after: DirectoryVersion
    put: list[Listing] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class FetchDirectoryMessage:
    """Requests the changes since a version."""

    known: DirectoryVersion


@dataclass(frozen=True, slots=True)
class FetchDirectoryReply:
    """Changes in order, or all listings when the requested version is too old or unknown."""

    version: DirectoryVersion
    changes: list[DirectoryChange] = field(default_factory=list)
    listings: list[Listing] | None = None


class DirectoryFeed:
    """Holds the newest known version of the platform's directory.

    Args:
        directory: The platform's directory of instances and backend servers.
        own: Record of this instance.
        live: Returns the live instances, among which the pollers are chosen.
        transport: Sends messages to instances.
        apply: Called with all listings of every new version.
    """

    def __init__(
        self,
        directory: Directory,
        *,
        own: InstanceRecord,
        live: Callable[[], list[InstanceRecord]],
        transport: PeerTransport,
        apply: Callable[[list[Listing]], None],
    ) -> None:
        self._directory = directory
        self._conditional = directory if isinstance(directory, ConditionalDirectory) else None
        # The platform's version of the current listings; None if they came from a peer.
        self._platform_version: str | None = None
        self._own = own
        self._live = live
        self._transport = transport
        self._apply = apply
        self._version = DirectoryVersion()
        self._listings: dict[str, Listing] = {}
        self._history: deque[DirectoryChange] = deque(maxlen=MAX_CHANGES)
        self._task: asyncio.Task[None] | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._polls = 0
        self._unavailable = False

    @property
    def version(self) -> DirectoryVersion:
        """Version of the current listings."""
        return self._version

    @property
    def polls(self) -> int:
        """Calls to the platform so far."""
        return self._polls

    @property
    def is_poller(self) -> bool:
        """Whether this instance polls the directory for its data centre."""
        local = [i for i in self._live() if i.data_centre == self._own.data_centre]
        return self._own.id in directory_pollers(local)

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler."""
        dispatcher.register(FetchDirectoryMessage, self.answer_fetch)

    def start(self) -> None:
        """Starts polling whenever this instance is a poller."""
        self._task = asyncio.create_task(self._poll())

    def close(self) -> None:
        """Stops polling."""
        for task in (self._task, self._fetch):
            if task is not None:
                task.cancel()

    def fetch_if_newer(self, version: DirectoryVersion, address: str) -> None:
        """Fetches a newer version from the peer that has it, one fetch at a time."""
        if version > self._version and (self._fetch is None or self._fetch.done()):
            self._fetch = asyncio.create_task(self._fetch_from(address))

    async def answer_fetch(self, message: FetchDirectoryMessage) -> FetchDirectoryReply:
        """Answers with the changes since a version, or with all listings."""
        history = list(self._history)
        for index, change in enumerate(history):
            if change.before == message.known and message.known.number > 0:
                return FetchDirectoryReply(self._version, history[index:])
        return FetchDirectoryReply(self._version, listings=list(self._listings.values()))

    async def _poll(self) -> None:
        while True:
            if self.is_poller:
                await self._poll_once()
            await asyncio.sleep(
                POLL_INTERVAL_S if self._conditional is not None else UNCONDITIONAL_POLL_INTERVAL_S
            )

    async def _poll_once(self) -> None:
        self._polls += 1
        try:
            await self._read_directory()
        except PlatformError:
            self._set_available(False)  # the last listings stay in use
            return
        self._set_available(True)

    async def _read_directory(self) -> None:
        if self._conditional is None:
            self._adopt_read(await self._directory.list())
            return
        read = await self._conditional.list_since(self._platform_version)
        if read is not None:
            self._adopt_read(read.listings)
            self._platform_version = read.version or None

    def _adopt_read(self, listings: list[Listing]) -> None:
        found = {listing.id: listing for listing in listings}
        # An empty directory is taken for a fault, since the platform always lists something.
        if found and found != self._listings:
            self._replace(found, DirectoryVersion(self._version.number + 1, _digest(found)))

    async def _fetch_from(self, address: str) -> None:
        try:
            reply = await self._transport.request(
                address,
                FetchDirectoryMessage(self._version),
                FetchDirectoryReply,
                timeout=FETCH_TIMEOUT_S,
            )
        except WigeonpointError:
            return  # the next ping with a newer version starts another fetch
        for change in reply.changes:
            self._apply_change(change)
        if reply.listings is not None and reply.version > self._version:
            self._replace({listing.id: listing for listing in reply.listings}, reply.version)

    def _apply_change(self, change: DirectoryChange) -> None:
        if change.before != self._version:
            return  # a poll or another fetch replaced the version meanwhile
        found = {i: listing for i, listing in self._listings.items() if i not in change.removed}
        found.update({listing.id: listing for listing in change.put})
        self._replace(found, change.after)

    def _replace(self, found: dict[str, Listing], version: DirectoryVersion) -> None:
        put = [listing for i, listing in found.items() if self._listings.get(i) != listing]
        removed = [i for i in self._listings if i not in found]
        self._history.append(DirectoryChange(self._version, version, put, removed))
        self._version = version
        self._listings = found
        # A peer's listings may differ from those last read here, so the next poll reads all.
        self._platform_version = None
        self._apply(list(found.values()))

    def _set_available(self, available: bool) -> None:
        if self._unavailable == available:
            self._unavailable = not available
            log_event(Event.DIRECTORY_AVAILABLE if available else Event.DIRECTORY_UNAVAILABLE)


def _digest(listings: dict[str, Listing]) -> int:
    digest = blake2b(digest_size=6)
    for listing_id in sorted(listings):
        digest.update(repr(listings[listing_id]).encode())
    return int.from_bytes(digest.digest(), "big")
