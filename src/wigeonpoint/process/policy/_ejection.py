"""The time for which a member gets no reads, and the trials by which it comes back."""

from __future__ import annotations

import random
from enum import Enum, auto

INITIAL_PAUSE_S = 1.0
MAX_PAUSE_S = 8.0
PAUSE_JITTER = 0.25  # share by which pauses differ, so that instances do not try together
TRIAL_TIMEOUT_S = 2.0
TRIALS = 5  # good answers in a row that readmit a member
FORGET_S = 10.0  # after a readmission, until a further ejection begins with the first pause again


class EjectionReason(Enum):
    """Why a member is ejected: a failing one gets no reads, a slow one competes by its cost."""

    FAILING = auto()
    SLOW = auto()


class Ejection:
    """Whether one member is ejected, and when it is tried again.

    Args:
        random_source: Source of the jitter.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._pause_s = INITIAL_PAUSE_S
        self._paused_until = 0.0
        self._readmitted_at = float("-inf")
        self._trial_began_at: float | None = None
        self._good_trials = 0
        self._reason: EjectionReason | None = None

    @property
    def reason(self) -> EjectionReason | None:
        """Why the member is ejected, None if it is not."""
        return self._reason

    def eject(self, reason: EjectionReason, now: float) -> None:
        """Ejects the member."""
        if now - self._readmitted_at > FORGET_S:
            self._pause_s = INITIAL_PAUSE_S
        self._reason = reason
        self._pause(now)

    def trial_due(self, now: float) -> bool:
        """Whether a read should be sent to the ejected member now, to try it."""
        if self._reason is None or now < self._paused_until:
            return False
        began_at = self._trial_began_at
        return began_at is None or now - began_at > TRIAL_TIMEOUT_S

    def begin_trial(self, now: float) -> None:
        """Records that a read is sent to the member to try it."""
        self._trial_began_at = now

    def note_answer(self, *, good: bool, now: float) -> bool:
        """Records an answer of the ejected member; returns whether it is readmitted by it.

        Answers during the pause are to statements that were sent before the ejection.
        """
        if self._reason is None or now < self._paused_until:
            return False
        self._trial_began_at = None
        if not good:
            self._pause(now)
            return False
        self._good_trials += 1
        if self._good_trials < TRIALS:
            return False
        self._reason = None
        self._readmitted_at = now
        return True

    def _pause(self, now: float) -> None:
        jitter = self._random.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
        self._paused_until = now + self._pause_s * jitter
        self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S)
        self._good_trials = 0
        self._trial_began_at = None
