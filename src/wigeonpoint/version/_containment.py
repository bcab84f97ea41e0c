"""Whether a member's log contains a position; the one place that compares positions for reads."""

from __future__ import annotations

from wigeonpoint.backend import LogPosition
from wigeonpoint.version._group import GroupView


def contains(group: GroupView, at: LogPosition, required: LogPosition) -> bool:
    """Whether a log that ends at `at` contains the entry `required`.

    To be replaced by `GroupView.contains`, which also knows where each term starts.
    """
    del group
    return at.term >= required.term and at.position >= required.position


def is_abandoned(group: GroupView, required: LogPosition) -> bool:
    """Whether `required` is known to be in no current log.

    To be replaced by `GroupView.is_abandoned`; without the history of terms nothing is known.
    """
    del group, required
    return False
