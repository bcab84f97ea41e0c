"""HTTP interface of operators at `/admin/v1/`."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Any

import orjson
from tornado.escape import url_unescape

from wigeonpoint.connection import StatusMessage, StatusReply
from wigeonpoint.errors import (
    ConfigurationRefused,
    InvalidRequest,
    PlatformError,
    ResultCode,
    WigeonpointError,
)
from wigeonpoint.process._admin_models import (
    CheckBody,
    DeleteRowBody,
    EditBody,
    PutRowBody,
)
from wigeonpoint.process._caller_api import JsonHandler
from wigeonpoint.process._core import InstanceCore
from wigeonpoint.request import parse_body
from wigeonpoint.services import Row
from wigeonpoint.version import (
    Edit,
    EditConflict,
    RowChange,
    RowProblem,
    RowValue,
    state_problems,
)

STATUS_TIMEOUT_S = 2.0
MAX_STATUS_REQUESTS = 64  # concurrent status requests to peers


class AdminHandler(JsonHandler):
    """Base of the handlers for operators."""

    def initialize(self, core: InstanceCore) -> None:
        """Stores the components of the instance."""
        self.core = core

    async def run(self, action: Callable[[], Awaitable[dict[str, Any]]]) -> None:
        """Checks the operator's token, then runs a handler and sends its result or error code."""
        try:
            self.bearer_name(self._operators)
            result = await action()
        except EditConflict as error:
            self.answer_error(error, current=_row_fields(error.current))
        except WigeonpointError as error:
            self.answer_error(error)
        else:
            self.set_header("Content-Type", "application/json")
            self.finish(orjson.dumps({"code": 0, "name": ResultCode.DONE.label, **result}))

    async def edit(self, edit_id: str, changes: list[RowChange]) -> dict[str, Any]:
        """Applies an edit; returns the number of the resulting state."""
        result = await self.core.feed.edit(Edit(edit_id, changes))
        return {"number": result.number, "repeated": result.repeated}

    @property
    def _operators(self) -> dict[str, str]:
        # A token that is also listed for a caller must not give the caller an operator's rights.
        settings = self.core.settings
        return {
            token: name
            for token, name in settings.operators.items()
            if token not in settings.callers
        }


class RowsHandler(AdminHandler):
    """`GET /admin/v1/routes` and `/pools`."""

    async def get(self, table: str) -> None:
        """Lists the rows of a table."""

        async def rows() -> dict[str, Any]:
            active = self.core.feed.state.rows(table)
            try:
                routes, pools = await self.core.feed.store.rows()
            except PlatformError:
                return {"rows": _active_rows(active), "tables_reachable": False}
            found = routes if table == "routes" else pools
            fields = [_stored_row(row, active.get(row.key)) for row in found]
            return {"rows": fields, "tables_reachable": True}

        await self.run(rows)


class RowHandler(AdminHandler):
    """`GET`, `PUT` and `DELETE /admin/v1/routes/{name}` and `/pools/{name}`."""

    async def get(self, table: str, name: str) -> None:
        """Returns a row."""

        async def row() -> dict[str, Any]:
            key = _row_name(name)
            active = self.core.feed.state.rows(table).get(key)
            try:
                found = await self.core.feed.store.row(table, key)
            except PlatformError:
                if active is None:
                    raise
                return {"row": _active_row(key, active), "tables_reachable": False}
            if found is None:
                message = f"there is no row {table}/{key}"
                raise ConfigurationRefused(ResultCode.UNKNOWN_ROW, message)
            return {"row": _stored_row(found, active), "tables_reachable": True}

        await self.run(row)

    async def put(self, table: str, name: str) -> None:
        """Writes a row."""

        async def write() -> dict[str, Any]:
            body = parse_body(PutRowBody, self.request.body)
            change = RowChange(table, _row_name(name), body.expected_version, body.row)
            return await self.edit(body.edit_id, [change])

        await self.run(write)

    async def delete(self, table: str, name: str) -> None:
        """Removes a row."""

        async def remove() -> dict[str, Any]:
            body = parse_body(DeleteRowBody, self.request.body)
            change = RowChange(table, _row_name(name), body.expected_version, None)
            return await self.edit(body.edit_id, [change])

        await self.run(remove)


