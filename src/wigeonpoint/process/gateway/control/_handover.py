"""Keeps a leaving primary in use while its successor is being promoted.

The platform takes up to a second to carry out a promotion. Without a handover, every write of the
group would be refused for that long in a planned change of primary.

The leaving primary stays the primary until the candidate has been promoted, and only the candidate
knows when that is. An answer of the leaving primary is therefore passed on only after the candidate
reported, in reply to a request sent after the answer arrived, that it is still a replica. For a
commit it must also report that it received the commit, because a promoted member keeps only the
log that it has received.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonpoint.backend import LogPosition, MemberRole
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.version.catalogue import MemberRecord

# A candidate that has been silent for longer may not confirm the next answer either.
REPORT_MAX_AGE_S = 0.2
IDLE_POLL_S = 0.05  # while no answer waits for a confirmation
BUSY_POLL_S = 0.004  # while some do; one report can confirm several answers
RETRY_DELAY_S = 0.02
STALLED_AFTER_S = 0.1  # a candidate that receives no log entries cannot confirm commits
MIN_WAIT_S = 0.001
HANDOVER_TIMEOUT_S = 8.0  # by then another instance has taken over the claim


class Handover:
    """Use of the leaving primary by this instance during one planned change of primary.

    Args:
        group: Name of the group.
        primary_id: The leaving primary.
        candidate: The member that is being promoted.
        members: Control calls to members.
        on_change: Called when the leaving primary becomes usable, and when the handover ends.
    """

    def __init__(
        self,
        group: str,
        primary_id: str,
        candidate: MemberRecord,
        members: MemberControl,
        *,
        on_change: Callable[[], None],
    ) -> None:
        self._group = group
        self._primary_id = primary_id
        self._candidate = candidate
        self._members = members
        self._on_change = on_change
        self._report_requested_at = float("-inf")
        self._received: LogPosition | None = None
        self._waiting = 0
        self._stalled = False
        self._ended = False
        self._changed = asyncio.Event()
        self._confirmation_wanted = asyncio.Event()
        self._task = asyncio.create_task(self._poll_candidate())

    @property
    def primary_id(self) -> str:
        """Id of the leaving primary."""
        return self._primary_id

    @property
    def usable(self) -> bool:
        """Whether statements may be sent to the leaving primary."""
        recent = asyncio.get_running_loop().time() - self._report_requested_at < REPORT_MAX_AGE_S
        return recent and not self._ended and not self._stalled

    async def confirm(self, position: LogPosition | None, *, deadline: float) -> bool:
        """Waits until an answer of the leaving primary may be passed on.

        Args:
            position: Log position of the commit that was answered, None if it was no commit.
            deadline: Event-loop time, in seconds, until which to wait.

        Returns:
            Whether the answer may be passed on; otherwise the outcome is unknown.
        """
        loop = asyncio.get_running_loop()
        answered_at = loop.time()
        self._waiting += 1
        self._confirmation_wanted.set()
        try:
            while not self._ended and deadline - loop.time() >= MIN_WAIT_S:
                if self._confirms(answered_at, position):
                    return True
                if (
                    self._report_requested_at >= answered_at
                    and loop.time() - answered_at > STALLED_AFTER_S
                ):
                    self._stalled = True
                await _wait_for(self._changed, min(deadline - loop.time(), STALLED_AFTER_S))
            return False
        finally:
            self._waiting -= 1

    def close(self) -> None:
        """Ends the handover; answers that wait for a confirmation are not passed on."""
        self._task.cancel()
        self._end()

    def _confirms(self, answered_at: float, position: LogPosition | None) -> bool:
        if self._report_requested_at < answered_at:
            return False
        return position is None or (self._received is not None and self._received >= position)

    async def _poll_candidate(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + HANDOVER_TIMEOUT_S
        while not self._ended and loop.time() < end:
            requested_at = loop.time()
            report = await self._members.report(self._candidate)
            if report is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if report.role is not MemberRole.REPLICA:
                break
            first = self._received is None
            self._report_requested_at, self._received = requested_at, report.received
            self._notify()
            if first:
                self._on_change()
            await self._wait_before_poll()
        self._end()

    async def _wait_before_poll(self) -> None:
        """Waits until the next report is due: sooner while answers wait for a confirmation."""
        if self._waiting:
            await asyncio.sleep(BUSY_POLL_S)
            return
        self._confirmation_wanted.clear()
        await _wait_for(self._confirmation_wanted, IDLE_POLL_S)

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            log_event(
                Event.HANDOVER_ENDED,
                group=self._group,
                member=self._primary_id,
                candidate=self._candidate.id,
                stalled=self._stalled,
                unconfirmed=self._waiting,
            )
            self._on_change()
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def _wait_for(event: asyncio.Event, timeout: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), max(timeout, 0.0))
    except TimeoutError:
        return
