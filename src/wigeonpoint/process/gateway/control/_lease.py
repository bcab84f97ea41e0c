"""The lease of an instance: its time-limited right to use primaries.

A valid lease means that no other instance can have completed a change of primary that is unknown
here. A claimant writes its claim to the store, and calls for the promotion only when every instance
has confirmed the claim or when `LEASE_DURATION_S` has passed since. An instance uses primaries only
while its lease is younger than that. Three things renew the lease: the store answered with the
newest control rows; a peer told how recently it had such an answer; or every known instance
answered a ping and so has no claim of its own that is unknown here. An instance that is not known
here registered after the latest store read. Answers of peers therefore renew the lease only until
that read is `FLEET_VIEW_MAX_AGE_S` old, and a claimant that lacks a confirmation waits until it has
been registered for that long. Ages are measured by a clock that also counts the time for which the
machine was suspended.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from wigeonpoint.process.gateway._suspension import Clock

LEASE_DURATION_S = 0.6
# Long enough for a slow store; each second of it can delay a change of primary behind a partition.
FLEET_VIEW_MAX_AGE_S = 3.0


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """The last answer of a peer.

    Attributes:
        asked_at: Time in seconds at which the peer was asked.
        store_read_at: Latest store read that the peer knew of, as a time in seconds that is not
            after the real one; None if it knew of no recent one.
    """

    asked_at: float
    store_read_at: float | None


class Lease:
    """The lease of one instance.

    Args:
        clock: Gives seconds; it must also count the time for which the machine is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._store_read_at = float("-inf")
        self._answers: dict[str, PeerAnswer] = {}

    @property
    def now(self) -> float:
        """Time in seconds."""
        return self._clock()

    def note_store_read(self, asked_at: float) -> None:
        """Records that the store answered with the newest control rows.

        Args:
            asked_at: Time in seconds at which the store was asked.
        """
        self._store_read_at = max(self._store_read_at, asked_at)

    def note_peer_answer(
        self, peer: str, *, asked_at: float, store_read_age_s: float | None
    ) -> None:
        """Records the answer of a peer.

        Args:
            peer: Name of the peer.
            asked_at: Time in seconds at which the peer was asked.
            store_read_age_s: Seconds since the latest store read that the peer knew of when it
                answered, None if it knew of no recent one.
        """
        read_at = None if store_read_age_s is None else asked_at - store_read_age_s
        self._answers[peer] = PeerAnswer(asked_at, read_at)

    def forget_peer(self, peer: str) -> None:
        """Forgets the last answer of a peer."""
        self._answers.pop(peer, None)

    def store_read_at(self) -> float:
        """Time of the latest store read, by this instance or by a peer."""
        peer_reads = [
            answer.store_read_at
            for answer in self._answers.values()
            if answer.store_read_at is not None
        ]
        return max([self._store_read_at, *peer_reads])

    @property
    def own_store_read_age_s(self) -> float:
        """Seconds since this instance itself last read the store."""
        return self._clock() - self._store_read_at

    def store_read_age_s(self) -> float:
        """Seconds since the latest store read, by this instance or by a peer."""
        return self._clock() - self.store_read_at()

    def reachable(self, peers: Collection[str]) -> list[str]:
        """Peers that answered a ping sent within the last `LEASE_DURATION_S`."""
        oldest = self._clock() - LEASE_DURATION_S
        return [
            peer
            for peer in peers
            if peer in self._answers and self._answers[peer].asked_at > oldest
        ]

    def age_s(self, peers: Collection[str]) -> float:
        """Seconds since the lease was last renewed by the store, a peer's store read or all peers.

        Args:
            peers: All registered instances but this one.
        """
        renewed_at = self.store_read_at()
        answers = [self._answers.get(peer) for peer in peers]
        if all(answer is not None for answer in answers):
            asked = [answer.asked_at for answer in answers if answer is not None]
            renewed_at = max(renewed_at, min(asked, default=self._clock()))
        return self._clock() - renewed_at

    def remaining_s(self, peers: Collection[str]) -> float:
        """Seconds until the lease expires, negative if it has expired.

        Args:
            peers: All registered instances but this one.
        """
        store_read_age_s = self.store_read_age_s()
        by_store_s = LEASE_DURATION_S - store_read_age_s
        by_peers_s = min(
            LEASE_DURATION_S - self.age_s(peers), FLEET_VIEW_MAX_AGE_S - store_read_age_s
        )
        return max(by_store_s, by_peers_s)

    def is_valid(self, peers: Collection[str]) -> bool:
        """Whether the lease is valid, so that primaries may be used."""
        if self.store_read_age_s() < LEASE_DURATION_S:
            return True
        return self.remaining_s(peers) > 0
