"""Statements that go on at a leaving primary while its successor is being promoted.

Answers the load of planned changes of primary: the platform takes up to a second to carry out a
promotion, and without a handover every write of the group would be refused for that long.

Until the candidate leads, the leaving primary does. Whether the candidate leads yet, only it can
tell. An answer of the leaving primary is therefore passed on once the candidate has said, in reply
to a question asked after the answer had come, that it still follows; and for a commit also that it
has received it, since a promoted member keeps what it has received and nothing more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonpoint.backend import LogPosition, MemberRole
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.version.catalogue import MemberRecord

FRESH_S = 0.2  # a candidate that has not answered for longer may not answer the next question
IDLE_POLL_S = 0.05  # while no answer waits
BUSY_POLL_S = 0.004  # while one does; several answers share a question
RETRY_POLL_S = 0.02
STALLED_AFTER_S = 0.1  # a candidate that receives nothing cannot confirm commits
LONGEST_S = 8.0  # a claim that takes longer is taken over


class Handover:
    """One planned change of primary, as one instance goes through it.

    Args:
        group: Name of the group.
        primary_id: The leaving primary.
        candidate: The member that is to lead.
        members: Control calls to members.
        on_change: Called when the leaving primary may be used, and when it may not any more.
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
        self._asked_at = float("-inf")
        self._received: LogPosition | None = None
        self._waiting = 0
        self._stalled = False
        self._ended = False
        self._changed = asyncio.Event()
        self._wanted = asyncio.Event()
        self._task = asyncio.create_task(self._watch())

    @property
    def primary_id(self) -> str:
        """Id of the leaving primary."""
        return self._primary_id

    @property
    def usable(self) -> bool:
        """Whether statements may be sent to the leaving primary."""
        fresh = asyncio.get_running_loop().time() - self._asked_at < FRESH_S
        return fresh and not self._ended and not self._stalled

    async def confirm(self, position: LogPosition | None, *, deadline: float) -> bool:
        """Waits until an answer of the leaving primary may be passed on.

        Args:
            position: Position of the commit that was answered, None if it was no commit.
            deadline: Event-loop time, in seconds, until which to wait.

        Returns:
            Whether it may be passed on; otherwise its outcome is not known.
        """
        loop = asyncio.get_running_loop()
        answered_at = loop.time()
        self._waiting += 1
        self._wanted.set()
        try:
            while not self._ended and loop.time() < deadline:
                if self._confirms(answered_at, position):
                    return True
                if self._asked_at >= answered_at and loop.time() - answered_at > STALLED_AFTER_S:
                    self._stalled = True
                await _wait_for(self._changed, min(deadline - loop.time(), STALLED_AFTER_S))
            return False
        finally:
            self._waiting -= 1

    def close(self) -> None:
        """Ends the handover; answers that wait are not passed on."""
        self._task.cancel()
        self._end()

    def _confirms(self, answered_at: float, position: LogPosition | None) -> bool:
        if self._asked_at < answered_at:
            return False
        return position is None or (self._received is not None and self._received >= position)

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + LONGEST_S
        while not self._ended and loop.time() < end:
            asked_at = loop.time()
            report = await self._members.report(self._candidate)
            if report is None:
                await asyncio.sleep(RETRY_POLL_S)
                continue
            if report.role is not MemberRole.REPLICA:
                break
            first = self._received is None
            self._asked_at, self._received = asked_at, report.received
            self._notify()
            if first:
                self._on_change()
            await self._pause()
        self._end()

    async def _pause(self) -> None:
        """Waits for the next answer to confirm; a question must follow it."""
        if self._waiting:
            await asyncio.sleep(BUSY_POLL_S)
            return
        self._wanted.clear()
        await _wait_for(self._wanted, IDLE_POLL_S)

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
