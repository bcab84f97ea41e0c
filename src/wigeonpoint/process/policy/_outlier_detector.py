"""Ejects members whose answers to reads are much worse than those of the rest of their group."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from wigeonpoint.process.policy._answer_counts import AnswerCounts
from wigeonpoint.process.policy._answer_evidence import AnswerEvidence
from wigeonpoint.process.policy._ejection import Ejection, EjectionReason

MIN_ANSWERS = 4.0  # weight of the answers by which a member is judged
MIN_FAILURE_SHARE = 0.2
GOOD_FAILURE_SHARE = 0.1  # of own answers, below which peers cannot have a member ejected
MIN_STANDARD_ERRORS = 2.5  # between the share of failures and that of all other members
# Of the other members, in place of the answers that are missing while no reads go there.
ASSUMED_OF_OTHERS = AnswerCounts(answers=4.0, failures=0.0)
SLOW_RATIO = 4.0  # of the latency to that of the best other replica
MIN_SLOW_EXCESS_S = 0.05  # below it, callers notice no difference
MAX_EJECTED_SHARE = 0.5  # of the members of a group


@dataclass(frozen=True, slots=True)
class EjectionChange:
    """A member that was ejected or readmitted.

    Attributes:
        member_id: Its id.
        reason: Why it is ejected, None if it was readmitted.
        failure_share: Share of failures among its recent answers.
        latency_s: Smoothed seconds of its successful answers, None if too few are known.
    """

    member_id: str
    reason: EjectionReason | None
    failure_share: float
    latency_s: float | None


class OutlierDetector:
    """Decides which members of one group get no reads for a while.

    Args:
        random_source: Source of the jitter of pauses.
    """

    def __init__(self, random_source: random.Random | None = None) -> None:
        self._random = random_source or random.Random()
        self._evidence = AnswerEvidence()
        self._ejections: dict[str, Ejection] = {}
        self._primary_id: str | None = None

    def set_members(self, member_ids: Collection[str]) -> None:
        """Replaces the members; new ones are not ejected."""
        self._evidence.keep(member_ids)
        self._ejections = {
            key: self._ejections.get(key) or Ejection(self._random) for key in member_ids
        }

    def note_answer(
        self, member_id: str, *, failed: bool, seconds: float, primary_id: str | None, now: float
    ) -> list[EjectionChange]:
        """Records the answer to a read.

        Args:
            member_id: The member.
            failed: Whether it failed to run the read.
            seconds: Seconds until the answer.
            primary_id: The primary, whose latency is not compared with that of replicas.
            now: Time in seconds.

        Returns:
            The ejections and readmissions that follow.
        """
        ejection = self._ejections.get(member_id)
        if ejection is None:
            return []
        self._primary_id = primary_id
        good = not failed and not self._is_slow(member_id, seconds, now)
        if ejection.note_answer(good=good, now=now):
            self._evidence.restart(member_id, now)
            return [EjectionChange(member_id, None, 0.0, None)]
        if ejection.reason is EjectionReason.FAILING:
            return []
        # A slow member still gets reads, so it must be noticed when it begins to fail.
        self._evidence.note_answer(member_id, failed=failed, seconds=seconds, now=now)
        return self._eject_outliers(now)

    def note_report(
        self, peer: str, counts: Mapping[str, AnswerCounts], now: float
    ) -> list[EjectionChange]:
        """Records what a peer has counted, by member; returns the ejections that follow."""
        known = {key: value for key, value in counts.items() if key in self._ejections}
        self._evidence.note_report(peer, known, now)
        return self._eject_outliers(now) if known else []

    def ejected(self, member_id: str) -> EjectionReason | None:
        """Why a member is ejected, None if it is not."""
        ejection = self._ejections.get(member_id)
        return ejection.reason if ejection is not None else None

    def trial_due(self, member_id: str, now: float) -> bool:
        """Whether a read should be sent to an ejected member, to try it."""
        ejection = self._ejections.get(member_id)
        return ejection is not None and ejection.trial_due(now)

    def begin_trial(self, member_id: str, now: float) -> None:
        """Records that a read is sent to an ejected member to try it."""
        self._ejections[member_id].begin_trial(now)

    def expected_failure_share(self, member_id: str, now: float) -> float:
        """Share of the reads at a member that are expected to fail."""
        return self._evidence.expected_failure_share(member_id, now)

    def failing(self, now: float) -> dict[str, AnswerCounts]:
        """Own recent answers of the members that failed any of them, for the peers."""
        counts = {key: self._evidence.own(key, now) for key in self._ejections}
        return {key: value for key, value in counts.items() if value.failures >= 1.0}

    def _eject_outliers(self, now: float) -> list[EjectionChange]:
        """Ejects outliers, those with the highest share of failures first."""
        changes = []
        shares = {key: self._evidence.combined(key, now).failure_share for key in self._ejections}
        for member_id in sorted(shares, key=lambda key: (-shares[key], key)):
            ejection, reason = self._ejections[member_id], self._reason(member_id, now)
            if reason is None or (ejection.reason is None and not self._may_eject()):
                continue
            ejection.eject(reason, now)
            latency_s = self._evidence.latency_s(member_id, now)
            changes.append(EjectionChange(member_id, reason, shares[member_id], latency_s))
        return changes

    def _may_eject(self) -> bool:
        members = len(self._ejections)
        ejected = sum(one.reason is not None for one in self._ejections.values())
        return ejected < min(max(int(members * MAX_EJECTED_SHARE), 1), members - 1)

    def _reason(self, member_id: str, now: float) -> EjectionReason | None:
        """Why a member should be ejected, None if it should not or is for that reason already."""
        present = self._ejections[member_id].reason
        if present is EjectionReason.FAILING:
            return None
        if self._fails_more_than_others(member_id, now):
            return EjectionReason.FAILING
        if present is not None:
            return None
        latency_s = self._evidence.latency_s(member_id, now)
        if latency_s is not None and self._is_slow(member_id, latency_s, now):
            return EjectionReason.SLOW
        return None

    def _fails_more_than_others(self, member_id: str, now: float) -> bool:
        counts = self._evidence.combined(member_id, now)
        if counts.answers < MIN_ANSWERS or counts.failure_share < MIN_FAILURE_SHARE:
            return False
        if self._evidence.contradicts_reports(member_id, GOOD_FAILURE_SHARE, now):
            return False
        others = [self._evidence.combined(key, now) for key in self._usable_others(member_id)]
        return counts.exceeds(sum(others, ASSUMED_OF_OTHERS)) >= MIN_STANDARD_ERRORS

    def _is_slow(self, member_id: str, latency_s: float, now: float) -> bool:
        if member_id == self._primary_id:
            return False
        others = [
            other_s
            for other in self._usable_others(member_id)
            if other != self._primary_id
            and (other_s := self._evidence.latency_s(other, now)) is not None
        ]
        if not others:
            return False
        best_s = min(others)
        return latency_s >= max(SLOW_RATIO * best_s, best_s + MIN_SLOW_EXCESS_S)

    def _usable_others(self, member_id: str) -> list[str]:
        return [
            other
            for other, ejection in self._ejections.items()
            if other != member_id and ejection.reason is None
        ]
