"""Takes note of records that a claimant announces, and confirms them once they are obeyed."""

from __future__ import annotations

from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._messages import AnnounceLeadership, LeadershipAdopted
from wigeonpoint.process.gateway.control._records import CONTROL_TABLE, encode_record, group_row
from wigeonpoint.services import VersionedRow


class AnnouncementHandler:
    """Handles `AnnounceLeadership`.

    Args:
        control: Control state of this instance.
    """

    def __init__(self, control: ControlState) -> None:
        self._control = control

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Sets the handler."""
        dispatcher.register(AnnounceLeadership, self.note)

    async def note(self, message: AnnounceLeadership) -> LeadershipAdopted:
        """Obeys a record and confirms it."""
        if message.version:
            row = VersionedRow(
                CONTROL_TABLE,
                group_row(message.group).key,
                encode_record(message.leadership),
                message.version,
            )
            self._control.feed.apply(row)
        self._control.adopt_leadership(message.group, message.leadership)
        known = self._control.leadership(message.group)
        return LeadershipAdopted(known.epoch if known is not None else 0)
