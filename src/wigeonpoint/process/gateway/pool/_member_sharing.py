"""Decides whether a member's connections are shared directly or by relays, and which ones relay.

This is for fleets in which each instance's share of a member's connection limit is too small:
dozens of instances in front of members that take a few dozen connections.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping

from wigeonpoint.process.gateway.pool._connection_quota import largest_use
from wigeonpoint.version.catalogue import MemberRecord, RegisteredInstance

MAX_RELAYS = 4  # of a member
FURTHER_RELAYS = 4  # of a member, in place of those that do not answer
# Of a member's connection limit, for all instances together. The rest is for instances that restart
# while the member still counts their previous connections.
USABLE_FRACTION = 0.9


def relay_count(limit: int) -> int:
    """Number of regular relays of a member.

    Args:
        limit: Connections that the member accepts.
    """
    counts = range(MAX_RELAYS, 1, -1)
    return next((count for count in counts if not _exceeds(count, limit // count, limit)), 1)


def _exceeds(instances: int, share: int, limit: int) -> bool:
    """Whether instances with a share each might hold too many of a member's connections."""
    return instances * largest_use(share, limit) > USABLE_FRACTION * limit


class MemberSharing:
    """How the registered instances share the connections of members.

    Args:
        own: Name of this instance.
        instances: Returns the registered instances by name.
    """

    def __init__(self, own: str, instances: Callable[[], Mapping[str, RegisteredInstance]]) -> None:
        self._own = own
        self._get_instances = instances
        self._settled = False
        self._ranked_for: Mapping[str, RegisteredInstance] = {}
        self._ranked: dict[str, list[str]] = {}

    @property
    def settled(self) -> bool:
        """Whether the instances are known well enough to open connections ahead of demand."""
        return self._settled

    def settle(self) -> None:
        """Notes that the instances that start together with this one have registered."""
        self._settled = True

    def relayed(self, limit: int) -> bool:
        """Whether members are reached through relays.

        Args:
            limit: Connections that a member accepts.
        """
        count = len(self._get_instances())
        share = limit // max(count, 1)
        return _exceeds(count, share, limit)

    def share(self, limit: int) -> int:
        """Connections to a member that an instance may use for itself.

        Connections through relays cost the member nothing, so that they are not divided.
        """
        if self.relayed(limit):
            return limit
        return max(limit // max(len(self._get_instances()), 1), 1)

    def relay_share(self, limit: int) -> int:
        """Connections to a member that one of its relays may use."""
        return max(limit // relay_count(limit), 1)

    def is_relay(self, record: MemberRecord, limit: int) -> bool:
        """Whether this instance is one of a member's regular relays."""
        return self._own in self._rank(record)[: relay_count(limit)]

    def relays(self, record: MemberRecord, limit: int, customer: str = "") -> list[str]:
        """Addresses of a member's relays, in the order in which this instance should use them.

        The regular relays come first, then those that replace them. A customer's statements go to
        the same regular relay from all instances, so that few connections need to name it. Without
        a customer, this instance comes before the others, and instances that are no relays begin at
        different ones.

        Args:
            record: The member.
            limit: Connections that the member accepts.
            customer: Name of the statement's customer, empty for none.
        """
        ranked = self._rank(record)
        regular = ranked[: relay_count(limit)]
        further = ranked[len(regular) : len(regular) + FURTHER_RELAYS]
        instances = self._get_instances()
        ordered = [*self._order(regular, record, customer), *further]
        return [instances[name].address for name in ordered if name in instances]

    def _order(self, regular: list[str], record: MemberRecord, customer: str) -> list[str]:
        """Regular relays in the order in which a customer's statements should use them."""
        if customer:
            return customer_order(record.id, customer, regular)
        if self._own in regular:
            start = regular.index(self._own)
        else:
            start = _score(record.id, self._own) % max(len(regular), 1)
        return [*regular[start:], *regular[:start]]

    def _rank(self, record: MemberRecord) -> list[str]:
        """Names of all instances in rendezvous order, those of the member's data centre first."""
        instances = self._get_instances()
        if instances is not self._ranked_for:
            self._ranked_for = instances
            self._ranked = {}
        ranked = self._ranked.get(record.id)
        if ranked is None:
            ranked = self._ranked[record.id] = sorted(
                instances,
                key=lambda name: (
                    instances[name].data_centre != record.data_centre,
                    _score(record.id, name),
                ),
            )
        return ranked


def customer_order(member_id: str, customer: str, relays: list[str]) -> list[str]:
    """Relays of a member in the order in which a customer's statements use them.

    Args:
        member_id: The member.
        customer: Name of the customer.
        relays: Names of the member's regular relays.
    """
    return sorted(relays, key=lambda name: _score(f"{member_id}/{customer}", name))


def _score(subject: str, instance: str) -> int:
    """Position of an instance in the rendezvous order of a subject."""
    digest = hashlib.blake2b(f"{subject}/{instance}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)
