"""What a member needs in order to serve a read, and where positions of primaries come from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from wigeonpoint.backend import LogPosition
from wigeonpoint.process.gateway._positions import PositionSample
from wigeonpoint.version.catalogue import MemberRecord


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """What a member needs in order to serve a read.

    Attributes:
        primary_only: Whether only the primary can serve it.
        position: Position that a replica must have applied.
    """

    primary_only: bool
    position: LogPosition | None = None


PRIMARY_ONLY = ReadRequirement(primary_only=True)


class SampleSource(Protocol):
    """Fetches positions of primaries from other instances."""

    async def fetch(self, primary: MemberRecord) -> PositionSample | None:
        """Fetches the newest position that another instance knows, None if there is none."""
        ...
