"""Keeps the configuration in force in step with the tables."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from wigeonpoint.errors import PlatformError
from wigeonpoint.platform import Platform, Row
from wigeonpoint.version import Configuration, Durability, Pool, Route

POLL_S = 0.5


class ConfigurationFeed:
    """Reads both tables and holds the configuration in force.

    Args:
        platform: Services of the platform.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._configuration = Configuration()
        self._task: asyncio.Task[None] | None = None

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    def start(self) -> None:
        """Starts polling."""
        self._task = asyncio.create_task(self._poll())

    def close(self) -> None:
        """Ends polling."""
        if self._task is not None:
            self._task.cancel()

    async def _poll(self) -> None:
        while True:
            with suppress(PlatformError):  # the last configuration stays in force
                await self._read()
            await asyncio.sleep(POLL_S)

    async def _read(self) -> None:
        routes = await self._platform.tables.scan("routes")
        pools = await self._platform.tables.scan("pools")
        number = sum(row.version for row in [*routes, *pools])
        if number > self._configuration.number:
            self._configuration = Configuration(
                number,
                {row.key: Route(row.key, row.value["pool"]) for row in routes},
                {row.key: _pool(row) for row in pools},
            )


def _pool(row: Row) -> Pool:
    durability = Durability(row.value.get("durability", Durability.MAJORITY))
    return Pool(row.key, row.value["group"], durability)
