"""The instances of the fleet, as their registrations in the store tell."""

from __future__ import annotations

from collections.abc import Mapping

from wigeonpoint.process.gateway.control._lease import LEASE_DURATION_S
from wigeonpoint.version.catalogue import RegisteredInstance

# A running instance that reaches the store has registered again by then, and the lease of one that
# does not has expired.
UNLISTED_GRACE_S = 5 * LEASE_DURATION_S


class RegisteredFleet:
    """The registered instances, and those whose registrations the store lost a short time ago.

    A store that is restored from an older copy forgets instances that run on. Claimants must still
    wait for them.

    Args:
        own: Name of this instance.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._era = 0
        self._listed: dict[str, RegisteredInstance] = {}
        self._unlisted: dict[str, RegisteredInstance] = {}
        self._unlisted_until = float("-inf")
        self._deregistered: dict[str, RegisteredInstance] = {}
        self._forgotten: dict[str, RegisteredInstance] = {}
        self._instances: dict[str, RegisteredInstance] = {}
        self._peers: dict[str, RegisteredInstance] = {}

    @property
    def listed(self) -> dict[str, RegisteredInstance]:
        """Instances by name whose registrations the store holds."""
        return self._listed

    @property
    def unlisted(self) -> Mapping[str, RegisteredInstance]:
        """Instances by name whose registrations were lost, until `UNLISTED_GRACE_S` later."""
        return self._unlisted

    @property
    def deregistered(self) -> Mapping[str, RegisteredInstance]:
        """Instances by name that others have deregistered; they may still run."""
        return self._deregistered | self._forgotten

    @property
    def forgotten(self) -> Mapping[str, RegisteredInstance]:
        """Instances by name of which a restored store knows nothing; they may still run."""
        return self._forgotten

    @property
    def instances(self) -> dict[str, RegisteredInstance]:
        """Instances by name, this one and unlisted ones included; replaced by each change."""
        return self._instances

    @property
    def peers(self) -> dict[str, RegisteredInstance]:
        """Instances by name, without this one."""
        return self._peers

    def leave(self) -> None:
        """Removes this instance."""
        self._listed = {name: one for name, one in self._listed.items() if name != self._own}
        self._unlisted.pop(self._own, None)
        self._set_instances(self._peers)

    def update(
        self, rows: Mapping[str, RegisteredInstance], *, era: int, now: float
    ) -> frozenset[str]:
        """Replaces the listed instances.

        Args:
            rows: Instances by name, as the store lists them, deregistered ones included.
            era: Era of the store.
            now: Time in seconds.

        Returns:
            Names of the instances that are gone.
        """
        listed = {name: one for name, one in rows.items() if not one.deregistered}
        self._deregistered = {name: one for name, one in rows.items() if one.deregistered}
        if era > self._era:
            self._era = era
            self._unlisted |= self._listed
            self._unlisted_until = now + UNLISTED_GRACE_S
        self._listed = listed
        self._forgotten = {name: one for name, one in self._forgotten.items() if name not in rows}
        unlisted = {name: one for name, one in self._unlisted.items() if name not in rows}
        if now >= self._unlisted_until:
            self._forgotten |= unlisted
            unlisted = {}
        self._unlisted = unlisted
        gone = frozenset(self._instances.keys() - listed.keys() - self._unlisted.keys())
        self._set_instances(self._unlisted | listed)
        return gone

    def _set_instances(self, instances: dict[str, RegisteredInstance]) -> None:
        if instances == self._instances:
            return
        self._instances = instances
        self._peers = {name: peer for name, peer in instances.items() if name != self._own}
