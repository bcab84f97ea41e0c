"""Keeps the configuration in force in step with peers, tables and edits.

Numbers are applied in increasing order only, whatever source offers them.
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
from wigeonpoint.process._configuration_poller import ConfigurationPoller
from wigeonpoint.process._configuration_spread import ConfigurationPeers
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

EXCHANGE_S = 1.0  # mean pause between two exchanges of numbers with a random peer
FETCH_TIMEOUT_S = 1.0
SNAPSHOT_ATTEMPTS = 5
SNAPSHOT_PAUSE_S = 2.0


class ConfigurationFeed:
    """Holds the state in force, takes later ones and passes them on.

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

        self._editor = Editor(self._store, self._current, groups)
        self._poller = ConfigurationPoller(self._store, self._current, self._peers, groups)
        self._start = ConfigurationStart(
            self._peers, self._store, platform.directory, list(peers), self._fetch
        )
        self._offers: dict[str, int] = {}
        self._fetching = False
        self._started = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._register(dispatcher)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._state.configuration

    @property
    def state(self) -> ConfigurationState:
        """The state in force, with its rows as written."""
        return self._state

    @property
    def number(self) -> int:
        """Number of the state in force; heartbeats carry it."""
        return self._state.number

    @property
    def store(self) -> ConfigurationStore:
        """Accepted states and rows in the table service."""
        return self._store

    @property
    def status(self) -> StatusReply:
        """What this instance has in force."""
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
        """Ends all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def note_number(self, number: int, address: str) -> None:
        """Takes note of the number that a peer has in force, and fetches a later state.

        Args:
            number: Number in force at the peer.
            address: Address of the peer.
        """
        self._peers.note(address, number)
        if number > self.number:
            self._offers[address] = max(number, self._offers.get(address, 0))
            self._fetch_if_offered()

    async def edit(self, edit: Edit) -> EditResult:
        """Applies an operator's edit and puts the new state in force here.

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
            # The answer was lost, so that no instance has put the state in force yet.
            with suppress(WigeonpointError):
                state = await self._store.state(await self._store.head())
        if state is not None:
            log_event(Event.EDIT_ACCEPTED, edit_id=edit.edit_id, state=result.number)
            self._accept(state)
        return result

    def _fetch_if_offered(self) -> None:
        # A starting instance first compares all sources, so that it does not serve with the
        # state of the first peer that happens to call.
        if self._started and self._offers and not self._fetching:
            self._fetching = True
            self._spawn(self._fetch_offers())

    def _current(self) -> ConfigurationState:
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
        self._apply(await self._start.highest_state())
        self._started = True
        self._fetch_if_offered()
        await self._poller.run(self._apply, self._accept)

    async def _exchange_periodically(self) -> None:
        while True:
            # Random pauses keep instances that started together from calling in step.
            await asyncio.sleep(random.uniform(0.5, 1.5) * EXCHANGE_S)
            if self._started and self.number == 0:
                self._apply(await self._start.highest_state(read_list=False))
            peer = self._peers.random_peer()
            if peer is not None:
                for address, number in (await self._peers.exchange(self.number, [peer])).items():
                    self.note_number(number, address)

    async def _fetch_offers(self) -> None:
        try:
            while self._offers:
                address = max(self._offers, key=lambda one: self._offers[one])
                if self._offers.pop(address) > self.number:
                    state = await self._fetch(address)
                    if state is not None:
                        self._apply(state)
        finally:
            self._fetching = False

    async def _fetch(self, address: str) -> ConfigurationState | None:
        """Fetches a later state from a peer, as changed rows where they lead to it."""
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
                return None  # announcements and exchanges offer the number again
        return None

    def _accept(self, state: ConfigurationState) -> None:
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
                return  # the instance that accepted the later state writes it
            try:
                await self._store.write_snapshot(state)
                return
            except WigeonpointError:
                await asyncio.sleep(SNAPSHOT_PAUSE_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
