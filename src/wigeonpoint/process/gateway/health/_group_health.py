"""Which members of a group get reads, by their answers here and at other instances."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable

from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway.health._messages import MemberFailures
from wigeonpoint.process.policy import (
    AnswerCounts,
    EjectionChange,
    EjectionReason,
    OutlierDetector,
)


class GroupHealth:
    """Ejects members of one group that fail or are slow, and logs it.

    Args:
        group: Name of the group.
    """

    def __init__(self, group: str) -> None:
        self._group = group
        self._detector = OutlierDetector()

    def set_members(self, member_ids: Collection[str]) -> None:
        """Replaces the members."""
        self._detector.set_members(member_ids)

    def note_read(
        self, member_id: str, *, failed: bool, seconds: float, primary_id: str | None
    ) -> bool:
        """Records a member's answer to a read; returns whether the answer readmits the member.

        Args:
            member_id: The member.
            failed: Whether it failed to run the read.
            seconds: Seconds until the answer.
            primary_id: The primary.
        """
        changes = self._detector.note_answer(
            member_id, failed=failed, seconds=seconds, primary_id=primary_id, now=_now()
        )
        self._log(changes)
        return any(change.member_id == member_id and change.reason is None for change in changes)

    def adopt(self, peer: str, failures: Iterable[MemberFailures]) -> None:
        """Takes note of what a peer knows of members that fail."""
        counts = {one.member_id: AnswerCounts(one.answers, one.failures) for one in failures}
        self._log(self._detector.note_report(peer, counts, _now()))

    def failures(self) -> list[MemberFailures]:
        """The members that failed reads of this instance lately."""
        return [
            MemberFailures(member_id, round(counts.answers, 1), round(counts.failures, 1))
            for member_id, counts in self._detector.failing(_now()).items()
        ]

    def ejected(self, member_id: str) -> EjectionReason | None:
        """Why a member is ejected, None if it is not."""
        return self._detector.ejected(member_id)

    def expected_failure_share(self, member_id: str) -> float:
        """Share of the reads at a member that are expected to fail."""
        return self._detector.expected_failure_share(member_id, _now())

    def trial_due(self, member_id: str) -> bool:
        """Whether a read should be sent to an ejected member, to try it."""
        return self._detector.trial_due(member_id, _now())

    def begin_trial(self, member_id: str) -> None:
        """Records that a read is sent to an ejected member to try it."""
        self._detector.begin_trial(member_id, _now())

    def _log(self, changes: list[EjectionChange]) -> None:
        for change in changes:
            if change.reason is None:
                log_event(Event.MEMBER_READMITTED, group=self._group, member=change.member_id)
                continue
            latency_s = change.latency_s
            log_event(
                Event.MEMBER_EJECTED,
                group=self._group,
                member=change.member_id,
                reason=change.reason.name.lower(),
                failure_share=round(change.failure_share, 2),
                latency_ms=round(latency_s * 1000) if latency_s is not None else None,
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
