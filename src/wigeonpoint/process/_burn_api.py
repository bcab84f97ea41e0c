"""HTTP interface of the burn report."""

from __future__ import annotations

import orjson

from wigeonpoint.errors import WigeonpointError
from wigeonpoint.process._caller_api import JsonHandler
from wigeonpoint.process._core import InstanceCore


class BurnHandler(JsonHandler):
    """`GET /admin/v1/burn`."""

    def initialize(self, core: InstanceCore) -> None:
        """Takes the parts of the instance."""
        self.core = core

    async def get(self) -> None:
        """Answers with the report of all instances that can be reached."""
        try:
            self.bearer_name(self.core.settings.operators)
        except WigeonpointError as error:
            self.answer_error(error)
            return
        report = await self.core.burn.report(self.core.feed.configuration)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(report))
