"""Chooses the member that serves a read.

Any replica known to be recent enough may serve it. The choice keeps reads off the primary, whose
slots the writes need, and off members that are queued, slow or in another data centre.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from wigeonpoint.process.gateway._settings import DEFAULT_REMOTE_READ_COST_S
from wigeonpoint.process.gateway.health import GroupHealth
from wigeonpoint.process.gateway.pool import MemberPool
from wigeonpoint.process.policy import EjectionReason

PRIMARY_COST_FACTOR = 2.0  # replicas may be slower by this factor before the primary serves reads
LATENCY_HALF_LIFE_S = 2.0  # in which an unused member's excess over the lowest latency halves
MIN_SUCCESS_SHARE = 0.05  # bounds the cost of a member at which nearly all reads fail


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
        latency_age_s: Seconds since its last answer.
        failure_share: Share of reads that are expected to fail there.
        ejected: Why it is ejected, None if it is not.
        trial_due: Whether a read should try it although it is ejected.
    """

    member_id: str
    primary: bool
    local: bool
    proven: bool
    available: bool
    queued: int
    slots: int
    latency_s: float
    latency_age_s: float = 0.0
    failure_share: float = 0.0
    ejected: EjectionReason | None = None
    trial_due: bool = False

    def cost_s(self, lowest_latency_s: float) -> float:
        """Expected seconds until the answer, weighted to keep reads off the primary.

        A member that is slow gets no reads, so that its estimate would stay as it is. With time, it
        approaches that of the fastest member until a read finds out.

        Args:
            lowest_latency_s: Lowest response time of all members.
        """
        excess_s = self.latency_s - lowest_latency_s
        excess_s *= float(0.5 ** (self.latency_age_s / LATENCY_HALF_LIFE_S))
        latency_s = lowest_latency_s + excess_s
        wait = latency_s * (1 + self.queued / max(self.slots, 1))
        wait /= max(1 - self.failure_share, MIN_SUCCESS_SHARE)
        if self.primary:
            wait *= PRIMARY_COST_FACTOR
        return wait


class RemoteChoice(Protocol):
    """Decides whether reads leave the data centre, by the expected cost in seconds."""

    def saves_time(self, local_s: float, remote_s: float) -> bool:
        """Whether a read is answered sooner elsewhere by more than its traffic costs."""
        ...

    def leaves(self, local_s: float, remote_s: float) -> bool:
        """Whether a read that a local replica can serve leaves."""
        ...


class CheapestChoice:
    """Implements `RemoteChoice`: each read leaves that saves more time than its traffic costs.

    Args:
        cost_s: Cost of the traffic of a read, in seconds of a caller's time.
    """

    def __init__(self, cost_s: float = DEFAULT_REMOTE_READ_COST_S) -> None:
        self._cost_s = cost_s

    def saves_time(self, local_s: float, remote_s: float) -> bool:
        """Whether a read is answered sooner elsewhere by more than its traffic costs."""
        return remote_s + self._cost_s < local_s

    def leaves(self, local_s: float, remote_s: float) -> bool:
        """Whether a read that a local replica can serve leaves."""
        return self.saves_time(local_s, remote_s)


CHEAPEST = CheapestChoice()


def make_candidate(
    pool: MemberPool, health: GroupHealth, *, primary: bool, local: bool, proven: bool, now: float
) -> ReadCandidate:
    """Describes a member by the pool of its connections and the health of its group."""
    member_id = pool.record.id
    return ReadCandidate(
        member_id=member_id,
        primary=primary,
        local=local,
        proven=proven,
        available=pool.health.available and pool.takes_new,
        queued=pool.in_use + pool.waiting,
        slots=pool.record.slots,
        latency_s=pool.latency.mean_s,
        latency_age_s=pool.latency.age_s(now),
        failure_share=health.expected_failure_share(member_id),
        ejected=health.ejected(member_id),
        trial_due=health.trial_due(member_id),
    )


def choose_read_member(
    candidates: Iterable[ReadCandidate],
    *,
    excluded: frozenset[str],
    trial: bool = False,
    remote: RemoteChoice = CHEAPEST,
) -> str | None:
    """Returns the member with the lowest expected cost.

    A failing member that is ejected serves reads only if no other member can. A slow one is still
    capacity and competes by its cost, which is high until the others have queues.

    Args:
        candidates: The members of the group that may serve the read.
        excluded: Members that this read has already tried.
        trial: Whether the read may try a member that is ejected.
        remote: Tells whether a read leaves the data centre; by default, if that saves time.

    Returns:
        Id of the member, or None when no member can serve the read now.
    """
    eligible = [
        candidate
        for candidate in candidates
        if candidate.available and candidate.proven and candidate.member_id not in excluded
    ]
    tried = [candidate for candidate in eligible if candidate.trial_due]
    if trial and tried and len(tried) < len(eligible):
        return tried[0].member_id
    lowest_s = min((one.latency_s for one in eligible), default=0.0)
    sound = [one for one in eligible if one.ejected is not EjectionReason.FAILING]
    ranked = sorted(
        sound or eligible, key=lambda candidate: (candidate.cost_s(lowest_s), candidate.member_id)
    )
    here = next((candidate for candidate in ranked if candidate.local), None)
    elsewhere = next((candidate for candidate in ranked if not candidate.local), None)
    if here is None or elsewhere is None:
        best = here or elsewhere
        return best.member_id if best is not None else None
    here_s, elsewhere_s = here.cost_s(lowest_s), elsewhere.cost_s(lowest_s)
    # Reads keep off the primary and off a slow member at once.
    if here.primary or here.ejected is not None:
        leaves = remote.saves_time(here_s, elsewhere_s)
    else:
        leaves = remote.leaves(here_s, elsewhere_s)
    return elsewhere.member_id if leaves else here.member_id
