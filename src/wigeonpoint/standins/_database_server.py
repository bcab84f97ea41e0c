"""HTTP and WebSocket server of a database member: sessions, control and replication.

`POST /peers` sets the addresses of the other members, `POST /options` changes limits and delays at
run time, and `GET /data` returns the committed data.
"""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
from pydantic import TypeAdapter
from tornado.web import Application, RequestHandler

from wigeonpoint.backend import Exchange
from wigeonpoint.channel import ChannelHandler
from wigeonpoint.errors import InvalidRequest, ResultCode
from wigeonpoint.standins._database import (
    AppendEntries,
    DatabaseMemberStandIn,
    MemberOptions,
)
from wigeonpoint.standins._store import Workspace

_EXCHANGE = TypeAdapter(Exchange)
_APPEND = TypeAdapter(AppendEntries)
_OPTIONS = TypeAdapter(MemberOptions)


def database_application(member: DatabaseMemberStandIn) -> Application:
    """Builds the application that serves a member.

    Args:
        member: The member.
    """
    options = {"member": member}
    return Application(
        [
            (r"/session", _SessionHandler, options),
            (r"/control", _ControlHandler, options),
            (r"/replication", _ReplicationHandler, options),
            (r"/options", _OptionsHandler, options),
            (r"/peers", _PeersHandler, options),
            (r"/data", _DataHandler, options),
        ],
        log_function=lambda handler: None,
    )


class _MemberHandler(ChannelHandler):
    def initialize(self, member: DatabaseMemberStandIn) -> None:  # type: ignore[override]
        super().initialize()
        self.member = member


class _SessionHandler(_MemberHandler):
    """Serves a statement connection.

    A connection counts against the connection limit and takes `connect_ms` to open.
    """

    def initialize(self, member: DatabaseMemberStandIn) -> None:  # type: ignore[override]
        super().initialize(member)
        self._workspace: Workspace | None = None
        self._counted = False

    async def prepare(self) -> None:
        member = self.member
        if member.connections >= member.options.connection_limit:
            self.send_error(503)
            return
        self._count(1)
        await asyncio.sleep(member.options.connect_ms / 1000)

    def on_close(self) -> None:
        self._workspace = None
        self._count(-1)

    def on_finish(self) -> None:
        if self.ws_connection is None:  # on_close is not called after a failed handshake
            self._count(-1)

    async def respond(self, kind: str, body: Any) -> Any:
        if kind == "execute":
            return await self.member.execute(self._workspace, _EXCHANGE.validate_python(body))
        if kind == "begin":
            self._workspace = self.member.begin()
            return self._workspace.term
        if kind == "settle":
            return self.member.settle(body["request_id"], body["transaction_key"])
        if kind == "commit":
            return self._commit(body["request_id"], body["transaction_key"])
        if kind == "rollback":
            self._workspace = None
            return None
        raise InvalidRequest(ResultCode.STATEMENT_REJECTED, f"unknown call {kind}")

    def _commit(self, request_id: str | None, transaction_key: str) -> Any:
        workspace, self._workspace = self._workspace, None
        if workspace is None:
            raise InvalidRequest(ResultCode.UNKNOWN_TRANSACTION, "no transaction is open")
        return self.member.commit(workspace, request_id, transaction_key)

    def _count(self, change: int) -> None:
        if (change > 0) is self._counted:
            return
        self._counted = change > 0
        self.member.connections += change
        self.member.peak_connections = max(self.member.peak_connections, self.member.connections)


class _ControlHandler(_MemberHandler):
    async def respond(self, kind: str, body: Any) -> Any:
        if kind == "status":
            return self.member.status()
        if kind == "fence":
            return self.member.fence(int(body["term"]))
        if kind == "promote":
            return self.member.promote(int(body["term"]))
        raise InvalidRequest(ResultCode.STATEMENT_REJECTED, f"unknown call {kind}")


class _ReplicationHandler(_MemberHandler):
    async def respond(self, kind: str, body: Any) -> Any:
        return self.member.append_entries(_APPEND.validate_python(body))


class _OptionsHandler(RequestHandler):
    def initialize(self, member: DatabaseMemberStandIn) -> None:
        self.member = member

    def post(self) -> None:
        changes = orjson.loads(self.request.body)
        current = _OPTIONS.dump_python(self.member.options)
        self.member.options = _OPTIONS.validate_python({**current, **changes})
        self.finish(orjson.dumps(self.member.options))


class _PeersHandler(RequestHandler):
    """Sets the addresses of the other members, whose ports the kernel chooses when they start."""

    def initialize(self, member: DatabaseMemberStandIn) -> None:
        self.member = member

    def post(self) -> None:
        self.member.set_peers(orjson.loads(self.request.body))


class _DataHandler(RequestHandler):
    """Returns status, committed data and connection counts, for checks after a run."""

    def initialize(self, member: DatabaseMemberStandIn) -> None:
        self.member = member

    def get(self) -> None:
        member = self.member
        self.finish(
            orjson.dumps(
                {
                    "status": member.status(),
                    "data": member.data,
                    "connections": member.connections,
                    "peak_connections": member.peak_connections,
                }
            )
        )
