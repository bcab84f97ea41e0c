"""Keeps the active configuration up to date from peers, tables and edits.

A state is applied only if its number is above the active one, whatever its source.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Iterable
from contextlib import suppress
from typing import Any

from wigeonpoint.connection import (
    AnnounceConfigurationMessage,
    ConfigurationNumberReply,
    FetchConfigurationMessage,
    FetchConfigurationReply,
    PeerDispatcher,
    PeerTransport,
    StatusMessage,
    StatusReply,
)
from wigeonpoint.errors import ConfigurationRefused, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._configuration_history import ConfigurationHistory
from wigeonpoint.process._configuration_peers import ConfigurationPeers
from wigeonpoint.process._configuration_poller import ConfigurationPoller
from wigeonpoint.process._configuration_start import ConfigurationStart
from wigeonpoint.process._topology import Topology
from wigeonpoint.services import Platform
from wigeonpoint.version import (
    Configuration,
    ConfigurationState,
    ConfigurationStore,
    Edit,
    Editor,
    EditResult,
)

EXCHANGE_INTERVAL_S = 1.0  # mean time between two exchanges of numbers with a random peer
FETCH_TIMEOUT_S = 1.0
SNAPSHOT_ATTEMPTS = 5
SNAPSHOT_RETRY_PAUSE_S = 2.0


class ConfigurationFeed:
    """Holds the active state, applies newer ones and announces them to peers.

    Args:
        platform: Services of the platform.
        topology: Live instances and groups.
        transport: Sends messages to instances.
        dispatcher: Receives the handlers of messages from instances.
        peers: Addresses to ask first when starting.
    """

    def __init__(
        self,
        platform: Platform,
        topology: Topology,
        transport: PeerTransport,
        dispatcher: PeerDispatcher,
        *,
        peers: Iterable[str] = (),
    ) -> None:
        self._transport = transport
        self._state = ConfigurationState()
        self._history = ConfigurationHistory()
        self._peers = ConfigurationPeers(topology, transport)
        self._store = ConfigurationStore(platform)

        def groups() -> set[str]:
            return {group.name for group in topology.groups}

        self._editor = Editor(self._store, self._current_state, groups)
        self._poller = ConfigurationPoller(self._store, self._current_state, self._peers, groups)
        self._startup = ConfigurationStart(
            self._peers, self._store, platform.directory, list(peers), self._fetch
        )
        self._offered_numbers: dict[str, int] = {}
        self._fetching = False
        self._started = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._register(dispatcher)

    @property
    def configuration(self) -> Configuration:
        """The active configuration."""
        return self._state.configuration

    @property
    def state(self) -> ConfigurationState:
        """The active state, with its rows as written."""
        return self._state

    @property
    def number(self) -> int:
        """Number of the active state, which membership pings carry."""
        return self._state.number

    @property
    def store(self) -> ConfigurationStore:
        """Accepted states and rows in the table service."""
        return self._store

    @property
    def status(self) -> StatusReply:
        """Active state of this instance, as shown to operators."""
        own = self._peers.own
        return StatusReply(
            own.id,
            own.data_centre,
            self.number,
            self._state.digest,
            self._peers.is_poller,
            self._poller.problems,
        )

    def start(self) -> None:
        """Starts all tasks."""
        self._spawn(self._run())
        self._spawn(self._exchange_periodically())

    def close(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def note_number(self, number: int, address: str) -> None:
        """Records the number of a peer's active state, and fetches the state if it is newer.

        Args:
            number: Number that is active at the peer.
            address: Address of the peer.
        """
        self._peers.record_number(address, number)
        if number > self.number:
            self._offered_numbers[address] = max(number, self._offered_numbers.get(address, 0))
            self._fetch_if_offered()

    async def edit(self, edit: Edit) -> EditResult:
        """Commits an operator's edit and applies the new state on this instance.

        Raises:
            ConfigurationRefused: The edit is refused.
            StoreUnavailable: The outcome is unknown; repeat the edit with its id.
        """
        try:
            result = await self._editor.apply(edit)
        except ConfigurationRefused as error:
            log_event(Event.EDIT_REFUSED, edit_id=edit.edit_id, code=int(error.code))
            raise
        state = result.state
        if state is None and result.number > self.number:
            # The answer to the first attempt was lost, so no instance has applied the state yet.
            with suppress(WigeonpointError):
                state = await self._store.state(await self._store.head())
        if state is not None:
            log_event(Event.EDIT_ACCEPTED, edit_id=edit.edit_id, state=result.number)
            self._apply_accepted(state)
        return result

    def _fetch_if_offered(self) -> None:
        # A starting instance compares all sources first, so that it does not serve requests with
        # an outdated state of the first peer that calls it.
        if self._started and self._offered_numbers and not self._fetching:
            self._fetching = True
            self._spawn(self._fetch_offered())

    def _current_state(self) -> ConfigurationState:
        return self._state

    def _register(self, dispatcher: PeerDispatcher) -> None:
        dispatcher.register(AnnounceConfigurationMessage, self._on_announce)
        dispatcher.register(FetchConfigurationMessage, self._on_fetch)
        dispatcher.register(StatusMessage, self._on_status)

    async def _on_announce(self, message: AnnounceConfigurationMessage) -> ConfigurationNumberReply:
        self.note_number(message.number, message.address)
        return ConfigurationNumberReply(self.number)

    async def _on_fetch(self, message: FetchConfigurationMessage) -> FetchConfigurationReply:
        if message.since >= self.number:
            return FetchConfigurationReply(None)
        return FetchConfigurationReply(self._history.change_to(self._state, message.since))

    async def _on_status(self, message: StatusMessage) -> StatusReply:
        return self.status

    async def _run(self) -> None:
        self._apply(await self._startup.highest_state())
        self._started = True
        self._fetch_if_offered()
        await self._poller.run(self._apply, self._apply_accepted)

    async def _exchange_periodically(self) -> None:
        while True:
            # Random pauses keep instances that started together from calling at the same time.
            await asyncio.sleep(random.uniform(0.5, 1.5) * EXCHANGE_INTERVAL_S)
            if self._started and self.number == 0:
                self._apply(await self._startup.highest_state(read_directory=False))
            peer = self._peers.random_peer()
            if peer is not None:
                for address, number in (await self._peers.exchange(self.number, [peer])).items():
                    self.note_number(number, address)

    async def _fetch_offered(self) -> None:
        try:
            while self._offered_numbers:
                address = max(self._offered_numbers, key=lambda one: self._offered_numbers[one])
                if self._offered_numbers.pop(address) > self.number:
                    state = await self._fetch(address)
                    if state is not None:
                        self._apply(state)
        finally:
            self._fetching = False

    async def _fetch(self, address: str) -> ConfigurationState | None:
        """Fetches a newer state from a peer, as changed rows if these are sufficient."""
        for since in (self.number, 0):
            base = self._state
            try:
                reply = await self._transport.request(
                    address,
                    FetchConfigurationMessage(since),
                    FetchConfigurationReply,
                    timeout=FETCH_TIMEOUT_S,
                )
                return None if reply.change is None else base.apply(reply.change)
            except ConfigurationRefused as error:
                log_event(Event.CONFIGURATION_COPY_DAMAGED, peer=address, reason=error.message)
            except WigeonpointError:
                return None  # the next announcement or exchange starts another fetch
        return None

    def _apply_accepted(self, state: ConfigurationState) -> None:
        self._apply(state)
        self._spawn(self._write_snapshot(state))

    def _apply(self, state: ConfigurationState | None) -> None:
        if state is None or state.number <= self.number:
            return
        self._history.add(state.change_since(self._state))
        self._state = state
        log_event(Event.CONFIGURATION_APPLIED, state=state.number)
        self._spawn(self._peers.announce(state.number))

    async def _write_snapshot(self, state: ConfigurationState) -> None:
        for _ in range(SNAPSHOT_ATTEMPTS):
            if state.number < self.number:
                return  # the instance that accepted the newer state writes that snapshot
            try:
                await self._store.write_snapshot(state)
                return
            except WigeonpointError:
                await asyncio.sleep(SNAPSHOT_RETRY_PAUSE_S)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
