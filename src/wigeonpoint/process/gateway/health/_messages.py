"""What instances tell each other of the members, as parts of the answers to pings."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberFailures:
    """Recent answers of a member that failed some reads, older ones weighing less.

    Attributes:
        member_id: The member.
        answers: All its answers to reads.
        failures: Those that were failures.
    """

    member_id: str
    answers: float
    failures: float
