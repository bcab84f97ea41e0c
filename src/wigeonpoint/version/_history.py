"""Where the terms of a group's log start, and which positions of earlier terms survive."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from wigeonpoint.backend import LogPosition

KEPT_TERMS = 64  # positions of older terms are compared with the start of the oldest kept term


@dataclass(frozen=True, slots=True)
class TermStart:
    """The start of a term.

    Attributes:
        term: The term.
        start: Position of the last entry that its log inherits from earlier terms.
    """

    term: int
    start: int


class TermHistory:
    """The terms that the current log descends from, oldest first.

    A term none of whose entries survive is left out, so that its positions count as abandoned.

    Args:
        starts: Starts of terms in ascending order.
    """

    def __init__(self, starts: Iterable[TermStart] = ()) -> None:
        self._starts = tuple(starts)[-KEPT_TERMS:]

    @property
    def starts(self) -> tuple[TermStart, ...]:
        """Starts of terms in ascending order."""
        return self._starts

    @property
    def term(self) -> int:
        """Latest term, or 0 when nothing is known."""
        return self._starts[-1].term if self._starts else 0

    def extended(self, term: int, log_end: LogPosition) -> TermHistory:
        """The history once a member whose log ends at `log_end` becomes primary of `term`."""
        kept = [known for known in self._starts if known.term <= log_end.term]
        if not kept:
            kept = [TermStart(log_end.term, 0)]
        return TermHistory([*kept, TermStart(term, log_end.position)])

    def carried_over(self, required: LogPosition, term: int) -> bool:
        """Whether, by the known starts, the log of `term` contains an earlier term's position."""
        if self._dropped(required.term) or self._dropped(term):
            return False
        later = (known for known in self._starts if required.term < known.term <= term)
        following = next(later, None)
        return following is None or required.position <= following.start

    def _dropped(self, term: int) -> bool:
        if not self._starts or not self._starts[0].term < term < self.term:
            return False
        return all(known.term != term for known in self._starts)
