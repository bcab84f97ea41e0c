"""Evidence that nobody has claimed a change of primary that this instance does not know of.

A claimant records its claim in the store and calls for the promotion only when every instance has
confirmed the claim, or when `LEASE_DURATION_S` has passed since. An instance uses primaries only
while its evidence is younger than that. It has evidence from three sources: the store answered with
the newest control rows; a peer had such evidence; or every registered instance said that it holds
no claim of its own that is unknown here. Ages are measured by a clock that also counts the time
for which the machine was suspended.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

LEASE_DURATION_S = 0.6
Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class PeerContact:
    """The last answered question to a peer.

    Attributes:
        asked_at: Time in seconds at which the question was sent.
        store_read_at: Time in seconds at which the peer's own evidence was made, not later
            than the answer; None without any.
    """

    asked_at: float
    store_read_at: float | None


class Lease:
    """Evidence of one instance.

    Args:
        clock: Gives seconds; it must not stand still while the machine is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._store_at = float("-inf")
        self._contacts: dict[str, PeerContact] = {}

    @property
    def now(self) -> float:
        """Time in seconds."""
        return self._clock()

    def note_store_read(self, asked_at: float) -> None:
        """Records that the store answered with the newest control rows.

        Args:
            asked_at: Time in seconds at which the store was asked.
        """
        self._store_at = max(self._store_at, asked_at)

    def note_peer_answer(
        self, peer: str, *, asked_at: float, store_read_age_s: float | None
    ) -> None:
        """Records the answer of a peer.

        Args:
            peer: Name of the peer.
            asked_at: Time in seconds at which the peer was asked.
            store_read_age_s: Age of the peer's evidence from the store when it answered.
        """
        made_at = None if store_read_age_s is None else asked_at - store_read_age_s
        self._contacts[peer] = PeerContact(asked_at, made_at)

    def forget_peer(self, peer: str) -> None:
        """Drops what a peer said."""
        self._contacts.pop(peer, None)

    def store_read_at(self) -> float:
        """Time of the newest evidence that goes back to the store, own or of a peer."""
        heard = [
            contact.store_read_at
            for contact in self._contacts.values()
            if contact.store_read_at is not None
        ]
        return max([self._store_at, *heard])

    def store_read_age_s(self) -> float:
        """Age of the newest evidence that goes back to the store."""
        return self._clock() - self.store_read_at()

    def reachable(self, peers: Collection[str]) -> list[str]:
        """Peers that answered a question sent within the life of evidence."""
        oldest = self._clock() - LEASE_DURATION_S
        return [
            peer
            for peer in peers
            if peer in self._contacts and self._contacts[peer].asked_at > oldest
        ]

    def age_s(self, peers: Collection[str]) -> float:
        """Age of the newest evidence from any source.

        Args:
            peers: All registered instances but this one.
        """
        newest = self.store_read_at()
        contacts = [self._contacts.get(peer) for peer in peers]
        if all(contact is not None for contact in contacts):
            asked = [contact.asked_at for contact in contacts if contact is not None]
            newest = max(newest, min(asked, default=self._clock()))
        return self._clock() - newest

    def is_valid(self, peers: Collection[str]) -> bool:
        """Whether primaries may be used."""
        return self.age_s(peers) < LEASE_DURATION_S
