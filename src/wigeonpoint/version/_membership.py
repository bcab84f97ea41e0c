"""Membership of the instances by SWIM: states, incarnations and the deltas still to be sent."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import blake2b

from wigeonpoint.version._servers import InstanceRecord

SUSPICION_S = 1.5
# Partitions between regions last for about an hour. Dead members stay known for longer, so that
# both sides still try each other afterwards without the platform's list.
DEAD_RETENTION_S = 7200.0
SENDS_FACTOR = 3  # a delta is sent this many times log2 of the members (SWIM, Das et al. 2002)
MAX_DELTAS = 10  # bounds a ping to about 1.5 KB


class MemberState(StrEnum):
    """State of a member; of two claims with equal incarnation, the later in this list wins."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


_PRECEDENCE = {state: index for index, state in enumerate(MemberState)}


@dataclass(frozen=True, slots=True)
class MemberDelta:
    """A claim about a member.

    Attributes:
        record: Id, address and data centre.
        state: Claimed state.
        incarnation: Raised only by the member itself, to refute a claim.
    """

    record: InstanceRecord
    state: MemberState
    incarnation: int

    def supersedes(self, known: MemberDelta) -> bool:
        """Whether this claim replaces a known one about the same member."""
        return (self.incarnation, _PRECEDENCE[self.state]) > (
            known.incarnation,
            _PRECEDENCE[known.state],
        )


