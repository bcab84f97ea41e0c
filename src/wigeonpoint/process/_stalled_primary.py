"""Detects a primary that answers probes while its writes reach no majority of its group."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from wigeonpoint.backend import LogPosition
from wigeonpoint.process._group_probe import MemberProbe
from wigeonpoint.version import GroupView

# Half of the 6 s budget of a failover; the promotion itself takes well under a second.
STALL_WINDOW_S = 3.0
# Multiple of the slowest recent confirmation, so that slow replicas do not count as a stall.
SLOW_CONFIRMATION_FACTOR = 1.5
RECENT_CHANGE_S = 30.0
# Lengthens the window after a change of primary, so that a fault which the change did not cure
# does not cause one change after another.
RECENT_CHANGE_FACTOR = 3.0


class StalledPrimary:
    """Detects a stall from unconfirmed writes at the primary's owner and from log positions.

    A primary is stalled if for the length of a window no waiting write was confirmed and too few
    members advanced or held the primary's log end. Replicas that lag but advance are no stall.
    Only the instance that owns the primary sees the waiting writes.

    Args:
        group: The group.
    """

    def __init__(self, group: GroupView) -> None:
        self._group = group
        self._last_advances: dict[str, tuple[LogPosition, float]] = {}  # position, first seen at
        self._first_term = 0
        self._term = 0
        self._term_since = 0.0

    def check(self, primary: MemberProbe, members: Sequence[MemberProbe]) -> bool:
        """Evaluates the last probes; returns whether the primary has to be replaced."""
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
        window = max(
            STALL_WINDOW_S, SLOW_CONFIRMATION_FACTOR * self._group.confirmation_stall.slowest(now)
        )
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
        known = self._last_advances.get(member.server.id)
        if known is None or member.status.at > known[0]:
            self._last_advances[member.server.id] = (member.status.at, now)

    def _follows(self, member: MemberProbe, primary: MemberProbe, since: float) -> bool:
        if member.status is None or primary.status is None:
            return False
        advanced = self._last_advances[member.server.id][1] > since
        return advanced or member.status.at >= primary.status.at
