"""Repeats the resumption of replicas that did not confirm it at the end of a change of primary.

A suspended replica receives nothing, and nothing but the end of a change resumes it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.version.catalogue import Leadership, LeadershipPhase

FIRST_RETRY_S = 1.0
MAX_RETRY_INTERVAL_S = 30.0  # a member that has crashed is not suspended when it comes back


@dataclass(slots=True)
class _Pending:
    leadership: Leadership
    members: set[str]
    due_at: float
    interval_s: float = FIRST_RETRY_S


class Resumptions:
    """Resumes replicas until they confirm it, while no later change of their group is claimed.

    Args:
        control: Control state of this instance.
        members: Control calls to members.
        groups: Gives the groups by name.
    """

    def __init__(
        self,
        control: ControlState,
        members: MemberControl,
        groups: Callable[[], Mapping[str, Group]],
    ) -> None:
        self._control = control
        self._members = members
        self._groups = groups
        self._pending: dict[str, _Pending] = {}
        self._examined: dict[str, Leadership] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Stops all calls."""
        for task in self._tasks:
            task.cancel()

    def add(self, group: str, leadership: Leadership, members: Collection[str]) -> None:
        """Notes replicas that have to confirm their resumption.

        Args:
            group: Name of the group.
            leadership: The stable record that ended the change.
            members: Their ids.
        """
        self._examined[group] = leadership
        self._pending.pop(group, None)
        if members:
            due_at = self._control.lease.now + FIRST_RETRY_S
            self._pending[group] = _Pending(leadership, set(members), due_at)

    def examine(self, name: str, group: Group) -> None:
        """Resumes the replicas of a group once if another process ended its last change.

        That process may have ended before they confirmed it. The coordinator calls this for groups
        in which a suspended replica keeps commits from being acknowledged.
        """
        leadership = self._control.leadership(name)
        if leadership is None or leadership.phase is not LeadershipPhase.STABLE:
            return
        if self._examined.get(name) != leadership and group.primary is not None:
            self.add(name, leadership, {one.id for one in group.voters} - {leadership.primary})

    def check(self) -> None:
        """Starts the calls that are due."""
        now = self._control.lease.now
        for name, pending in list(self._pending.items()):
            if self._control.leadership(name) != pending.leadership:
                del self._pending[name]  # a later change suspends and resumes members itself
            elif now >= pending.due_at:
                pending.interval_s = min(2 * pending.interval_s, MAX_RETRY_INTERVAL_S)
                pending.due_at = now + pending.interval_s
                task = asyncio.create_task(self._resume(name, pending))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _resume(self, name: str, pending: _Pending) -> None:
        group = self._groups().get(name)
        voters = group.voters if group is not None else []
        records = [record for record in voters if record.id in pending.members]
        pending.members = {record.id for record in records}
        pending.members -= await self._members.resume(records)
        if not pending.members and self._pending.get(name) is pending:
            del self._pending[name]
