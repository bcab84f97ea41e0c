"""Client of the platform's promotion call, which makes a member the primary."""

from __future__ import annotations

import orjson

from wigeonpoint.errors import StoreUnavailable
from wigeonpoint.platform._http import HttpClient

CALL_TIMEOUT_S = 1.5
COORDINATOR_HEADER = "X-Wigeonpoint-Duty-Holder"
TOKEN_HEADER = "X-Wigeonpoint-Fencing-Token"
_STATUS_MEMBER_NOT_RUNNING = 409


class PlatformPromoter:
    """Asks the platform to promote members.

    Args:
        client: Client of the promotion call's address.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def promote(self, service: str, member_id: str, *, holder: str, token: int) -> bool:
        """Asks the platform to make a member the primary of its group.

        Args:
            service: Name of the group.
            member_id: The member.
            holder: Name of the coordinator.
            token: Fencing token of the coordinator record.

        Returns:
            Whether the call was accepted; False when the member is not running.

        Raises:
            StoreUnavailable: No usable response arrived; the call may have taken effect.
        """
        response = await self._client.request(
            "POST",
            "/promotion",
            body=orjson.dumps({"serviceName": service, "id": member_id}),
            headers={COORDINATOR_HEADER: holder, TOKEN_HEADER: str(token)},
            timeout=CALL_TIMEOUT_S,
        )
        if response.status == _STATUS_MEMBER_NOT_RUNNING:
            return False
        if response.status != 200:
            raise StoreUnavailable(
                f"the promotion call was answered with HTTP status {response.status}"
            )
        return True
