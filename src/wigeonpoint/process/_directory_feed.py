"""Keeps this instance in step with the platform's list, through two pollers in a data centre."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from wigeonpoint.connection import PeerDispatcher, PeerTransport
from wigeonpoint.errors import PlatformError, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._pollers import list_pollers
from wigeonpoint.process._swim_messages import ListVersion
from wigeonpoint.services import ConditionalDirectory, Directory, Listing
from wigeonpoint.version import InstanceRecord

POLL_S = 0.5
# Without conditional reads every poll carries the list, 1.5 MB for 10,400 listings.
UNCONDITIONAL_POLL_S = 5.0
FETCH_TIMEOUT_S = 2.0
HISTORY = 256  # changes kept, so that peers fetch changes instead of the whole list


@dataclass(frozen=True, slots=True)
class ListChange:
    """Difference between two versions of the list."""

    before: ListVersion
    after: ListVersion
    put: list[Listing] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class FetchDirectoryMessage:
    """Asks for what changed since a version."""

    known: ListVersion


@dataclass(frozen=True, slots=True)
class FetchDirectoryReply:
    """Changes in order, or the whole list when the known version is too old or foreign."""

    version: ListVersion
    changes: list[ListChange] = field(default_factory=list)
    listings: list[Listing] | None = None


class DirectoryFeed:
    """Holds the newest known version of the platform's list.

    Args:
        directory: The platform's list.
        own: Record of this instance.
        live: Gives the live instances, which share the polling.
        transport: Sends messages to instances.
        apply: Called with every new list.
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
        self._read_version: str | None = None  # the platform's version of the list in use
        self._own = own
        self._live = live
        self._transport = transport
        self._apply = apply
        self._version = ListVersion()
        self._listings: dict[str, Listing] = {}
        self._history: deque[ListChange] = deque(maxlen=HISTORY)
        self._task: asyncio.Task[None] | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._polls = 0
        self._unavailable = False

    @property
    def version(self) -> ListVersion:
        """Version of the list in use."""
        return self._version

    @property
    def polls(self) -> int:
        """Calls to the platform so far."""
        return self._polls

    @property
    def polling(self) -> bool:
        """Whether this instance is one of its data centre's pollers."""
        local = [i for i in self._live() if i.data_centre == self._own.data_centre]
        return self._own.id in list_pollers(local)

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler of peers that ask for the list."""
        dispatcher.register(FetchDirectoryMessage, self.answer_fetch)

    def start(self) -> None:
        """Starts polling whenever this instance is a poller."""
        self._task = asyncio.create_task(self._poll())

    def close(self) -> None:
        """Ends polling."""
        for task in (self._task, self._fetch):
            if task is not None:
                task.cancel()

    def notice(self, version: ListVersion, address: str) -> None:
        """Fetches a newer version from the peer that has it, one fetch at a time."""
        if version > self._version and (self._fetch is None or self._fetch.done()):
            self._fetch = asyncio.create_task(self._fetch_from(address))

    async def answer_fetch(self, message: FetchDirectoryMessage) -> FetchDirectoryReply:
        """Answers with the changes since a version, or with the whole list."""
        history = list(self._history)
        for index, change in enumerate(history):
            if change.before == message.known and message.known.number > 0:
                return FetchDirectoryReply(self._version, history[index:])
        return FetchDirectoryReply(self._version, listings=list(self._listings.values()))

    async def _poll(self) -> None:
        while True:
            if self.polling:
                await self._poll_once()
            await asyncio.sleep(POLL_S if self._conditional is not None else UNCONDITIONAL_POLL_S)

    async def _poll_once(self) -> None:
        self._polls += 1
        try:
            await self._read_list()
        except PlatformError:
            self._note_available(False)  # the last list stays in use
            return
        self._note_available(True)

    async def _read_list(self) -> None:
        if self._conditional is None:
            self._take(await self._directory.list())
            return
        read = await self._conditional.list_since(self._read_version)
        if read is not None:
            self._take(read.listings)
            self._read_version = read.version or None

    def _take(self, listings: list[Listing]) -> None:
        found = {listing.id: listing for listing in listings}
        # A list that is empty says nothing; the platform never lists nobody.
        if found and found != self._listings:
            self._replace(found, ListVersion(self._version.number + 1, _digest(found)))

    async def _fetch_from(self, address: str) -> None:
        try:
            reply = await self._transport.request(
                address,
                FetchDirectoryMessage(self._version),
                FetchDirectoryReply,
                timeout=FETCH_TIMEOUT_S,
            )
        except WigeonpointError:
            return  # the next ping that carries the version tries again
        for change in reply.changes:
            self._apply_change(change)
        if reply.listings is not None and reply.version > self._version:
            self._replace({listing.id: listing for listing in reply.listings}, reply.version)

    def _apply_change(self, change: ListChange) -> None:
        if change.before != self._version:
            return  # a poll or another fetch was faster
        found = {i: listing for i, listing in self._listings.items() if i not in change.removed}
        found.update({listing.id: listing for listing in change.put})
        self._replace(found, change.after)

    def _replace(self, found: dict[str, Listing], version: ListVersion) -> None:
        put = [listing for i, listing in found.items() if self._listings.get(i) != listing]
        removed = [i for i in self._listings if i not in found]
        self._history.append(ListChange(self._version, version, put, removed))
        self._version = version
        self._listings = found
        # A list from a peer may differ from the last one read here; the next poll reads it whole.
        self._read_version = None
        self._apply(list(found.values()))

    def _note_available(self, available: bool) -> None:
        if self._unavailable == available:
            self._unavailable = not available
            log_event(Event.DIRECTORY_AVAILABLE if available else Event.DIRECTORY_UNAVAILABLE)


def _digest(listings: dict[str, Listing]) -> int:
    digest = blake2b(digest_size=6)
    for listing_id in sorted(listings):
        digest.update(repr(listings[listing_id]).encode())
    return int.from_bytes(digest.digest(), "big")
