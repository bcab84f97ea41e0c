"""HTTP stand-in for the platform: table service, object store and directory.

`POST /faults` sets the faults that it simulates, see `PlatformFaults`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import orjson
from pydantic import TypeAdapter
from tornado.web import Application, RequestHandler

from wigeonpoint.errors import ConditionFailed
from wigeonpoint.services import Listing, Platform, TableTransaction
from wigeonpoint.standins._tables import MemoryDirectory, MemoryObjects, MemoryTables

_TRANSACTION = TypeAdapter(TableTransaction)
_LISTING = TypeAdapter(Listing)


@dataclass(slots=True)
class PlatformFaults:
    """Faults that the stand-in simulates.

    Attributes:
        unavailable: Every call fails with status 503 and has no effect.
        delay_ms: Milliseconds by which every call is delayed.
        lose_answers: Changes take effect, but their calls fail with status 503.
    """

    unavailable: bool = False
    delay_ms: float = 0.0
    lose_answers: bool = False


_FAULTS = TypeAdapter(PlatformFaults)


class PlatformStandIn:
    """In-memory platform services, served over HTTP."""

    def __init__(self, listings: list[Listing] | None = None) -> None:
        self.tables = MemoryTables()
        self.objects = MemoryObjects()
        self.directory = MemoryDirectory(listings)
        self.faults = PlatformFaults()

    @property
    def platform(self) -> Platform:
        """The services for use in the same process, without HTTP."""
        return Platform(self.tables, self.objects, self.directory)

    def application(self) -> Application:
        """Builds the HTTP application."""
        options = {"standin": self}
        return Application(
            [
                (r"/tables/([^/]+)", _TableHandler, options),
                (r"/tables/([^/]+)/([^/]+)", _RowHandler, options),
                (r"/transactions", _TransactionHandler, options),
                (r"/objects", _ObjectNamesHandler, options),
                (r"/objects/([^/]+)", _ObjectHandler, options),
                (r"/directory", _DirectoryHandler, options),
                (r"/faults", _FaultsHandler, options),
            ],
            compress_response=True,
            log_function=lambda handler: None,
        )


class _Handler(RequestHandler):
    def initialize(self, standin: PlatformStandIn) -> None:
        self.standin = standin

    async def prepare(self) -> None:
        faults = self.standin.faults
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.unavailable:
            self.send_error(503)

    def reply(self, value: Any) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(value))

    def acknowledge(self) -> None:
        if self.standin.faults.lose_answers:
            self.send_error(503)
        else:
            self.reply({})


class _TableHandler(_Handler):
    async def get(self, table: str) -> None:
        self.reply(await self.standin.tables.scan(table))


class _RowHandler(_Handler):
    async def get(self, table: str, key: str) -> None:
        row = await self.standin.tables.read(table, key)
        if row is None:
            self.send_error(404)
        else:
            self.reply(row)


class _TransactionHandler(_Handler):
    async def post(self) -> None:
        transaction = _TRANSACTION.validate_json(self.request.body)
        try:
            await self.standin.tables.transact(transaction)
        except ConditionFailed as error:
            self.set_status(409)
            self.finish(error.message)
            return
        self.acknowledge()


class _ObjectNamesHandler(_Handler):
    async def get(self) -> None:
        self.reply(await self.standin.objects.names(self.get_query_argument("prefix", "")))


class _ObjectHandler(_Handler):
    async def get(self, name: str) -> None:
        data = await self.standin.objects.get(name)
        if data is None:
            self.send_error(404)
        else:
            self.finish(data)

    async def put(self, name: str) -> None:
        await self.standin.objects.put(name, self.request.body)
        self.acknowledge()


class _DirectoryHandler(_Handler):
    _version: str | None = None

    def compute_etag(self) -> str | None:
        """Returns the version of the list instead of a digest of the body."""
        return self._version

    async def get(self) -> None:
        read = await self.standin.directory.list_since(self.request.headers.get("If-None-Match"))
        if read is None:
            self.set_status(304)
            self.finish()
            return
        self._version = read.version
        self.reply(read.listings)

    async def put(self) -> None:
        self.standin.directory.replace(_LISTING.validate_json(self.request.body))
        self.reply({})

    async def delete(self) -> None:
        self.standin.directory.remove(self.get_query_argument("id"))
        self.reply({})


class _FaultsHandler(_Handler):
    async def prepare(self) -> None:
        """Skips the faults, so that they can be changed while the stand-in is unavailable."""

    def post(self) -> None:
        self.standin.faults = _FAULTS.validate_json(self.request.body)
        self.reply(self.standin.faults)
