"""What the members of a group told of their logs, and what a promotion may go by.

With synchronous replicas, a commit is acknowledged once that many replicas have received it. All
members that may hold such commits count, listed or not, whether they answer or not.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from wigeonpoint.backend import MemberRole
from wigeonpoint.connection.session import MemberReport
from wigeonpoint.process.gateway.control._policy import log_end, required_log_end
from wigeonpoint.version.catalogue import MemberRecord


@dataclass(frozen=True, slots=True)
class LogReports:
    """What the members of a group told of their logs.

    Attributes:
        replicas: Reports of the replicas that answered, by id; of lapsed ones too.
        silent: Number of the replicas that did not, with lapsed ones.
        primary_end: End of the log of the replaced primary if that told it and has to be matched.
        suspended: The replicas that receive nothing, as a claim has suspended them.
    """

    replicas: Mapping[str, MemberReport]
    silent: int = 0
    primary_end: tuple[int, int] | None = None
    suspended: tuple[MemberRecord, ...] = ()

    def required_end(self, synchronous_replicas: int) -> tuple[int, int] | None:
        """End of the log that a candidate must have received, None if that is not known."""
        return required_log_end(
            self.replicas.values(),
            silent=self.silent,
            synchronous_replicas=synchronous_replicas,
            primary_end=self.primary_end,
        )


def weigh_reports(
    reports: Mapping[str, MemberReport],
    members: list[MemberRecord],
    replaced: str | None,
    *,
    synchronous_replicas: int,
    planned: bool,
) -> LogReports:
    """Tells replicas from primaries among the members that were asked.

    Args:
        reports: Reports of the members that answered, by id.
        members: All members that were asked, with the replaced primary if it is known.
        replaced: Id of the replaced primary.
        synchronous_replicas: Number of replicas that receive a commit before it is acknowledged.
        planned: Whether the replaced primary is leaving, and therefore still runs.
    """
    former = reports.get(replaced or "")
    replicas = {member: report for member, report in reports.items() if member != replaced}
    leader = _leader(reports)
    if leader is not None and leader != replaced:
        return LogReports({leader: reports[leader]})  # what it lacks was lost by its promotion
    silent = sum(1 for one in members if one.id not in reports and one.id != replaced)
    if former is not None and former.role is MemberRole.REPLICA:
        if silent and _follows_a_silent_primary(former, replicas):
            silent -= 1  # one of the silent members leads, and is no replica
        replicas[replaced or ""] = former
    return LogReports(
        replicas,
        silent,
        _primary_end(former, replicas, planned=planned, bounded=silent < synchronous_replicas),
        tuple(one for one in members if one.id in replicas and replicas[one.id].held_term),
    )


def _leader(reports: Mapping[str, MemberReport]) -> str | None:
    """The member that leads in the newest term that was reported."""
    newest = max((report.term for report in reports.values()), default=0)
    leaders = [
        member
        for member, report in reports.items()
        if report.role is MemberRole.PRIMARY and report.term == newest
    ]
    return leaders[0] if leaders else None


def _primary_end(
    former: MemberReport | None,
    replicas: Mapping[str, MemberReport],
    *,
    planned: bool,
    bounded: bool,
) -> tuple[int, int] | None:
    """End of the replaced primary's log, if a candidate has to match it.

    Its log may end with commits that no replica received and that were not acknowledged, so it
    counts only if the primary is leaving, or if the logs of the replicas do not bound what was
    acknowledged.
    """
    if former is None or former.role is not MemberRole.PRIMARY:
        return None
    if any(report.term > former.term for report in replicas.values()):
        return None  # it was replaced before, by a member that does not answer
    return log_end(former) if planned or not bounded else None


def _follows_a_silent_primary(former: MemberReport, replicas: Mapping[str, MemberReport]) -> bool:
    """Whether a former primary follows a later one, which does not answer.

    One that has started anew is a replica as well, but has a shorter log than the others.
    """
    if former.received is None:
        return False
    return all(log_end(former) >= log_end(report) for report in replicas.values())
