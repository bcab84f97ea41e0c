"""Detects a primary that is reached but whose writes no majority of its group receives."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from wigeonpoint.backend import LogPosition
from wigeonpoint.process._group_probe import MemberProbe
from wigeonpoint.version import GroupView

STALL_S = 3.0  # half of the 6 s budget; the promotion itself needs well under a second
SLOW_FACTOR = 1.5  # of the slowest recent confirmation, so that slow replicas raise no alarm
RECENT_CHANGE_S = 30.0
RECENT_CHANGE_FACTOR = 3.0  # a fault that a change of primary did not cure must not repeat it


class StalledPrimary:
    """Judges a primary by the answers that wait at its owner and by the members' positions.

    Both must agree: answers have waited for a time without any being confirmed, and too few
    members have advanced or hold the primary's log end in that time. Replicas that are behind but
    advance raise no alarm. Only the instance that owns the primary sees the waiting answers.

    Args:
        group: The group.
    """

    def __init__(self, group: GroupView) -> None:
        self._group = group
        self._advanced: dict[str, tuple[LogPosition, float]] = {}  # position, first seen at
        self._first_term = 0
        self._term = 0
        self._term_since = 0.0

    def check(self, primary: MemberProbe, members: Sequence[MemberProbe]) -> bool:
        """Takes the last probes and tells whether the primary has to be replaced."""
        now = asyncio.get_running_loop().time()
        self._note_term(primary, now)
        for member in members:
            self._note_position(member, now)
        window = self._window(now)
        if self._group.confirmation_stall.lasting(now) < window:
            return False
        others = [member for member in members if member is not primary]
        following = sum(self._follows(member, primary, now - window) for member in others)
        majority = len(members) // 2 + 1
        reached = sum(member.status is not None for member in others)
        return following + 1 < majority <= reached

    def _window(self, now: float) -> float:
        window = max(STALL_S, SLOW_FACTOR * self._group.confirmation_stall.slowest(now))
        changed = self._term > self._first_term and now - self._term_since < RECENT_CHANGE_S
        return window * RECENT_CHANGE_FACTOR if changed else window

    def _note_term(self, primary: MemberProbe, now: float) -> None:
        term = primary.status.fenced_term if primary.status else 0
        self._first_term = self._first_term or term
        if term > self._term:
            self._term, self._term_since = term, now

    def _note_position(self, member: MemberProbe, now: float) -> None:
        if member.status is None:
            return
        known = self._advanced.get(member.server.id)
        if known is None or member.status.at > known[0]:
            self._advanced[member.server.id] = (member.status.at, now)

    def _follows(self, member: MemberProbe, primary: MemberProbe, since: float) -> bool:
        if member.status is None or primary.status is None:
            return False
        advanced = self._advanced[member.server.id][1] > since
        return advanced or member.status.at >= primary.status.at
