"""Deregisters instances that nobody reaches, and removes the records of long lost ones."""

from __future__ import annotations

from wigeonpoint.process.gateway.control._control_state import DEREGISTERED_KEPT_S, ControlState
from wigeonpoint.process.gateway.control._peers import GatewayPeers

WRITE_INTERVAL_S = 1.0  # between two attempts for the same instance
DEREGISTER_AFTER_S = 8.0  # an instance that restarts or is briefly cut off returns sooner


class LostInstances:
    """Deregisters lost instances while this instance is the coordinator.

    Claims wait for all registered instances, and changes of primary take longer while one is lost.

    Args:
        control: Control state of this instance.
        peers: The other instances.
    """

    def __init__(self, control: ControlState, peers: GatewayPeers) -> None:
        self._control = control
        self._peers = peers
        self._unreachable_since: dict[str, float] = {}
        self._deregistered_since: dict[str, float] = {}
        self._write_again_at: dict[str, float] = {}

    def clear(self) -> None:
        """Forgets what has not been reached so far, as this instance is not the coordinator."""
        self._unreachable_since.clear()

    async def check(self) -> None:
        """Deregisters the instances that are due, and removes records that are no longer needed."""
        await self._deregister_lost()
        for name in self._control.fleet.forgotten:
            if self._may_write(name):
                await self._control.fleet.deregister_instance(name)
        await self._remove_old()

    async def _deregister_lost(self) -> None:
        """Deregisters instances lost for `DEREGISTER_AFTER_S` that no peer reaches either."""
        now = self._control.lease.now
        for name in list(self._control.peers):
            if name in self._control.lease.reachable([name]):
                self._unreachable_since.pop(name, None)
                continue
            since = self._unreachable_since.setdefault(name, now)
            if now - since >= DEREGISTER_AFTER_S and self._peers.unreachable_from_all_peers(name):
                self._unreachable_since.pop(name, None)
                await self._control.fleet.deregister_instance(name)

    async def _remove_old(self) -> None:
        """Removes records that this process has known for `DEREGISTERED_KEPT_S`."""
        now = self._control.lease.now
        deregistered = self._control.fleet.deregistered.keys()
        for name in self._deregistered_since.keys() - deregistered:
            del self._deregistered_since[name]
        for name in deregistered:
            since = self._deregistered_since.setdefault(name, now)
            if now - since >= DEREGISTERED_KEPT_S and self._may_write(name):
                await self._control.fleet.remove_instance(name)

    def _may_write(self, name: str) -> bool:
        """Whether the last write for an instance was long enough ago; notes a new one if so."""
        now = self._control.lease.now
        if now < self._write_again_at.get(name, now):
            return False
        self._write_again_at[name] = now + WRITE_INTERVAL_S
        return True
