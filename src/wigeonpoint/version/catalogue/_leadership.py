"""Stored records of each group's primary, of the coordinator and of the instances."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


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
    """

    epoch: int
    phase: LeadershipPhase
    primary: str | None
    claimant: str
    candidate: str | None = None
    planned: bool = False


@dataclass(frozen=True, slots=True)
class CoordinatorRecord:
    """The stored record of the coordinator, the one instance that may call for promotions.

    Attributes:
        holder: Name of the coordinator.
        token: Fencing token; every change of holder raises it.
    """

    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class RegisteredInstance:
    """Registration of an instance.

    Attributes:
        address: `host:port` at which other instances reach it.
        data_centre: Its data centre.
    """

    address: str
    data_centre: str
