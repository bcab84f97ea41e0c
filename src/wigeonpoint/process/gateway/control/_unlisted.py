"""Instances whose registrations were lost when the store was restored from an older copy."""

from __future__ import annotations

from collections.abc import Mapping

from wigeonpoint.process.gateway.control._lease import LEASE_DURATION_S
from wigeonpoint.version.catalogue import RegisteredInstance

# A running instance that reaches the store has registered again by then, and the lease of one that
# does not has expired.
UNLISTED_GRACE_S = 5 * LEASE_DURATION_S


class UnlistedInstances:
    """Remembers lost registrations, so that claimants still wait for those instances."""

    def __init__(self) -> None:
        self._era = 0
        self._until = float("-inf")
        self._instances: dict[str, RegisteredInstance] = {}

    def note(
        self,
        listed: Mapping[str, RegisteredInstance],
        known: Mapping[str, RegisteredInstance],
        *,
        era: int,
        now: float,
    ) -> bool:
        """Compares the registrations that the store holds with those that were known.

        Args:
            listed: Registered instances by name, as the store holds them.
            known: Those that were known before.
            era: Era of the store.
            now: Time in seconds.

        Returns:
            Whether registrations were found to be lost.
        """
        restored = era > self._era
        self._era = max(era, self._era)
        self._instances = {n: one for n, one in self._instances.items() if n not in listed}
        lost = {name: one for name, one in known.items() if name not in listed}
        if not restored or not lost:
            return False
        self._instances |= lost
        self._until = now + UNLISTED_GRACE_S
        return True

    def instances(self, now: float) -> dict[str, RegisteredInstance]:
        """The instances that may still run, by name."""
        return dict(self._instances) if now < self._until else {}