class EditsHandler(AdminHandler):
    """`POST /admin/v1/edits`."""

    async def post(self) -> None:
        """Changes several rows atomically, for example in both tables to rename a pool."""

        async def change() -> dict[str, Any]:
            body = parse_body(EditBody, self.request.body)
            changes = [
                RowChange(one.table, one.name, one.expected_version, one.row)
                for one in body.changes
            ]
            if len({(one.table, one.key) for one in changes}) < len(changes):
                raise InvalidRequest(ResultCode.INVALID_FIELD, "changes: a row occurs twice")
            return await self.edit(body.edit_id, changes)

        await self.run(change)


class CheckHandler(AdminHandler):
    """`POST /admin/v1/check`."""

    async def post(self) -> None:
        """Validates a proposed state of both tables without applying it."""

        async def check() -> dict[str, Any]:
            body = parse_body(CheckBody, self.request.body)
            problems = state_problems(
                body.routes,
                body.pools,
                known=self.core.feed.state,
                groups={group.name for group in self.core.topology.groups},
            )
            return {"valid": not problems, "problems": [_problem(one) for one in problems]}

        await self.run(check)


class StatusHandler(AdminHandler):
    """`GET /admin/v1/status`."""

    async def get(self) -> None:
        """Returns the active state of this instance and of every reachable one."""
        await self.run(self._status)

    async def _status(self) -> dict[str, Any]:
        semaphore = asyncio.Semaphore(MAX_STATUS_REQUESTS)
        others = [one for one in self.core.topology.instances if one.id != self.core.record.id]
        replies = await asyncio.gather(
            *(self._request_status(one.address, semaphore) for one in others)
        )
        own = self.core.feed.status
        statuses = [own, *(reply for reply in replies if reply is not None)]
        unreachable = [one.id for one, reply in zip(others, replies, strict=True) if reply is None]
        problems = {problem for status in statuses for problem in status.problems}
        return {
            "number": own.number,
            "instances": [_status_fields(status) for status in statuses],
            "unreachable": sorted(unreachable),
            "refused": sorted((_problem(one) for one in problems), key=lambda one: one["message"]),
        }

    async def _request_status(
        self, address: str, semaphore: asyncio.Semaphore
    ) -> StatusReply | None:
        async with semaphore:
            try:
                return await self.core.transport.request(
                    address, StatusMessage(), StatusReply, timeout=STATUS_TIMEOUT_S
                )
            except WigeonpointError:
                return None


def admin_handlers(core: InstanceCore) -> list[tuple[str, type[AdminHandler], dict[str, Any]]]:
    """Paths and handlers of the administration interface."""
    options = {"core": core}
    return [
        (r"/admin/v1/(routes|pools)", RowsHandler, options),
        (r"/admin/v1/(routes|pools)/([^/]+)", RowHandler, options),
        (r"/admin/v1/edits", EditsHandler, options),
        (r"/admin/v1/check", CheckHandler, options),
        (r"/admin/v1/status", StatusHandler, options),
    ]


def _row_name(name: str) -> str:
    return url_unescape(name, plus=False)


def _row_fields(row: Row | None) -> dict[str, Any] | None:
    return None if row is None else {"name": row.key, "version": row.version, "row": row.value}


def _stored_row(row: Row, active: RowValue | None) -> dict[str, Any]:
    return {"name": row.key, "version": row.version, "row": row.value, "in_force": active}


def _active_rows(rows: dict[str, RowValue]) -> list[dict[str, Any]]:
    return [_active_row(name, rows[name]) for name in sorted(rows)]


def _active_row(name: str, value: RowValue) -> dict[str, Any]:
    return {"name": name, "version": None, "row": value, "in_force": value}


def _problem(problem: RowProblem) -> dict[str, Any]:
    return {**asdict(problem), "code": int(problem.code), "name": problem.code.label}


def _status_fields(status: StatusReply) -> dict[str, Any]:
    return {
        "id": status.id,
        "data_centre": status.data_centre,
        "number": status.number,
        "digest": status.digest,
        "poller": status.poller,
    }
