"""Who leads a group, as the store records it, and who may promote."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class LeadershipPhase(StrEnum):
    """How far a change of primary has come."""

    STABLE = "stable"
    CLAIMED = "claimed"  # no instance may use any primary of the group


@dataclass(frozen=True, slots=True)
class Leadership:
    """The record of one group.

    Attributes:
        epoch: Number of the change of primary; each claim raises it.
        phase: How far the change has come.
        primary: Id of the primary; while claimed, that of the replaced one.
        claimant: Instance that claimed the change.
        candidate: Member that is to be promoted, None until it is chosen.
        planned: Whether the replaced primary was leaving, so that it still runs.
    """

    epoch: int
    phase: LeadershipPhase
    primary: str | None
    claimant: str
    candidate: str | None = None
    planned: bool = False


@dataclass(frozen=True, slots=True)
class CoordinatorRecord:
    """Who may call for promotions.

    Attributes:
        holder: Name of the instance.
        token: Fencing token; it grows with every change of holder.
    """

    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class RegisteredInstance:
    """An instance as it registers itself.

    Attributes:
        address: `host:port` for other instances.
        data_centre: Its data centre.
    """

    address: str
    data_centre: str
