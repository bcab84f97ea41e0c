"""Decides when a group needs another primary, who arranges it, and which member it will be.

Answers the load of failures and planned replacements of primaries. Everything here is a pure
function of what an instance and its peers report.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from wigeonpoint.connection.session import MemberReport

# Two failed attempts to connect, so that one lost packet promotes nobody.
UNREACHABLE_AFTER_S = 0.3
# One failed attempt of each instance tells as much.
AGREED_UNREACHABLE_AFTER_S = 0.15


class ReplacementReason(Enum):
    """Why a primary is replaced."""

    LEAVING = auto()
    GONE = auto()
    UNREACHABLE = auto()


@dataclass(frozen=True, slots=True)
class PrimaryView:
    """What this instance knows of a group's primary.

    Attributes:
        listed: Whether its entry is in use.
        leaving_s: Seconds since it announced its end, None if it has not.
        unreachable_s: Seconds for which it has not been reached, 0 while it is.
        replicas: Members that could take over.
    """

    listed: bool
    leaving_s: float | None
    unreachable_s: float
    replicas: int


def choose_coordinator(*, own: str, holder: str | None, reachable: Collection[str]) -> str:
    """Chooses the instance that arranges changes of primary.

    The holder of the duty keeps it while it can be reached, because a change of holder has to wait
    until the former one can no longer act.

    Args:
        own: Name of this instance.
        holder: Present holder of the duty.
        reachable: Registered instances that answer.
    """
    candidates = {own, *reachable}
    if holder is not None and holder in candidates:
        return holder
    return min(candidates)


def replacement_reason(
    view: PrimaryView, peers: Mapping[str, float], *, watched: int, leaving_primary_wait_s: float
) -> ReplacementReason | None:
    """Why the primary should be replaced, or None.

    Args:
        view: What this instance knows of the primary.
        peers: For each peer that answers, the seconds for which it has not reached the primary.
        watched: Instances that this one keeps in touch with.
        leaving_primary_wait_s: Seconds for which a leaving primary stays in place while an
            instance is missing. Without its consent the primary would have to be cut off from its
            replicas before its successor leads, and most missing instances are back within seconds.
    """
    if view.replicas == 0:
        return None
    voters = 1 + len(peers)
    if 2 * voters < 1 + watched:
        return None  # too few instances are in contact; the others may well reach the primary
    if not view.listed:
        return ReplacementReason.GONE
    if view.leaving_s is not None and (
        voters == 1 + watched or view.leaving_s >= leaving_primary_wait_s
    ):
        return ReplacementReason.LEAVING
    missing = sum(1 for seconds in [view.unreachable_s, *peers.values()] if seconds > 0)
    agreed = missing == voters and voters > 1
    unreachable_after_s = AGREED_UNREACHABLE_AFTER_S if agreed else UNREACHABLE_AFTER_S
    if view.unreachable_s >= unreachable_after_s and 2 * missing > voters:
        return ReplacementReason.UNREACHABLE
    return None


def choose_candidate(
    reports: Mapping[str, MemberReport | None], *, leaving: Collection[str]
) -> str | None:
    """Chooses the member to promote: the longest log, then the shortest lag.

    Args:
        reports: What each replica that answered says of itself; None from one too busy to say.
        leaving: Replicas that have announced their end; they are chosen only when no other answers.
    """
    known = {member: report for member, report in reports.items() if report is not None}
    staying = {member: report for member, report in known.items() if member not in leaving}
    pool = staying or known
    if not pool:
        return min(reports.keys() - set(leaving), default=min(reports, default=None))
    return max(pool, key=lambda member: (*_progress(pool[member]), member))


def _progress(report: MemberReport) -> tuple[int, int, float]:
    received = report.received
    if received is None:
        return 0, 0, -report.lag_s
    return received.term, received.position, -report.lag_s
