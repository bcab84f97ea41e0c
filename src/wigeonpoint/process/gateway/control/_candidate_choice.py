"""Chooses the member that a change of primary promotes, by what the members have received."""

from __future__ import annotations

import asyncio

from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.control._log_reports import LogReports, weigh_reports
from wigeonpoint.process.gateway.control._member_control import CALL_TIMEOUT_S, MemberControl
from wigeonpoint.process.gateway.control._policy import choose_candidate, log_end
from wigeonpoint.version.catalogue import Leadership, MemberRecord

# A member with a full queue answers as late as a statement that it runs. Without its report,
# commits that only it received may be lost.
BUSY_REPORT_TIMEOUT_S = 2.0
CATCH_UP_S = 1.0
CATCH_UP_POLL_S = 0.05


class CandidateChoice:
    """Chooses candidates for one change of primary.

    Args:
        name: Name of the group.
        group: The group.
        members: Control calls to members.
    """

    def __init__(self, name: str, group: Group, members: MemberControl) -> None:
        self._name = name
        self._group = group
        self._members = members
        self._suspended: tuple[MemberRecord, ...] = ()
        self._logged_silent: list[str] = []

    @property
    def suspended(self) -> tuple[MemberRecord, ...]:
        """The replicas that were suspended when they were asked last."""
        return self._suspended

    async def choose(
        self,
        replaced: str | None,
        replaced_record: MemberRecord | None,
        claimed: Leadership | None,
        *,
        planned: bool,
        outstanding: bool = False,
    ) -> MemberRecord | None:
        """Chooses the member to promote.

        The candidate of an unfinished claim is kept if it answers, because its promotion may have
        been called for and may still be carried out. The replaced primary is not chosen, for the
        same reason, unless it follows a later one itself. Nor is a member that stops before the
        replaced primary, if that is leaving.

        Args:
            replaced: Id of the replaced primary.
            replaced_record: Its record, None if it is not known.
            claimed: Record of an unfinished claim that is taken over.
            planned: Whether the replaced primary is leaving, and therefore still runs.
            outstanding: Whether a former call may still promote the candidate of that claim. No
                other member is chosen then while that one is listed: if the call took effect after
                the promotion of another one, there would be two primaries.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + CATCH_UP_S
        candidate = claimed.candidate if claimed is not None else None
        while True:
            logs = await self._ask_members(replaced, replaced_record, candidate, planned=planned)
            if candidate in logs.replicas:
                return self._group.voter(candidate)
            listed = [pool.record for pool in self._group.pools if pool.record.id in logs.replicas]
            if outstanding and self._group.pool(candidate or "") is not None:
                log_event(Event.PROMOTION_OUTSTANDING, group=self._name, candidate=candidate)
                return None
            chosen = self._choose_by_logs(logs, listed, replaced_record)
            if chosen is not None or logs.primary_end is None or loop.time() >= end:
                return next((record for record in listed if record.id == chosen), None)
            await asyncio.sleep(CATCH_UP_POLL_S)

    def _choose_by_logs(
        self,
        logs: LogReports,
        listed: list[MemberRecord],
        replaced_record: MemberRecord | None,
    ) -> str | None:
        eligible = {one.id for one in listed if not self._leaves_before(one, replaced_record)}
        return choose_candidate(
            logs.replicas,
            leaving=[record.id for record in listed if record.leaving],
            silent=logs.silent,
            synchronous_replicas=self._group.service.synchronous_replicas,
            excluded=logs.replicas.keys() - eligible,
            primary_end=logs.primary_end,
        )

    async def has_longest_log(
        self,
        candidate: MemberRecord,
        replaced: str | None,
        replaced_record: MemberRecord | None,
        *,
        planned: bool,
    ) -> bool:
        """Whether a candidate has received all commits that may have been acknowledged by now.

        Args:
            candidate: The candidate.
            replaced: Id of the replaced primary.
            replaced_record: Its record, None if it is not known.
            planned: Whether the replaced primary is leaving, and therefore still runs.
        """
        logs = await self._ask_members(replaced, replaced_record, None, planned=planned)
        needed = logs.required_end(self._group.service.synchronous_replicas)
        if needed is None:
            return False
        loop = asyncio.get_running_loop()
        # In a planned change, what comes later is acknowledged once the candidate has received it.
        end = loop.time() + (CATCH_UP_S if planned else 0.0)
        report = logs.replicas.get(candidate.id)
        while report is None or log_end(report) < needed:
            if loop.time() >= end:
                return False
            await asyncio.sleep(CATCH_UP_POLL_S)
            report = await self._members.report(candidate)
        return True

    async def _ask_members(
        self,
        replaced: str | None,
        replaced_record: MemberRecord | None,
        candidate: str | None,
        *,
        planned: bool,
    ) -> LogReports:
        """Asks members for reports; with synchronous replicas, all that may hold commits.

        Without, the listed ones are asked, and the claimed candidate if that has lapsed.
        """
        synchronous_replicas = self._group.service.synchronous_replicas
        if not synchronous_replicas:
            asked = [pool.record for pool in self._group.pools if pool.record.id != replaced]
            asked += [record for record in self._group.lapsed if record.id == candidate]
            return LogReports(await self._members.reports(asked))
        asked = [record for record in self._group.voters if record.id != replaced]
        if replaced_record is not None:
            asked.append(replaced_record)
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        reports = await self._members.reports(asked, timeout=BUSY_REPORT_TIMEOUT_S)
        logs = weigh_reports(
            reports,
            asked,
            replaced,
            synchronous_replicas=synchronous_replicas,
            planned=planned,
        )
        self._suspended = logs.suspended
        silent = sorted(record.id for record in asked if record.id not in reports)
        if (silent and silent != self._logged_silent) or loop.time() - asked_at > CALL_TIMEOUT_S:
            self._logged_silent = silent
            log_event(
                Event.REPLICAS_SILENT,
                group=self._name,
                heard=sorted(reports),
                silent=silent,
                lapsed=sorted(record.id for record in self._group.lapsed),
            )
        return logs

    def _leaves_before(self, record: MemberRecord, replaced: MemberRecord | None) -> bool:
        if replaced is None or not replaced.leaving:
            return False
        return self._group.leaves_before(record, replaced)
