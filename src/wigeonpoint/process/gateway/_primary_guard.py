"""Whether this instance may use the primary of a group."""

from __future__ import annotations

from typing import Protocol


class PrimaryGuard(Protocol):
    """Holds the evidence that no later primary may have been promoted."""

    def may_send(self, group: str, member_id: str) -> bool:
        """Whether a statement may be sent to a member as the primary of a group."""
        ...

    def may_answer(self, group: str, member_id: str) -> bool:
        """Whether an answer that a member gave as the primary may be passed on now."""
        ...
