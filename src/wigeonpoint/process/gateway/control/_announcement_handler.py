"""Adopts leadership records that a claimant announces, and confirms them once they apply."""

from __future__ import annotations

from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._messages import AnnounceLeadership, LeadershipAdopted
from wigeonpoint.process.gateway.control._records import CONTROL_TABLE, encode_record, group_row
from wigeonpoint.services import VersionedRow, make_version


class AnnouncementHandler:
    """Handles `AnnounceLeadership` messages of claimants.

    Args:
        control: Control state of this instance.
    """

    def __init__(self, control: ControlState) -> None:
        self._control = control

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler of announcements."""
        dispatcher.register(AnnounceLeadership, self.adopt)

    async def adopt(self, message: AnnounceLeadership) -> LeadershipAdopted:
        """Adopts a record if it is newer than the known one; the reply tells the newest epoch."""
        if message.version:
            feed = self._control.feed
            era = feed.era if message.era is None else message.era
            row = VersionedRow(
                CONTROL_TABLE,
                group_row(message.group).key,
                encode_record(message.leadership),
                make_version(era, message.version),
            )
            feed.apply(row)
        self._control.adopt_leadership(message.group, message.leadership)
        known = self._control.leadership(message.group)
        return LeadershipAdopted(known.epoch, known.era) if known else LeadershipAdopted(0)
