"""Takes note of records that a claimant announces, and confirms them once they are obeyed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._member_pool import MemberPool
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._messages import AnnounceLeadership, LeadershipNoted
from wigeonpoint.process.gateway.control._records import CONTROL_TABLE, encode_record, group_row
from wigeonpoint.services import VersionedRow
from wigeonpoint.version.catalogue import LeadershipPhase

DRAIN_STEP_S = 0.005


class Announcements:
    """Handles `AnnounceLeadership`.

    Args:
        control: Control state of this instance.
        group: Gives a group by name.
    """

    def __init__(self, control: ControlState, group: Callable[[str], Group]) -> None:
        self._control = control
        self._group = group

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Sets the handler."""
        dispatcher.register(AnnounceLeadership, self.note)

    async def note(self, message: AnnounceLeadership) -> LeadershipNoted:
        """Obeys a record, lets statements at a leaving primary finish, and confirms."""
        replaced = self._group(message.group).primary
        if message.version:
            row = VersionedRow(
                CONTROL_TABLE,
                group_row(message.group).key,
                encode_record(message.leadership),
                message.version,
            )
            self._control.feed.apply(row)
        self._control.note_leadership(message.group, message.leadership)
        if replaced is not None and self._claims(message):
            await self._drain(message.group, replaced)
        known = self._control.leadership(message.group)
        return LeadershipNoted(known.epoch if known is not None else 0)

    @staticmethod
    def _claims(message: AnnounceLeadership) -> bool:
        return message.leadership.phase is LeadershipPhase.CLAIMED

    async def _drain(self, group: str, replaced: MemberPool) -> None:
        while True:
            if not replaced.in_use or not self._control.may_answer(group, replaced.record.id):
                break
            await asyncio.sleep(DRAIN_STEP_S)
        self._control.end_drain(group)
