"""Learns of changes of one table from peers as soon as they know them.

In a large fleet most instances copy the tables, and relays run statements for others. A relay that
learned of a change only by its next pings could run statements under a newer configuration, sent by
an instance that has it already, while it still refuses its own callers by an older one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from functools import partial

from wigeonpoint.connection import PeerDispatcher, PeerTransport
from wigeonpoint.errors import InvalidRequest, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._background import start_loop
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.process.gateway.control._messages import AwaitChange, LatestChange
from wigeonpoint.process.gateway.control._table_exchange import TableExchange
from wigeonpoint.services import era_of, make_version, number_of

AWAIT_CHANGE_S = 5.0
ANSWER_MARGIN_S = 0.5
RETRY_PAUSE_S = 0.4
# A copy from another data centre is fetched only if none came from the own one by then, as bytes
# between data centres are charged.
REMOTE_COPY_DELAY_S = 0.05


class ChangeWatch:
    """Waits at peers for changes of a table, and copies the table from the first that has one.

    Args:
        transport: Sends messages.
        exchange: Fetches copies.
        table: Name of the table.
        feed: Copy of the table on this instance.
    """

    def __init__(
        self, transport: PeerTransport, exchange: TableExchange, table: str, feed: TableFeed
    ) -> None:
        self._transport = transport
        self._exchange = exchange
        self._table = table
        self._feed = feed
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler of peers that wait for a change."""
        dispatcher.register(AwaitChange, self._answer_await)

    def update(self, peers: Mapping[str, bool]) -> None:
        """Sets the peers at which changes are awaited.

        Args:
            peers: Whether each peer is in the data centre of this instance, by address.
        """
        for address in self._tasks.keys() - peers.keys():
            self._tasks.pop(address).cancel()
        for address in peers.keys() - self._tasks.keys():
            delay_s = 0.0 if peers[address] else REMOTE_COPY_DELAY_S
            self._tasks[address] = start_loop(partial(self._watch, address, delay_s))

    def close(self) -> None:
        """Ends all waiting."""
        self.update({})

    async def _watch(self, address: str, delay_s: float) -> None:
        answers = True
        while True:
            try:
                changed = await self._await_change(address)
                if self._feed.lacks(changed):
                    await asyncio.sleep(delay_s)
                    await self._exchange.copy_change(address, self._table, changed)
                answers = True
            except InvalidRequest:
                await asyncio.sleep(AWAIT_CHANGE_S)  # an instance of an earlier build
            except WigeonpointError as error:
                if answers:
                    self._log_failure(address, error)
                answers = False
                await asyncio.sleep(RETRY_PAUSE_S)

    def _log_failure(self, address: str, error: WigeonpointError) -> None:
        log_event(
            Event.CHANGE_WATCH_FAILED, address=address, table=self._table, reason=error.message
        )

    async def _await_change(self, address: str) -> int:
        """Waits until a peer knows a later change; returns the version of its latest one."""
        known = self._feed.changed
        message = AwaitChange(self._table, number_of(known), era_of(known), AWAIT_CHANGE_S)
        latest = await self._transport.request(
            address, message, LatestChange, timeout=AWAIT_CHANGE_S + ANSWER_MARGIN_S
        )
        return make_version(latest.era, latest.changed)

    async def _answer_await(self, request: AwaitChange) -> LatestChange:
        known = make_version(request.era, request.changed)
        changed = self._feed.changed
        if request.table == self._table:
            timeout = min(request.wait_s, AWAIT_CHANGE_S)
            changed = await self._feed.wait_for_change(known, timeout=timeout)
        return LatestChange(number_of(changed), era_of(changed))
