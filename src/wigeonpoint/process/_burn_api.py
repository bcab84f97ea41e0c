"""HTTP interface of the burn report."""

from __future__ import annotations

from typing import Any

from wigeonpoint.process._admin_api import AdminHandler


class BurnHandler(AdminHandler):
    """`GET /admin/v1/burn`."""

    async def get(self) -> None:
        """Answers with the report of all reachable instances."""

        async def burn() -> dict[str, Any]:
            return {"report": await self.core.burn.report(self.core.feed.configuration)}

        await self.run(burn)
