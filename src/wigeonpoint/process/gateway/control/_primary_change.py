"""One change of primary: choose a member, claim, wait for confirmations, promote, complete."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, replace

from wigeonpoint.backend import MemberRole
from wigeonpoint.connection.session import MemberReport
from wigeonpoint.errors import ConditionFailed, StoreUnavailable
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._group import Group
from wigeonpoint.process.gateway.control._announcement_handler import AnnouncementHandler
from wigeonpoint.process.gateway.control._candidate_choice import (
    BUSY_REPORT_TIMEOUT_S,
    CandidateChoice,
)
from wigeonpoint.process.gateway.control._claims import Claim, Claims, ClaimSuperseded
from wigeonpoint.process.gateway.control._control_state import ControlState
from wigeonpoint.process.gateway.control._lease import FLEET_VIEW_MAX_AGE_S, LEASE_DURATION_S
from wigeonpoint.process.gateway.control._member_control import CALL_TIMEOUT_S, MemberControl
from wigeonpoint.process.gateway.control._messages import AnnounceLeadership
from wigeonpoint.process.gateway.control._outstanding_calls import OutstandingCalls
from wigeonpoint.process.gateway.control._peers import GatewayPeers
from wigeonpoint.process.gateway.control._policy import ReplacementReason
from wigeonpoint.process.gateway.control._quorum_leases import blocks_old_quorum
from wigeonpoint.process.gateway.control._records import group_row
from wigeonpoint.process.gateway.control._resumptions import Resumptions
from wigeonpoint.services import Promoter, era_of, number_of
from wigeonpoint.version.catalogue import Leadership, LeadershipPhase, MemberRecord

CANDIDATE_ATTEMPTS = 3
PROMOTION_ATTEMPTS = 4
PROMOTION_RETRY_DELAY_S = 0.2
# A later call might not have ended when another instance takes the claim over with a higher token.
LAST_RETRY_AFTER_S = 2.0
PROMOTION_POLL_S = 0.05
PROMOTION_TIMEOUT_S = 4.0
EXPIRY_MARGIN_S = 0.02  # for clocks of instances that run at slightly different rates


@dataclass(frozen=True, slots=True)
class ChangeServices:
    """What a change of primary uses.

    Attributes:
        control: Control state of this instance.
        peers: The other instances.
        announcement_handler: Adopts announced records on this instance, as its peers do.
        claims: Writes claims and stable records to the store.
        promoter: Calls for promotions.
        members: Control calls to members.
        calls: Calls for promotions that may still take effect.
        resumptions: Repeats the resumption of replicas.
    """

    control: ControlState
    peers: GatewayPeers
    announcement_handler: AnnouncementHandler
    claims: Claims
    promoter: Promoter
    members: MemberControl
    calls: OutstandingCalls
    resumptions: Resumptions


class PrimaryChange:
    """Replaces the primary of one group.

    Args:
        services: What the change uses.
        name: Name of the group.
        group: The group.
        reason: Why the primary is replaced, None when the claim of another instance is taken over.
    """

    def __init__(
        self,
        services: ChangeServices,
        name: str,
        group: Group,
        reason: ReplacementReason | None,
    ) -> None:
        self._control = services.control
        self._peers = services.peers
        self._announcement_handler = services.announcement_handler
        self._claims = services.claims
        self._promoter = services.promoter
        self._members = services.members
        self._calls = services.calls
        self._resumptions = services.resumptions
        self._name = name
        self._group = group
        self._candidates = CandidateChoice(name, group, services.members)
        self._reason = reason
        # Whether the replaced primary keeps running during the change.
        self._planned = reason is ReplacementReason.LEAVING
        # Whether a call of a former claimant may still promote the candidate.
        self._called_before = False

    async def run(self) -> None:
        """Makes the change, or logs why it failed."""
        known = self._control.leadership(self._name)
        claimed = known if known and known.phase is LeadershipPhase.CLAIMED else None
        replaced_id = claimed.primary if claimed else self._group.primary_id
        replaced_pool = self._group.pool(replaced_id or "")
        replaced = self._group.voter(replaced_id)
        log_event(
            Event.REPLACEMENT_STARTED,
            group=self._name,
            reason=self._reason.name.lower() if self._reason else "taken over",
            primary=replaced_id,
            unreachable_ms=(
                int(replaced_pool.health.failed_for_s * 1000) if replaced_pool else None
            ),
            lapsed=[record.id for record in self._group.lapsed],
        )
        outstanding = claimed is not None and self._calls.may_take_effect(self._name, claimed)
        if claimed is not None:
            self._planned = claimed.planned
        candidate = await self._candidates.choose(
            replaced_id, replaced, claimed, planned=self._planned, outstanding=outstanding
        )
        if candidate is None:
            self._log_failure("no replica may be promoted")
            if claimed is not None and not outstanding:
                await self._resume_replicas(claimed)
            return
        if claimed is not None:
            self._planned = self._continues_planned(claimed, candidate)
            self._called_before = outstanding and candidate.id == claimed.candidate
        try:
            claim = await self._claim_safe_candidate(candidate, replaced_id, replaced)
            if claim is None:
                self._log_failure("no replica may be promoted")
                return
            claim = await self._claims.mark_called(claim)
            if not await self._call_for_promotion(claim):
                return
            await self._complete(claim, replaced)
        except (ClaimSuperseded, ConditionFailed, StoreUnavailable) as error:
            self._log_failure(str(error) or "superseded")

    async def _claim_safe_candidate(
        self, candidate: MemberRecord, replaced: str | None, replaced_record: MemberRecord | None
    ) -> Claim | None:
        """Claims the change, and waits until no instance uses the replaced primary any more.

        Until then further commits may be acknowledged because another replica received them. With
        synchronous replicas, the members are therefore asked again, and a better candidate is
        claimed instead. A former claimant that has called for the promotion had asked them, and
        nothing that members received since then was acknowledged.
        """
        for _ in range(CANDIDATE_ATTEMPTS):
            claim = await self._claims.claim(
                self._name, candidate.id, planned=self._planned, called=self._called_before
            )
            await self._wait_for_confirmations(claim)
            if (
                self._called_before
                or not self._group.service.synchronous_replicas
                or await self._candidates.has_longest_log(
                    candidate, replaced, replaced_record, planned=self._planned
                )
            ):
                return claim
            better = await self._candidates.choose(
                replaced, replaced_record, None, planned=self._planned
            )
            if better is None:
                break
            candidate = better
        await self._resume_replicas(claim.leadership)
        return None

    async def _resume_replicas(self, claimed: Leadership) -> None:
        """Lets replicas receive again that a claim which cannot be completed has suspended.

        Suspended ones never receive the commits that they lack. The claim must be this instance's
        own, as the suspension protects the promotion that a claimant may be about to call for.

        Args:
            claimed: The claim, which may be an abandoned one of another instance.
        """
        suspended = self._candidates.suspended
        if not suspended or claimed != self._control.leadership(self._name):
            return
        try:
            if claimed.claimant != self._control.name and claimed.candidate is not None:
                await self._claims.claim(self._name, claimed.candidate, planned=claimed.planned)
        except (ClaimSuperseded, ConditionFailed, StoreUnavailable) as error:
            self._log_failure(str(error) or "superseded")
            return
        await self._members.resume(list(suspended))
        log_event(Event.MEMBERS_RESUMED, group=self._name, members=[one.id for one in suspended])

    def _continues_planned(self, claimed: Leadership, candidate: MemberRecord) -> bool:
        """Whether the primary stays in use while an unfinished planned change is taken over.

        The candidate tells whether it still is a replica. Another candidate would not know of a
        promotion of the former one.
        """
        primary = self._group.pool(claimed.primary or "")
        same_candidate = candidate.id == claimed.candidate
        return (
            claimed.planned and same_candidate and primary is not None and primary.health.available
        )

    async def _wait_for_confirmations(self, claim: Claim) -> None:
        """Waits until no instance uses the replaced primary any more.

        An instance that does not confirm the claim may hold a lease from before the claim, or a
        quorum lease from members that did not follow the new term yet. So may one that others have
        deregistered. Both leases have expired once the lease duration has passed since the claim
        and since enough members were suspended. An instance that was cut off before this one
        registered may go on renewing its lease without it for `FLEET_VIEW_MAX_AGE_S` from then on.

        If an instance is known to be missing from the start, the members are suspended while the
        claim is announced, so that both waits overlap. In a planned change the primary is not cut
        off from its replicas until the instances had time to finish statements there.

        Raises:
            ClaimSuperseded: An instance did not confirm, and too few members answer to rule out a
                quorum lease.
        """
        peers = self._control.peers.keys()
        suspension: asyncio.Task[float] | None = None
        missing = len(self._peers.reachable) < len(self._peers.watched)
        certain = self._control.registrations_certain
        if (missing or self._control.fleet.deregistered or not certain) and not self._planned:
            suspension = asyncio.create_task(self._suspend_replicas(claim))
        try:
            confirmed, complete = await asyncio.gather(
                self._announce_claim(claim), self._read_registrations()
            )
            known = peers | self._control.peers.keys() | self._control.fleet.deregistered.keys()
            unconfirmed = known - confirmed
            if complete and certain and not unconfirmed:
                return
            log_event(
                Event.CLAIM_UNCONFIRMED,
                group=self._name,
                missing=sorted(unconfirmed),
                registrations_known=complete and certain,
            )
            suspended_at = await (suspension or self._suspend_replicas(claim))
        finally:
            if suspension is not None:
                suspension.cancel()
        expiry_at = max(
            claim.claimed_at + LEASE_DURATION_S,
            suspended_at + LEASE_DURATION_S,
            self._control.fleet.registered_since + FLEET_VIEW_MAX_AGE_S,
        )
        await asyncio.sleep(max(expiry_at + EXPIRY_MARGIN_S - self._control.lease.now, 0.0))

    async def _read_registrations(self) -> bool:
        """Learns of all instances that registered before the claim; whether the store answered.

        One that registers later reads the claim before it uses a primary.
        """
        try:
            await self._control.feed.poll()
        except StoreUnavailable:
            return False  # the feed logs that the store does not answer
        return True

    async def _announce_claim(self, claim: Claim) -> set[str]:
        """Announces a claim to all instances; gives the names of the peers that confirmed it."""
        version = self._control.records.version(group_row(self._name).key)
        message = AnnounceLeadership(
            self._name, claim.leadership, version=number_of(version), era=era_of(version)
        )
        confirmed, _ = await asyncio.gather(
            self._peers.announce(message, timeout=LEASE_DURATION_S),
            self._announcement_handler.adopt(message),
        )
        return confirmed

    async def _suspend_replicas(self, claim: Claim) -> float:
        """Suspends the replicas at a new term, so that no majority confirms the old primary.

        Returns:
            Time in seconds, by the lease's clock, at which enough replicas had confirmed.

        Raises:
            ClaimSuperseded: Too few replicas answer.
        """
        voters = self._group.voters
        unavailable = {one.record.id for one in self._group.pools if not one.health.available}
        reports = await self._members.reports([one for one in voters if one.id not in unavailable])
        known = [report.newest_term for report in reports.values() if report is not None]
        term = max([self._group.samples.term, *known]) + 1
        replica_records = [
            record
            for record in voters
            if (report := reports.get(record.id)) is not None and report.role is MemberRole.REPLICA
        ]
        suspended = await self._members.suspend(replica_records, term)
        log_event(Event.MEMBERS_SUSPENDED, group=claim.group, term=term, members=sorted(suspended))
        blocked = suspended | self._promoted_already(claim, reports)
        if not blocks_old_quorum(blocked, voters):
            raise ClaimSuperseded("an instance is missing and too few members answer")
        return self._control.lease.now

    @staticmethod
    def _promoted_already(claim: Claim, reports: Mapping[str, MemberReport]) -> set[str]:
        """The candidate if an earlier call has promoted it: it holds the newest term itself."""
        candidate = claim.leadership.candidate or ""
        report = reports.get(candidate)
        if report is None or report.role is not MemberRole.PRIMARY:
            return set()
        newest = max(one.newest_term for one in reports.values())
        return {candidate} if report.term >= newest else set()

    async def _call_for_promotion(self, claim: Claim) -> bool:
        """Calls for the promotion of the candidate.

        Returns:
            Whether the call was accepted; False if the candidate does not run.

        Raises:
            ClaimSuperseded: Another instance has taken over the claim.
        """
        candidate = claim.leadership.candidate or ""
        unanswered = self._called_before
        for _ in range(PROMOTION_ATTEMPTS):
            self._claims.raise_if_superseded(claim)
            if unanswered and await self._leads(candidate):
                return True  # a former call has taken effect
            if self._control.lease.now - claim.called_at > LAST_RETRY_AFTER_S:
                break
            try:
                accepted = await self._promoter.promote(
                    self._name, candidate, holder=self._control.name, token=claim.token
                )
            except StoreUnavailable as error:
                unanswered = True
                self._control.note_promotion_call(answered=False)
                self._log_failure(error.message)
                await asyncio.sleep(PROMOTION_RETRY_DELAY_S)
                continue
            self._control.note_promotion_call(answered=True)
            if not unanswered:
                self._calls.settle(self._name, claim.leadership)
            if not accepted:
                self._log_failure("the candidate is not running")
            return accepted
        return False

    async def _leads(self, candidate: str) -> bool:
        """Whether the candidate reports that it is the primary."""
        record = self._group.voter(candidate)
        report = await self._members.report(record) if record is not None else None
        return report is not None and report.role is MemberRole.PRIMARY

    async def _complete(self, claim: Claim, replaced: MemberRecord | None) -> None:
        """Waits until the candidate is the primary, then announces and stores the stable record.

        Raises:
            ClaimSuperseded: Another instance has taken over the claim.
        """
        candidate = claim.leadership.candidate or ""
        term = await self._wait_until_primary(candidate)
        self._claims.raise_if_superseded(claim)
        if term is None:
            self._log_failure("the candidate did not become the primary in time")
            return
        stable = replace(
            claim.leadership,
            phase=LeadershipPhase.STABLE,
            primary=candidate,
            candidate=None,
            called=False,
        )
        self._control.adopt_leadership(self._name, stable)
        log_event(
            Event.PRIMARY_PROMOTED,
            group=self._name,
            member=candidate,
            term=term,
            seconds=round(self._control.lease.now - claim.claimed_at, 3),
        )
        announcement = AnnounceLeadership(self._name, stable, version=0)
        others = [record for record in self._group.voters if record.id != candidate]
        await asyncio.gather(
            self._peers.announce(announcement, timeout=LEASE_DURATION_S),
            self._demote(replaced, term),
            self._resume(others, stable),
            self._claims.store_stable(claim.group, stable),
        )

    async def _resume(self, others: list[MemberRecord], stable: Leadership) -> None:
        resumed = await self._members.resume(others)
        self._resumptions.add(self._name, stable, {one.id for one in others} - resumed)

    async def _wait_until_primary(self, candidate: str) -> int | None:
        """Polls the candidate until it is the primary; gives its term, None after a timeout."""
        loop = asyncio.get_running_loop()
        end = loop.time() + PROMOTION_TIMEOUT_S
        while loop.time() < end:
            record = self._group.voter(candidate)
            if record is None:
                return None
            # Only with synchronous replicas, a member that is slow to answer becomes a candidate.
            synchronous = self._group.service.synchronous_replicas > 0
            report = await self._members.report(
                record, timeout=BUSY_REPORT_TIMEOUT_S if synchronous else CALL_TIMEOUT_S
            )
            if report is not None and report.role is MemberRole.PRIMARY:
                return report.term
            await asyncio.sleep(PROMOTION_POLL_S)
        return None

    async def _demote(self, replaced: MemberRecord | None, term: int) -> None:
        if replaced is None:
            return
        confirmed = await self._members.demote(replaced, term)
        log_event(Event.PRIMARY_DEMOTED, member=replaced.id, term=term, confirmed=confirmed)

    def _log_failure(self, reason: str) -> None:
        log_event(Event.PROMOTION_FAILED, group=self._name, reason=reason)
