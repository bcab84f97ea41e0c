"""Chooses the member that serves a read.

Any replica known to be recent enough may serve it. The choice keeps reads off the primary, whose
slots the writes need, and off members that are queued, slow or in another data centre.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

REMOTE_COST_S = 0.002  # round trip to another data centre, and the charge for its traffic
PRIMARY_COST_FACTOR = 2.0  # replicas may be slower by this factor before the primary serves reads


@dataclass(frozen=True, slots=True)
class ReadCandidate:
    """A member that could serve a read.

    Attributes:
        member_id: Its id.
        primary: Whether it is the primary.
        local: Whether it is in this instance's data centre.
        proven: Whether it is the primary or has probably applied the required position.
        available: Whether it answers.
        queued: Statements of this instance that run or wait there.
        slots: Statements that it can run at the same time.
        latency_s: Smoothed response time in seconds.
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
        """Expected seconds until the answer, weighted to keep reads off the primary."""
        wait = self.latency_s * (1 + self.queued / max(self.slots, 1))
        if self.primary:
            wait *= PRIMARY_COST_FACTOR
        return wait if self.local else wait + REMOTE_COST_S


def choose_read_member(
    candidates: Iterable[ReadCandidate], *, excluded: frozenset[str]
) -> str | None:
    """Returns the member with the lowest expected cost.

    Args:
        candidates: The members of the group that may serve the read.
        excluded: Members that this read has already tried.

    Returns:
        Id of the member, or None when no member can serve the read now.
    """
    eligible = [
        candidate
        for candidate in candidates
        if candidate.available and candidate.proven and candidate.member_id not in excluded
    ]
    best = min(
        eligible, key=lambda candidate: (candidate.cost_s, candidate.member_id), default=None
    )
    return best.member_id if best is not None else None
