"""Logs why leaving primaries have not been replaced yet, and why groups have none."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group

LOGGED_AFTER_S = 1.0  # most changes of primary are over by then


class DelayReason(StrEnum):
    """Why this instance does not replace a primary now."""

    NO_LEASE = "no valid lease, or not for long enough"
    OTHER_COORDINATOR = "another instance arranges changes of primary"
    CLAIMED = "the change has been claimed and is not completed"
    NO_CANDIDATE = "no other member can be promoted"
    INSTANCES_MISSING = "waiting for instances that do not answer"
    NO_PRIMARY_LISTED = "no listed member says that it leads; one may be starting"
    RETRY_PAUSE = "the last attempt has failed"


class DelayLog:
    """Logs once for each reason and leaving primary, or group without any primary."""

    def __init__(self) -> None:
        self._logged: dict[str, set[tuple[str, DelayReason]]] = {}  # of each group's last primary

    def note(self, group: Group, reason: DelayReason, *, coordinator: Callable[[], str]) -> None:
        """Logs why a group keeps a leaving primary, or has no primary, if that lasts for long.

        Args:
            group: The group.
            reason: Why this instance does not replace the primary now.
            coordinator: Returns the instance that arranges changes of primary.
        """
        primary_id = group.primary_id or ""
        delayed_s = group.primary_leaving_s if primary_id else group.leaderless_s
        if delayed_s is None or delayed_s < LOGGED_AFTER_S:
            return
        logged = self._logged.setdefault(group.name, set())
        if (primary_id, reason) in logged:
            return
        self._logged[group.name] = {one for one in logged if one[0] == primary_id}
        self._logged[group.name].add((primary_id, reason))
        log_event(
            Event.REPLACEMENT_DELAYED,
            group=group.name,
            primary=primary_id,
            delayed_ms=int(delayed_s * 1000),
            reason=str(reason),
            coordinator=coordinator(),
        )
