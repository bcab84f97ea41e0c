"""What is known of the members of a group by their answers to reads, here and at peers."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from wigeonpoint.process.policy._answer_counts import AnswerCounts, DecayingCounts

LATENCY_WEIGHT = 0.2  # of the newest answer in the smoothed latency
MIN_LATENCY_ANSWERS = 5  # before a smoothed latency is compared with others
LATENCY_LIFETIME_S = 10.0  # without answers
REPORT_LIFETIME_S = 2.0
MIN_REPORTERS = 2  # one peer alone may see a fault that is its own
MAX_REPORTED_WEIGHT = 20.0  # of all reports of a member together, in answers
IGNORE_REPORTS_S = 8.0  # after own answers have shown that a member has recovered
MIN_OWN_ANSWERS = 2.0  # from which own good answers outweigh all reports
PRIOR_ANSWERS = 4.0  # good answers assumed for the cost of reads, so that one failure weighs little


@dataclass(slots=True)
class _SmoothedLatency:
    """Smoothed response time of successful reads.

    Attributes:
        answers: Number of answers since the last `clear`.
        mean_s: Smoothed response time in seconds.
        answered_at: Time of the last one, in seconds.
    """

    answers: int = 0
    mean_s: float = 0.0
    answered_at: float = 0.0

    def record(self, seconds: float, now: float) -> None:
        weight = max(LATENCY_WEIGHT, 1 / (self.answers + 1))
        self.mean_s += weight * (seconds - self.mean_s)
        self.answers += 1
        self.answered_at = now

    def comparable(self, now: float) -> bool:
        """Whether there are enough recent answers to compare it."""
        recent = now - self.answered_at <= LATENCY_LIFETIME_S
        return recent and self.answers >= MIN_LATENCY_ANSWERS


class AnswerEvidence:
    """Counts and latencies of members' answers, and the counts that peers report."""

    def __init__(self) -> None:
        self._own: dict[str, DecayingCounts] = {}
        self._latencies: dict[str, _SmoothedLatency] = {}
        self._reports: dict[str, tuple[float, Mapping[str, AnswerCounts]]] = {}
        self._ignore_reports_until: dict[str, float] = {}

    def keep(self, member_ids: Collection[str]) -> None:
        """Forgets all members but these."""
        self._own = {key: self._own.get(key, DecayingCounts()) for key in member_ids}
        self._latencies = {key: self._latencies.get(key, _SmoothedLatency()) for key in member_ids}
        for member_id in self._ignore_reports_until.keys() - set(member_ids):
            del self._ignore_reports_until[member_id]

    def note_answer(self, member_id: str, *, failed: bool, seconds: float, now: float) -> None:
        """Records an answer, and after how many seconds it came."""
        self._own[member_id].add(failed=failed, now=now)
        if not failed:
            self._latencies[member_id].record(seconds, now)

    def note_report(self, peer: str, counts: Mapping[str, AnswerCounts], now: float) -> None:
        """Replaces what a peer has reported, by member."""
        if not counts:
            self._reports.pop(peer, None)
            return
        self._reports[peer] = now, counts
        for name, (reported_at, _) in list(self._reports.items()):
            if now - reported_at > REPORT_LIFETIME_S:
                del self._reports[name]

    def restart(self, member_id: str, now: float) -> None:
        """Forgets the answers of a member that has recovered.

        Peers that have not noticed yet still report its failures, which do not count for a while.
        """
        self._own[member_id] = DecayingCounts()
        self._latencies[member_id] = _SmoothedLatency()
        self._ignore_reports_until[member_id] = now + IGNORE_REPORTS_S

    def own(self, member_id: str, now: float) -> AnswerCounts:
        """Own answers of a member."""
        return self._own[member_id].at(now)

    def combined(self, member_id: str, now: float) -> AnswerCounts:
        """Own answers of a member, and those in the reports if enough peers report it."""
        reports = [
            counts[member_id]
            for reported_at, counts in self._reports.values()
            if now - reported_at <= REPORT_LIFETIME_S and member_id in counts
        ]
        own = self.own(member_id, now)
        if len(reports) < MIN_REPORTERS or now < self._ignore_reports_until.get(member_id, 0.0):
            return own
        reported = sum(reports, AnswerCounts())
        weight = min(MAX_REPORTED_WEIGHT / max(reported.answers, 1.0), 1.0)
        return own + reported.scaled(weight)

    def contradicts_reports(self, member_id: str, max_failure_share: float, now: float) -> bool:
        """Whether own answers are good, so that reports of peers must not decide."""
        own = self.own(member_id, now)
        return own.answers >= MIN_OWN_ANSWERS and own.failure_share < max_failure_share

    def expected_failure_share(self, member_id: str, now: float) -> float:
        """Share of reads that are expected to fail, low while few answers are known."""
        own = self.own(member_id, now)
        return own.failures / (own.answers + PRIOR_ANSWERS)

    def latency_s(self, member_id: str, now: float) -> float | None:
        """Smoothed seconds of successful reads, None if there are too few recent ones."""
        latency = self._latencies[member_id]
        return latency.mean_s if latency.comparable(now) else None
