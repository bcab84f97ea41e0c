"""Decides when a primary is replaced, which instance arranges it, and which member is promoted.

The decisions cover failures and planned replacements of primaries. They are pure functions of what
an instance and its peers report.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from wigeonpoint.backend import MemberRole
from wigeonpoint.connection.session import MemberReport

# Long enough for two failed attempts to connect, so that one lost packet causes no promotion.
UNREACHABLE_AFTER_S = 0.3
# One failed attempt of every instance is as reliable as two of one instance.
AGREED_UNREACHABLE_AFTER_S = 0.15
# Running members whose entries expired during an outage of the store are listed again within two
# seconds of its return; the rest is for a primary that starts later than its replicas.
LEADERLESS_AFTER_S = 3.0


class ReplacementReason(Enum):
    """Why a primary is replaced."""

    LEAVING = auto()
    GONE = auto()
    UNREACHABLE = auto()
    NOT_PRIMARY = auto()  # its record is older than the last change of primary
    LEADERLESS = auto()  # no record names it, and no listed member says that it leads


@dataclass(frozen=True, slots=True)
class PrimaryView:
    """What this instance knows of a group's primary.

    Attributes:
        listed: Whether the member table lists it, or the group names no primary.
        leaving_s: Seconds since it announced its shutdown, None if it has not.
        unreachable_s: Seconds for which it has not been reached, 0 while it is reachable.
        replicas: Number of members that could be promoted.
        last_resorts: Number of members that could be promoted if there is no better one: those
            that are not reached here, or stop later than the primary.
        contradicted: Whether the members report that another one is the primary.
        leaderless_s: Seconds for which neither a record nor a listed member has named a primary.
    """

    listed: bool
    leaving_s: float | None
    unreachable_s: float
    replicas: int
    contradicted: bool = False
    last_resorts: int = 0
    leaderless_s: float = 0.0


def choose_coordinator(
    *,
    own: str,
    current: str | None,
    reachable: Collection[str],
    without_store: Collection[str] = (),
) -> str:
    """Chooses the instance that arranges changes of primary.

    The coordinator stays while it can be reached, because a change of coordinator has to wait until
    the former one can no longer act. One that does not reach the store cannot claim a change; it is
    chosen only if no other instance reaches the store either.

    Args:
        own: Name of this instance.
        current: The present coordinator, None if there is none.
        reachable: Registered instances that answer.
        without_store: Those of them, and this one, that the store or the service for promotions
            does not answer.
    """
    answering = {own, *reachable}
    candidates = answering - set(without_store) or answering
    if current is not None and current in candidates:
        return current
    return min(candidates)


def replacement_reason(
    view: PrimaryView, peers: Mapping[str, float], *, watched: int, leaving_primary_wait_s: float
) -> ReplacementReason | None:
    """Why the primary should be replaced, or None.

    Args:
        view: What this instance knows of the primary.
        peers: For each peer that answers, the seconds for which it has not reached the primary.
        watched: Number of instances in the watch set of this one.
        leaving_primary_wait_s: Seconds for which a leaving primary stays in place while an
            instance is missing. Without the confirmation of that instance the primary would have to
            be cut off from its replicas before its successor is promoted, and most missing
            instances return within seconds.
    """
    voters = 1 + len(peers)
    waited = view.leaving_s is not None and view.leaving_s >= leaving_primary_wait_s
    if view.replicas == 0 or 2 * voters < 1 + watched:
        # Too few instances answer to judge the primary; the others may still reach it. One that
        # leaves has to be replaced nevertheless, before it stops.
        may_be_replaced = view.replicas + view.last_resorts > 0 and not view.contradicted
        return ReplacementReason.LEAVING if waited and may_be_replaced else None
    if not view.listed:
        return ReplacementReason.GONE
    if view.leaderless_s >= LEADERLESS_AFTER_S:
        return ReplacementReason.LEADERLESS
    if view.contradicted:
        return ReplacementReason.NOT_PRIMARY
    if view.leaving_s is not None and (voters == 1 + watched or waited):
        return ReplacementReason.LEAVING
    unreachable = sum(1 for seconds in [view.unreachable_s, *peers.values()] if seconds > 0)
    all_agree = unreachable == voters and voters > 1
    unreachable_after_s = AGREED_UNREACHABLE_AFTER_S if all_agree else UNREACHABLE_AFTER_S
    if view.unreachable_s >= unreachable_after_s and 2 * unreachable > voters:
        return ReplacementReason.UNREACHABLE
    return None


def choose_candidate(
    reports: Mapping[str, MemberReport],
    *,
    leaving: Collection[str],
    silent: int = 0,
    synchronous_replicas: int = 0,
    excluded: Collection[str] = (),
    primary_end: tuple[int, int] | None = None,
) -> str | None:
    """Chooses the member to promote: the longest log, a primary first, then the shortest lag.

    With synchronous replicas, no member is chosen that may lack acknowledged commits.

    Args:
        reports: Reports of the replicas that answered, by id.
        leaving: Replicas that announced their shutdown; chosen only if no other one may be.
        silent: Number of replicas that did not tell what they received.
        synchronous_replicas: Number of replicas that receive a commit before it is acknowledged.
        excluded: Replicas that may not be chosen; their logs count nevertheless.
        primary_end: End of the log of the replaced primary if that told it, None otherwise.

    Returns:
        Id of the member, None if no member may be promoted without losing acknowledged commits.
    """
    candidates = reports
    if synchronous_replicas:
        required = required_log_end(
            reports.values(),
            silent=silent,
            synchronous_replicas=synchronous_replicas,
            primary_end=primary_end,
        )
        if required is None:
            return None
        candidates = {one: report for one, report in reports.items() if log_end(report) >= required}
    candidates = {one: report for one, report in candidates.items() if one not in excluded}
    eligible = {one: report for one, report in candidates.items() if one not in leaving}
    eligible = eligible or candidates
    if not eligible:
        return None
    return max(eligible, key=lambda member: (*_log_progress(eligible[member]), member))


def required_log_end(
    reports: Collection[MemberReport],
    *,
    silent: int,
    synchronous_replicas: int,
    primary_end: tuple[int, int] | None,
) -> tuple[int, int] | None:
    """End of the log that holds every acknowledged commit, with synchronous replicas.

    Each acknowledged commit is in the log of the primary and of that many replicas. The longest log
    that replicas reported has it if fewer replicas than that are silent; the primary's always has.

    Args:
        reports: Reports of the replicas that answered.
        silent: Number of replicas that did not tell what they received.
        synchronous_replicas: Number of replicas that receive a commit before it is acknowledged.
        primary_end: End of the log of the replaced primary if that told it, None otherwise.

    Returns:
        The end of the log, None if what was told does not bound it.
    """
    ends = [log_end(report) for report in reports]
    if primary_end is not None:
        return max([*ends, primary_end])
    if not ends or silent >= synchronous_replicas:
        return None
    return max(ends)


def log_end(report: MemberReport) -> tuple[int, int]:
    """Term and position of the end of the log that a member has received."""
    received = report.received
    return (0, 0) if received is None else (received.term, received.position)


def _log_progress(report: MemberReport) -> tuple[int, int, bool, float]:
    return *log_end(report), report.role is MemberRole.PRIMARY, -report.lag_s
