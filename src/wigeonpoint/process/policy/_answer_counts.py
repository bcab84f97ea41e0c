"""How many answers a member gave lately, and how many of them were failures."""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt

HALF_LIFE_S = 2.0  # after which an answer counts half


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Answers of a member, each weighted by its age.

    Attributes:
        answers: All of them.
        failures: Those that were failures.
    """

    answers: float = 0.0
    failures: float = 0.0

    @property
    def failure_share(self) -> float:
        """Share of the failures, 0 without answers."""
        return self.failures / self.answers if self.answers else 0.0

    def __add__(self, other: AnswerCounts) -> AnswerCounts:
        return AnswerCounts(self.answers + other.answers, self.failures + other.failures)

    def exceeds(self, other: AnswerCounts) -> float:
        """By how many standard errors the share of failures is higher than another one."""
        if not self.answers or not other.answers:
            return 0.0
        share = (self + other).failure_share
        variance = share * (1 - share) * (1 / self.answers + 1 / other.answers)
        difference = self.failure_share - other.failure_share
        return difference / sqrt(variance) if variance else 0.0

    def scaled(self, factor: float) -> AnswerCounts:
        """The same share with another weight."""
        return AnswerCounts(self.answers * factor, self.failures * factor)


class DecayingCounts:
    """Counts answers, with weights that halve every `HALF_LIFE_S` seconds."""

    def __init__(self) -> None:
        self._counts = AnswerCounts()
        self._counted_at = 0.0

    def add(self, *, failed: bool, now: float) -> None:
        """Counts an answer."""
        self._counts = self.at(now) + AnswerCounts(1.0, float(failed))
        self._counted_at = now

    def at(self, now: float) -> AnswerCounts:
        """The counts at a time, in seconds."""
        return self._counts.scaled(0.5 ** ((now - self._counted_at) / HALF_LIFE_S))
