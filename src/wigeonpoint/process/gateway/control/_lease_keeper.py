"""Renews the lease of an instance by reading the store when peers do not renew it in time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.process.gateway._table_feed import TableFeed
from wigeonpoint.process.gateway.control._lease import (
    FLEET_VIEW_MAX_AGE_S,
    LEASE_DURATION_S,
    Lease,
)

# The store is read when the lease has become this old, so that answers of peers may renew it first.
STORE_READ_AFTER_S = 0.4 * LEASE_DURATION_S
# In a large fleet one instance per data centre reads the store at that age. The others read it only
# if they do not hear from that instance, at random ages between these two, so that the first read
# makes the others unnecessary.
STORE_READ_EARLIEST_S = 0.65 * LEASE_DURATION_S
STORE_READ_LATEST_S = 0.75 * LEASE_DURATION_S
# Answers of peers renew leases without the store, except that the list of instances is read again
# at random ages between these two.
FLEET_READ_EARLIEST_S = 0.5 * FLEET_VIEW_MAX_AGE_S
FLEET_READ_LATEST_S = 0.7 * FLEET_VIEW_MAX_AGE_S
STORE_LATENCY_FACTOR = 1.3  # allows for an answer that takes longer than the average
STORE_LATENCY_WEIGHT = 0.3  # of the newest measurement in the moving average
STORE_READ_MARGIN_S = 0.1
MIN_CHECK_INTERVAL_S = 0.01


class LeaseKeeper:
    """Reads the store whenever the lease is due for renewal.

    Args:
        lease: The lease.
        feed: Feed of the control table.
        peers: Returns the names of all registered instances but this one.
        reads_for_others: Tells whether this instance reads the store on behalf of others.
        random_source: Source of the ages at which instances that are no readers read the store.
    """

    def __init__(
        self,
        lease: Lease,
        feed: TableFeed,
        peers: Callable[[], Collection[str]],
        reads_for_others: Callable[[], bool],
        random_source: random.Random,
    ) -> None:
        self._lease = lease
        self._feed = feed
        self._peers = peers
        self._reads_for_others = reads_for_others
        self._random = random_source
        self._spread_chosen_for = float("-inf")
        self._spread = 0.0  # where in the ranges of ages this instance reads the store next
        self._store_latency_s = 0.0

    async def run(self) -> None:
        """Keeps the lease renewed until it is cancelled."""
        while True:
            # Nothing that needs a primary can be served until the control rows are loaded.
            remaining_s = self._due_in_s()
            if self._feed.loaded and remaining_s <= 0:
                await self._read_store()
            await asyncio.sleep(
                max(remaining_s, MIN_CHECK_INTERVAL_S)
                if self._feed.loaded
                else MIN_CHECK_INTERVAL_S
            )

    def _due_in_s(self) -> float:
        """Seconds until the store is read next, negative if a read is overdue.

        The random part is chosen once for each store read that the lease goes back to.
        """
        read_at = self._lease.store_read_at()
        if read_at != self._spread_chosen_for:
            self._spread_chosen_for = read_at
            self._spread = self._random.random()
        fleet_due_s = self._spread_between(FLEET_READ_EARLIEST_S, FLEET_READ_LATEST_S)
        return min(
            self._lease_due_s() - self._lease.age_s(self._peers()),
            fleet_due_s - self._lease.store_read_age_s(),
        )

    def _lease_due_s(self) -> float:
        """Age of the lease, in seconds, at which the store is read to renew it."""
        if self._reads_for_others():
            return STORE_READ_AFTER_S
        latest = (
            LEASE_DURATION_S - STORE_LATENCY_FACTOR * self._store_latency_s - STORE_READ_MARGIN_S
        )
        planned = self._spread_between(STORE_READ_EARLIEST_S, STORE_READ_LATEST_S)
        return max(min(planned, latest), 0.0)

    def _spread_between(self, earliest: float, latest: float) -> float:
        return earliest + self._spread * (latest - earliest)

    async def _read_store(self) -> None:
        asked_at = self._lease.now
        try:
            await self._feed.poll()
        except StoreUnavailable:
            await asyncio.sleep(STORE_READ_AFTER_S)  # the feed logs that the store is unavailable
            return
        latency = self._lease.now - asked_at
        self._store_latency_s += STORE_LATENCY_WEIGHT * (latency - self._store_latency_s)
