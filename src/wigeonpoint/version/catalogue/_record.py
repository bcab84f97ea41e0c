"""The entry of one member of a database group."""

from __future__ import annotations

from dataclasses import dataclass

from wigeonpoint.backend import MemberRole


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member of a database group.

    Attributes:
        id: Unique id; other members may reuse the address, but not the id.
        service: Name of the database group.
        address: `host:port`.
        data_centre: Data centre in which it runs.
        leaving: Whether it has announced that it will stop.
        role: Role that it reports, None if it reports none.
        slots: Statements that it runs at the same time.
        warm_up_s: Seconds for which it stays slow after its start.
        born_ms: Unix milliseconds of its start; a restart under the same id keeps no state.
    """

    id: str
    service: str
    address: str
    data_centre: str
    leaving: bool = False
    role: MemberRole | None = None
    slots: int = 1
    warm_up_s: float = 0.0
    born_ms: int = 0
