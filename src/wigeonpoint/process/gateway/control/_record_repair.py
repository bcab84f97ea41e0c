"""Writes records of primaries again that were lost when the store was restored from a copy.

The instances still know them. One that starts later reads only the store, and would use the
replaced primary.
"""

from __future__ import annotations

import asyncio

from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway.control._claims import Claims
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.version.catalogue import Leadership

# Other instances than the coordinator write a record if it has been missing for this long.
STANDBY_REPAIR_AFTER_S = 1.0
RETRY_DELAY_S = 0.5


class RecordRepair:
    """Watches for stable records that the store has lost, and writes them again.

    Args:
        control: Control state of this instance.
        claims: Writes stable records to the store.
    """

    def __init__(self, control: ControlState, claims: Claims) -> None:
        self._control = control
        self._claims = claims
        self._due_at: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def close(self) -> None:
        """Stops all writes."""
        for task in self._tasks.values():
            task.cancel()

    def check(self, *, coordinator: bool) -> None:
        """Starts to write the records that are due.

        Args:
            coordinator: Whether this instance is the coordinator.
        """
        lost = self._control.lost_leaderships
        if not lost:
            self._due_at.clear()
            return
        now = asyncio.get_running_loop().time()
        for group, leadership in lost.items():
            delay_s = 0.0 if coordinator else STANDBY_REPAIR_AFTER_S
            if self._due_at.setdefault(group, now + delay_s) <= now and group not in self._tasks:
                self._due_at[group] = now + RETRY_DELAY_S
                self._start(group, leadership)

    def _start(self, group: str, leadership: Leadership) -> None:
        log_event(Event.LEADERSHIP_RESTORED, group=group, epoch=leadership.epoch)
        task = asyncio.create_task(self._claims.store_stable(group, leadership))
        self._tasks[group] = task
        task.add_done_callback(lambda finished: self._finish(group, finished))

    def _finish(self, group: str, task: asyncio.Task[None]) -> None:
        self._tasks.pop(group, None)
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.PROMOTION_FAILED, group=group, reason=repr(task.exception()))
