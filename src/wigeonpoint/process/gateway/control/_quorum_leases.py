"""Evidence from the members of a group that no other primary has been promoted.

Answers outages of the store while an instance is missing, when neither the store nor the peers can
rule out a claim. A claimant that some instance has not confirmed promotes only after so many of
the group's members obey its term that the others make no majority, and the life of evidence has
passed since. An instance that hears from a majority of the members that they hold no later term
than the primary's knows that this was not so when it asked.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Mapping

from wigeonpoint.connection.session import MemberReport
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.control._lease import LEASE_DURATION_S, Clock
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.process.gateway.control._messages import ConfirmedPrimary
from wigeonpoint.version.catalogue import MemberRecord

ASK_S = 0.4 * LEASE_DURATION_S
ASK_SPREAD = 1.8
STEP_S = 0.08
WANTED_S = 2.0  # groups whose primary nobody has asked for lately are left alone


def majority(members: int) -> int:
    """Members that make a majority."""
    return members // 2 + 1


def blocks_old_quorum(obeying: Collection[str], members: Collection[MemberRecord]) -> bool:
    """Whether members that obey a new term leave no majority to vouch for the old primary.

    While a member is being replaced, instances may know one of the two, the other, or both, and
    each counts the majority of those that it knows.

    Args:
        obeying: Ids of the members that obey the new term.
        members: All members that are listed.
    """
    leaving = [member.id for member in members if member.leaving]
    by_age = sorted(members, key=lambda member: member.born_ms)
    known = [member.id for member in by_age]
    views = [
        known,
        [member for member in known if member not in leaving],
        known[: len(known) - len(leaving)],
    ]
    return all(_outnumbered(obeying, view) for view in views if view)


def _outnumbered(obeying: Collection[str], view: Collection[str]) -> bool:
    others = [member for member in view if member not in obeying]
    return len(others) < majority(len(view))


def quorum_confirms(
    primary: str, reports: Mapping[str, MemberReport | None], members: Collection[str]
) -> bool:
    """Whether a majority of the members knows of no later term than the primary's.

    Args:
        primary: Id of the primary.
        reports: What the members that answered say of themselves.
        members: Ids of all members.
    """
    own = reports.get(primary)
    if own is None or own.role.value != "primary":
        return False
    agreeing = [
        member
        for member in members
        if (report := reports.get(member)) is not None and report.newest_term <= own.term
    ]
    return len(agreeing) >= majority(len(members))


class QuorumLeases:
    """Asks the members of groups while other evidence is missing.

    Args:
        members: Control calls to members.
        groups: Gives the groups by name.
        clock: Gives seconds, counted also while the machine is suspended.
    """

    def __init__(
        self, members: MemberControl, groups: Callable[[], Mapping[str, Group]], clock: Clock
    ) -> None:
        self._members = members
        self._groups = groups
        self._clock = clock
        self._random = random.Random()
        self._ask_again_at: dict[str, float] = {}
        self._made: dict[str, tuple[str, float]] = {}
        self._asking: dict[str, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None
        self.asked = 0

    def holds(self, group: str, member_id: str) -> bool:
        """Whether there is young evidence for a member as the primary of a group."""
        primary, made_at = self._made.get(group, ("", float("-inf")))
        return primary == member_id and self._clock() - made_at < LEASE_DURATION_S

    def shared(self) -> dict[str, ConfirmedPrimary]:
        """The evidence that peers can use too, by group."""
        now = self._clock()
        return {
            group: ConfirmedPrimary(primary, now - made_at)
            for group, (primary, made_at) in self._made.items()
            if now - made_at < LEASE_DURATION_S
        }

    def adopt(self, confirmed: Mapping[str, ConfirmedPrimary], asked_at: float) -> None:
        """Takes over the evidence of a peer where it is younger than the own.

        Args:
            confirmed: The peer's evidence, by group.
            asked_at: Time in seconds at which the peer was asked.
        """
        for group, lease in confirmed.items():
            made_at = asked_at - lease.age_s
            if made_at > self._made.get(group, ("", float("-inf")))[1]:
                self._note(group, lease.member_id, made_at)

    def start(self, needed: Callable[[], bool]) -> None:
        """Starts to ask whenever other evidence is missing."""
        self._task = asyncio.create_task(self._run(needed))

    def close(self) -> None:
        """Stops to ask."""
        if self._task is not None:
            self._task.cancel()
        for task in self._asking.values():
            task.cancel()

    async def _run(self, needed: Callable[[], bool]) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            if not needed():
                continue
            for name, group in self._groups().items():
                if self._due(name, group):
                    self._asking[name] = asyncio.create_task(self._ask(name, group))

    def _due(self, name: str, group: Group) -> bool:
        running = self._asking.get(name)
        if running is not None and not running.done():
            return False
        now = asyncio.get_running_loop().time()
        if now - group.primary_requested_at > WANTED_S or group.primary is None:
            return False
        return self._clock() >= self._ask_again_at.get(name, float("-inf"))

    async def _ask(self, name: str, group: Group) -> None:
        primary = group.primary
        if primary is None:
            return
        asked_at = self._clock()
        records = [pool.record for pool in group.pools]
        self.asked += len(records)
        reports = await self._members.reports(records)
        if quorum_confirms(primary.record.id, reports, [record.id for record in records]):
            self._note(name, primary.record.id, asked_at)

    def _note(self, group: str, primary: str, made_at: float) -> None:
        self._made[group] = (primary, made_at)
        # At differing times, so that instances take over the evidence of the first that asks again.
        self._ask_again_at[group] = made_at + ASK_S * self._random.uniform(1.0, ASK_SPREAD)
