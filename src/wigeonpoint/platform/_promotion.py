"""The platform's call that makes a member the primary."""

from __future__ import annotations

import orjson

from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.platform._http import HttpClient

CALL_TIMEOUT_S = 1.5
HOLDER_HEADER = "X-Wigeonpoint-Duty-Holder"
TOKEN_HEADER = "X-Wigeonpoint-Fencing-Token"
_NOT_RUNNING = 409


class PlatformPromoter:
    """Calls the platform for a change of primary.

    Args:
        client: Client of the platform's address for such calls.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def promote(self, service: str, member_id: str, *, holder: str, token: int) -> bool:
        """Asks for a member to become the primary."""
        answer = await self._client.request(
            "POST",
            "/promotion",
            body=orjson.dumps({"serviceName": service, "id": member_id}),
            headers={HOLDER_HEADER: holder, TOKEN_HEADER: str(token)},
            timeout=CALL_TIMEOUT_S,
        )
        if answer.status == _NOT_RUNNING:
            return False
        if answer.status != 200:
            raise StoreUnavailable(f"the promotion call was answered with {answer.status}")
        return True
