"""Quorum leases: confirmations by a group's members that no other primary has been promoted.

They keep primaries in use when the store is unavailable while an instance is missing, so that
neither the store nor the peers can rule out a claim. If some instance does not confirm a claim, the
claimant promotes only after so many of the group's members obey its term that the others are no
majority, and after the lease duration has passed since then. An instance to which a majority of the
members reports no later term than the primary's therefore knows that this was not yet so when it
asked, and may use the primary for the lease duration.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Mapping
from functools import partial

from wigeonpoint.backend import MemberRole
from wigeonpoint.connection.session import MemberReport
from wigeonpoint.process.gateway._background import start_loop
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway._suspension import Clock
from wigeonpoint.process.gateway.control._lease import LEASE_DURATION_S
from wigeonpoint.process.gateway.control._member_control import MemberControl
from wigeonpoint.process.gateway.control._messages import ConfirmedPrimary
from wigeonpoint.version.catalogue import MemberRecord

RENEW_AFTER_S = 0.4 * LEASE_DURATION_S
RENEWAL_SPREAD = 1.8
CHECK_INTERVAL_S = 0.08
PRIMARY_IN_USE_S = 2.0  # members are not asked if no primary was requested for this long


def majority(members: int) -> int:
    """The smallest number of members that is a majority."""
    return members // 2 + 1


def blocks_old_quorum(obeying: Collection[str], members: Collection[MemberRecord]) -> bool:
    """Whether the members that do not obey a new term are too few to confirm the old primary.

    While a member is being replaced, an instance may know the old member, the new one or both, and
    it counts the majority of the members that it knows. So no such view may have a majority left.

    Args:
        obeying: Ids of the members that obey the new term.
        members: All listed members, and those that have lapsed and may still run.
    """
    leaving = [member.id for member in members if member.leaving]
    by_age = sorted(members, key=lambda member: member.born_ms)
    known = [member.id for member in by_age]
    views = [
        known,
        [member for member in known if member not in leaving],
        known[: len(known) - len(leaving)],
    ]
    return all(_leaves_no_majority(obeying, view) for view in views if view)


def _leaves_no_majority(obeying: Collection[str], view: Collection[str]) -> bool:
    others = [member for member in view if member not in obeying]
    return len(others) < majority(len(view))


def quorum_confirms(
    primary: str, reports: Mapping[str, MemberReport | None], members: Collection[str]
) -> bool:
    """Whether a majority of the members reports no later term than the primary's.

    A replica that was resumed reports the old term until the new primary reaches it, so the report
    of a later primary in the same answers outweighs any majority.

    Args:
        primary: Id of the primary.
        reports: Reports of the members that answered, by id.
        members: Ids of all members.
    """
    own = reports.get(primary)
    if own is None or quorum_contradicts(primary, reports):
        return False
    agreeing = [
        member
        for member in members
        if (report := reports.get(member)) is not None and report.newest_term <= own.term
    ]
    return len(agreeing) >= majority(len(members))


def quorum_contradicts(primary: str, reports: Mapping[str, MemberReport | None]) -> bool:
    """Whether the members report that another member than the expected one is the primary.

    Args:
        primary: Id of the expected primary.
        reports: Reports of the members that answered, by id.
    """
    own = reports.get(primary)
    if own is None:
        return False
    return own.role is not MemberRole.PRIMARY or any(
        report is not None and report.role is MemberRole.PRIMARY and report.term > own.term
        for report in reports.values()
    )


class QuorumLeases:
    """Quorum leases of one instance; asks members for them if its lease is not renewed in time.

    Args:
        members: Control calls to members.
        groups: Gives the groups by name.
        clock: Gives seconds; it must also count the time for which the machine is suspended.
        random_source: Source of the jitter between renewals.
    """

    def __init__(
        self,
        members: MemberControl,
        groups: Callable[[], Mapping[str, Group]],
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._members = members
        self._groups = groups
        self._clock = clock
        self._random = random_source
        self._renew_at: dict[str, float] = {}
        self._leases: dict[str, tuple[str, float]] = {}
        self._requests: dict[str, asyncio.Task[None]] = {}
        self._confirmed: dict[str, str] = {}  # the last confirmed primary of each group
        self._contradicted: dict[str, str] = {}
        self._doubted_at: dict[str, float] = {}
        self._request_again_at: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        self.asked = 0

    def holds(self, group: str, member_id: str) -> bool:
        """Whether there is a valid quorum lease for a member as the primary of a group."""
        primary, confirmed_at = self._leases.get(group, ("", float("-inf")))
        return primary == member_id and self._clock() - confirmed_at < LEASE_DURATION_S

    def has_confirmed(self, group: str, member_id: str) -> bool:
        """Whether a member is the last primary of a group that its members have confirmed."""
        return self._confirmed.get(group) == member_id

    def has_contradicted(self, group: str, member_id: str) -> bool:
        """Whether the members of a group reported last that a member is not its primary."""
        return self._contradicted.get(group) == member_id

    def doubt(self, group: str) -> None:
        """Forgets what the members of a group have confirmed; only later answers count."""
        self._doubted_at[group] = self._clock()
        self._leases.pop(group, None)
        self._confirmed.pop(group, None)
        self._contradicted.pop(group, None)

    def request(self, name: str) -> None:
        """Asks the members of a group now, unless they were asked a short time ago."""
        group = self._groups().get(name)
        now = self._clock()
        if group is None or self._requesting(name) or now < self._request_again_at.get(name, now):
            return
        self._request_again_at[name] = now + CHECK_INTERVAL_S
        self._requests[name] = asyncio.create_task(self._request_reports(name, group))

    def shared(self) -> dict[str, ConfirmedPrimary]:
        """Confirmed primaries with a valid quorum lease, by group, for peers to adopt."""
        now = self._clock()
        return {
            group: ConfirmedPrimary(primary, now - confirmed_at)
            for group, (primary, confirmed_at) in self._leases.items()
            if now - confirmed_at < LEASE_DURATION_S
        }

    def adopt(self, confirmed: Mapping[str, ConfirmedPrimary], asked_at: float) -> None:
        """Adopts the quorum leases of a peer that are newer than the own ones.

        Args:
            confirmed: The peer's confirmed primaries, by group.
            asked_at: Time in seconds at which the peer was asked.
        """
        for group, lease in confirmed.items():
            confirmed_at = asked_at - lease.age_s
            if confirmed_at > self._leases.get(group, ("", float("-inf")))[1]:
                self._record_lease(group, lease.member_id, confirmed_at)

    def start(self, due_s: Callable[[], float]) -> None:
        """Starts asking members.

        Args:
            due_s: Returns the seconds until quorum leases are needed, 0 if they are now.
        """
        self._task = start_loop(partial(self._run, due_s))

    def close(self) -> None:
        """Stops asking members."""
        if self._task is not None:
            self._task.cancel()
        for task in self._requests.values():
            task.cancel()

    async def _run(self, due_s: Callable[[], float]) -> None:
        while True:
            await asyncio.sleep(max(due_s(), CHECK_INTERVAL_S))
            if due_s() > 0:
                continue
            for name, group in self._groups().items():
                if self._due(name, group):
                    self._requests[name] = asyncio.create_task(self._request_reports(name, group))

    def _requesting(self, name: str) -> bool:
        running = self._requests.get(name)
        return running is not None and not running.done()

    def _due(self, name: str, group: Group) -> bool:
        if self._requesting(name):
            return False
        now = asyncio.get_running_loop().time()
        recently = now - group.primary_requested_at <= PRIMARY_IN_USE_S
        if group.primary is None or not (recently or group.transactions_at_primary):
            return False
        return self._clock() >= self._renew_at.get(name, float("-inf"))

    async def _request_reports(self, name: str, group: Group) -> None:
        primary = group.primary
        if primary is None:
            return
        asked_at = self._clock()
        records = group.voters
        self.asked += len(records)
        reports = await self._members.reports(records)
        primary_id = primary.record.id
        if quorum_confirms(primary_id, reports, [record.id for record in records]):
            self._record_lease(name, primary_id, asked_at)
            group.notify()
        elif quorum_contradicts(primary_id, reports):
            self._contradicted[name] = primary_id

    def _record_lease(self, group: str, primary: str, confirmed_at: float) -> None:
        if confirmed_at <= self._doubted_at.get(group, float("-inf")):
            return
        self._leases[group] = (primary, confirmed_at)
        self._confirmed[group] = primary
        self._contradicted.pop(group, None)
        # A random time, so that the first instance that asks again spares the others the calls.
        self._renew_at[group] = confirmed_at + RENEW_AFTER_S * self._random.uniform(
            1.0, RENEWAL_SPREAD
        )
