"""Chooses the member that serves a read.

Answers the load of reads that any proven replica may take: it keeps them off the primary, whose
slots the writes need, and off members that are queued, slow or in another data centre.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

REMOTE_COST_S = 0.002  # a round trip to another data centre, and its priced bytes
PRIMARY_FACTOR = 2.0  # a replica may be this much slower before the primary takes its reads


@dataclass(frozen=True, slots=True)
class ReadCandidate:
    """A member that could serve a read.

    Attributes:
        member_id: Its id.
        primary: Whether it is the primary.
        local: Whether it is in this instance's data centre.
        proven: Whether it has, probably, applied the required position.
        available: Whether it answers.
        queued: Statements of this instance that run or wait there.
        slots: Statements that it runs at the same time.
        latency_s: Smoothed seconds of an answer.
    """

    member_id: str
    primary: bool
    local: bool
    proven: bool
    available: bool
    queued: int
    slots: int
    latency_s: float

    @property
    def cost_s(self) -> float:
        """Expected seconds until the answer, with a handicap for the primary."""
        wait = self.latency_s * (1 + self.queued / max(self.slots, 1))
        if self.primary:
            wait *= PRIMARY_FACTOR
        return wait if self.local else wait + REMOTE_COST_S


def choose_read_member(options: Iterable[ReadCandidate], *, excluded: frozenset[str]) -> str | None:
    """Chooses the member with the lowest expected cost.

    Args:
        options: The members of the group that may serve the read.
        excluded: Members that this read has tried already.

    Returns:
        Id of the member, or None when no member can serve the read now.
    """
    usable = [
        option
        for option in options
        if option.available and option.proven and option.member_id not in excluded
    ]
    best = min(usable, key=lambda option: (option.cost_s, option.member_id), default=None)
    return best.member_id if best is not None else None
