"""Stored records of each group's primary, of the coordinator and of the instances."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

TOKENS_PER_ERA = 1_000_000  # more than coordinators change between two restores of the store


class LeadershipPhase(StrEnum):
    """Progress of a group's change of primary."""

    STABLE = "stable"
    CLAIMED = "claimed"  # no instance may use any primary of the group


@dataclass(frozen=True, slots=True)
class Leadership:
    """The stored record of one group's primary.

    Attributes:
        epoch: Number of the change of primary; each claim raises it.
        phase: Progress of the change.
        primary: Id of the primary; while claimed, that of the replaced one.
        claimant: Instance that claimed the change.
        candidate: Member to be promoted, None until it is chosen.
        planned: Whether the replaced primary is leaving, and therefore still runs.
        era: Era of the store in which the change was claimed. A store that is restored from an
            older copy gives epochs out again, so the era orders records before the epoch does.
        called: Whether the promotion of the candidate may have been called for.
    """

    epoch: int
    phase: LeadershipPhase
    primary: str | None
    claimant: str
    candidate: str | None = None
    planned: bool = False
    era: int = 0
    called: bool = False

    @property
    def precedence(self) -> tuple[int, int, bool, bool]:
        """Sorts the records of a group; the highest is in force."""
        return self.era, self.epoch, self.phase is LeadershipPhase.STABLE, self.called


@dataclass(frozen=True, slots=True)
class CoordinatorRecord:
    """The stored record of the coordinator, the one instance that may call for promotions.

    Attributes:
        holder: Name of the coordinator.
        token: Fencing token; every change of holder raises it, and so does every restore of the
            store, after which changes of holder may have been forgotten.
    """

    holder: str
    token: int

    def held_by(self, instance: str, era: int) -> bool:
        """Whether an instance holds the record since a time in this era of the store."""
        return self.holder == instance and self.token > era * TOKENS_PER_ERA


def next_coordinator(
    current: CoordinatorRecord | None, instance: str, era: int
) -> CoordinatorRecord:
    """The record by which an instance becomes coordinator.

    Args:
        current: The present record, None before the first claim.
        instance: Name of the instance.
        era: Era of the store.
    """
    known = current.token if current is not None else 0
    return CoordinatorRecord(instance, max(known, era * TOKENS_PER_ERA) + 1)


@dataclass(frozen=True, slots=True)
class QuotaAllocatorRecord:
    """The stored record of the allocator, the one instance that divides the customers' quotas.

    Attributes:
        holder: Name of the instance.
        process: Identifier of its process, as an allocator keeps its state in memory only.
        term: Number of the claim; each claim raises it.
        era: Era of the store in which it was claimed.
        complete: Whether the allocator has known of all allowances since; it stays so.
    """

    holder: str
    process: str
    term: int
    era: int = 0
    complete: bool = False

    @property
    def precedence(self) -> tuple[int, int]:
        """Sorts the records; the highest is in force."""
        return self.era, self.term


@dataclass(frozen=True, slots=True)
class RegisteredInstance:
    """Registration of an instance.

    Attributes:
        address: `host:port` at which other instances reach it.
        data_centre: Its data centre.
        deregistered: Whether another instance has deregistered it, as nobody reached it. It may
            still run, and claims have to outlast its quorum leases.
    """

    address: str
    data_centre: str
    deregistered: bool = False
