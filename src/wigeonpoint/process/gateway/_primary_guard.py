"""Whether this instance may use the primary of a group."""

from __future__ import annotations

from typing import Protocol

from wigeonpoint.backend import LogPosition


class PrimaryGuard(Protocol):
    """Decides whether a primary may be used: only while no later one can have been promoted."""

    def may_send(self, group: str, member_id: str) -> bool:
        """Whether a statement may be sent to a member as the primary of a group."""
        ...

    def leads(self, group: str, member_id: str) -> bool:
        """Whether a member leads a group now and is not being replaced."""
        ...

    async def confirm(
        self, group: str, member_id: str, position: LogPosition | None, *, deadline: float
    ) -> bool:
        """Whether an answer that a member gave as the primary may be passed on.

        Args:
            group: The group.
            member_id: The member.
            position: Position of the commit that was answered, None if it was no commit.
            deadline: Event-loop time, in seconds, until which to wait for a confirmation.
        """
        ...