class Membership:
    """Members as this instance knows them.

    Args:
        own: Record of this instance.
        on_change: Called when the set of live instances may have changed.
        on_dead: Called with the record of a member that has been declared dead.
    """

    def __init__(
        self,
        own: InstanceRecord,
        *,
        on_change: Callable[[], None] = lambda: None,
        on_dead: Callable[[InstanceRecord], None] = lambda record: None,
    ) -> None:
        self._own = own
        self._on_change = on_change
        self._on_dead = on_dead
        self._members = {own.id: MemberDelta(own, MemberState.LIVE, 0)}
        self._state_since: dict[str, float] = {}  # when a member became suspect or dead
        self._sends_left: dict[str, int] = {own.id: SENDS_FACTOR}
        self._digests: dict[str, int] = {own.data_centre: _fingerprint(self._members[own.id])}
        self._candidates: dict[str, InstanceRecord] = {}
        self._listed_leaving: dict[str, str] = {}  # id -> address
        self._data_centres: set[str] = set()
        self._refutations = 0

    @property
    def own(self) -> MemberDelta:
        """This instance's claim about itself."""
        return self._members[self._own.id]

    @property
    def refutations(self) -> int:
        """Number of claims about this instance that it has refuted."""
        return self._refutations

    @property
    def deltas(self) -> list[MemberDelta]:
        """The current claims about all members, dead ones included."""
        return list(self._members.values())

    @property
    def digests(self) -> dict[str, int]:
        """Digest of the members of each data centre, without dead members."""
        return dict(self._digests)

    @property
    def digest(self) -> int:
        """Digest of all members."""
        total = 0
        for digest in self._digests.values():
            total ^= digest
        return total

    @property
    def settled(self) -> bool:
        """Whether no delta waits to be sent."""
        return not self._sends_left

    def live(self) -> list[InstanceRecord]:
        """Instances that take statements: live or suspect, and not listed as leaving."""
        return [delta.record for delta in self._members.values() if self._takes_work(delta)]

    def get(self, member_id: str) -> MemberDelta | None:
        """The current claim about a member."""
        return self._members.get(member_id)

    def reachable(self, data_centre: str) -> list[MemberDelta]:
        """Other members of a data centre that are not dead."""
        return [delta for delta in self._others(data_centre) if delta.state is not MemberState.DEAD]

    def unresponsive(self, data_centre: str) -> list[InstanceRecord]:
        """Dead members and listed candidates of a data centre that have never answered."""
        dead = [d.record for d in self._others(data_centre) if d.state is MemberState.DEAD]
        return dead + [
            record
            for record in self._candidates.values()
            if record.data_centre == data_centre and self._is_unknown(record)
        ]

    def data_centres(self) -> list[str]:
        """Other data centres that have or had members or candidates."""
        return sorted(self._data_centres)

    def set_listed(self, live: Iterable[InstanceRecord], leaving: Iterable[InstanceRecord]) -> None:
        """Records the instances on the platform's list.

        A listed instance is only a candidate until it answers, and one that is missing from the
        list keeps the state that the protocol found. An instance counts as listed leaving at the
        listed address only, because a replacement may reuse the id.
        """
        self._candidates = {record.id: record for record in live if record.id != self._own.id}
        for record in self._candidates.values():
            self._note_data_centre(record.data_centre)
        listed_leaving = {record.id: record.address for record in leaving}
        if listed_leaving != self._listed_leaving:
            self._listed_leaving = listed_leaving
            self._on_change()

    def apply(self, delta: MemberDelta, now: float, *, source: str) -> bool:
        """Applies a claim received from a peer.

        Args:
            delta: The claim.
            now: Event-loop time in seconds.
            source: Data centre of the peer.

        Returns:
            False when the claim is not applied and the member should be told, so that it refutes:
            a peer of another data centre says that a member of this one is suspect or dead. Only
            the member's own data centre decides that, so that the two sides of a healed partition
            do not declare each other's members dead.
        """
        if delta.record.id == self._own.id:
            self._refute(delta)
            return True
        known = self._members.get(delta.record.id)
        if known is None:
            if delta.state is not MemberState.DEAD:
                self._set(delta, now)
            return True
        if not delta.supersedes(known):
            return True
        if delta.state in (MemberState.SUSPECT, MemberState.DEAD) and (
            source != self._own.data_centre == known.record.data_centre
            and known.state is not MemberState.DEAD
        ):
            return False
        self._set(delta, now)
        return True

    def suspect(self, member_id: str, now: float) -> None:
        """Records that a member answered neither direct nor indirect pings."""
        known = self._members.get(member_id)
        if known is None:
            return
        if known.state is MemberState.LIVE:
            self._set(replace(known, state=MemberState.SUSPECT), now)
        elif known.state is MemberState.LEAVING:
            self._set(replace(known, state=MemberState.DEAD), now)

    def expire(self, now: float) -> None:
        """Declares members dead that did not refute suspicion in time; forgets long dead ones."""
        for member_id, since in list(self._state_since.items()):
            known = self._members[member_id]
            if known.state is MemberState.SUSPECT and now - since >= SUSPICION_S:
                self._set(replace(known, state=MemberState.DEAD), now)
            elif known.state is MemberState.DEAD and now - since >= DEAD_RETENTION_S:
                del self._members[member_id], self._state_since[member_id]
                self._sends_left.pop(member_id, None)

    def restart_suspicions(self, now: float) -> None:
        """Restarts the time of all suspects after a pause in which no refutation could arrive."""
        for member_id in self._state_since:
            if self._members[member_id].state is MemberState.SUSPECT:
                self._state_since[member_id] = now

    def leave(self) -> None:
        """Announces that this instance is leaving."""
        self._claim_own(MemberState.LEAVING, self.own.incarnation + 1)

    def requeue_delta(self, member_id: str) -> None:
        """Queues the claim about a member again because a peer does not have it."""
        if member_id in self._members:
            self._sends_left[member_id] = self._send_count()

    def take_deltas(self, limit: int = MAX_DELTAS) -> list[MemberDelta]:
        """Takes the claims to send with the next message, the least often sent first."""
        if not self._sends_left:
            return []
        chosen = sorted(self._sends_left, key=lambda member: -self._sends_left[member])[:limit]
        for member_id in chosen:
            self._sends_left[member_id] -= 1
            if self._sends_left[member_id] <= 0:
                del self._sends_left[member_id]
        return [self._members[member_id] for member_id in chosen]

    def _others(self, data_centre: str) -> list[MemberDelta]:
        return [
            delta
            for delta in self._members.values()
            if delta.record.data_centre == data_centre and delta.record.id != self._own.id
        ]

    def _is_unknown(self, record: InstanceRecord) -> bool:
        known = self._members.get(record.id)
        # A replacement may be listed with a dead member's id and another address.
        return known is None or (
            known.state is MemberState.DEAD and known.record.address != record.address
        )

    def _takes_work(self, delta: MemberDelta) -> bool:
        if delta.state not in (MemberState.LIVE, MemberState.SUSPECT):
            return False
        return self._listed_leaving.get(delta.record.id) != delta.record.address

    def _refute(self, delta: MemberDelta) -> None:
        own = self.own
        if delta == own or delta.incarnation < own.incarnation:
            return
        self._refutations += 1
        self._claim_own(own.state, delta.incarnation + 1)

    def _claim_own(self, state: MemberState, incarnation: int) -> None:
        self._set(MemberDelta(self._own, state, incarnation), 0.0)

    def _set(self, delta: MemberDelta, now: float) -> None:
        member_id = delta.record.id
        known = self._members.get(member_id)
        if known is not None:
            self._toggle_digest(known)
        self._members[member_id] = delta
        self._note_data_centre(delta.record.data_centre)
        self._toggle_digest(delta)
        self._state_since.pop(member_id, None)
        if delta.state in (MemberState.SUSPECT, MemberState.DEAD):
            self._state_since[member_id] = now
        self._sends_left[member_id] = self._send_count()
        if known is None or _ownership_key(known) != _ownership_key(delta):
            self._on_change()
        if delta.state is MemberState.DEAD:
            self._on_dead(delta.record)

    def _note_data_centre(self, name: str) -> None:
        if name != self._own.data_centre:
            self._data_centres.add(name)

    def _toggle_digest(self, delta: MemberDelta) -> None:
        name = delta.record.data_centre
        self._digests[name] = self._digests.get(name, 0) ^ _fingerprint(delta)

    def _send_count(self) -> int:
        return SENDS_FACTOR * max(1, math.ceil(math.log2(len(self._members) + 1)))


def _ownership_key(delta: MemberDelta) -> tuple[InstanceRecord, bool]:
    return delta.record, delta.state in (MemberState.LIVE, MemberState.SUSPECT)


def _fingerprint(delta: MemberDelta) -> int:
    """Fingerprint of a claim; suspicion is left out because it ends by itself."""
    if delta.state is MemberState.DEAD:
        return 0
    leaving = delta.state is MemberState.LEAVING
    record = delta.record
    text = f"{record.id}\0{record.address}\0{delta.incarnation}\0{leaving}"
    return int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")
