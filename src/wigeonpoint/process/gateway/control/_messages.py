"""Messages between gateways."""

from __future__ import annotations

from dataclasses import dataclass, field

from wigeonpoint.process.gateway.health import MemberFailures
from wigeonpoint.version.catalogue import Leadership, LeavingMember


@dataclass(frozen=True, slots=True)
class TableRow:
    """A row of a table of the store.

    Attributes:
        key: Key within the table.
        value: The row's bytes, as Latin-1 text.
        version: Number of the row's version.
        era: Era of the version, None from an instance that knows only numbers.
    """

    key: str
    value: str
    version: int
    era: int | None = None


@dataclass(frozen=True, slots=True)
class GatewayPing:
    """Asks a peer for its state, and tells who the sender is.

    Attributes:
        sender: Name of the sender.
        address: Its address for peers.
        data_centre: Its data centre.
    """

    sender: str
    address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class ConfirmedPrimary:
    """A primary that a majority of its group's members has confirmed.

    Attributes:
        member_id: Id of the primary.
        age_s: Seconds since the members were asked.
    """

    member_id: str
    age_s: float


@dataclass(frozen=True, slots=True)
class KeyState:
    """What an instance knows of callers' keys where they are needed.

    Attributes:
        catalogue_age_s: Seconds since it certainly had the newest configuration, None if it never
            had.
    """

    catalogue_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class GatewayState:
    """Answers a ping.

    Attributes:
        name: Name of the instance.
        changed: Number of the version of the last known change of each table that it follows.
        store_evidence_age_s: Seconds since the latest store read that it knows of, None if that is
            too long ago to matter.
        unreachable: Seconds for which it has not reached the primary, by group; groups with a
            reachable primary are left out.
        leaving: Whether it is shutting down.
        knows_sender: Whether it knows the sender of the ping as a registered instance.
        in_contact: Registered instances that it reaches.
        vouched: Primaries with a valid quorum lease, by group.
        follows_store: Whether it follows the store's tables itself and the store answers it.
        eras: Eras of the versions in `changed`.
        without_store: Whether the store or the service for promotions does not answer it, so that
            it cannot replace primaries.
        leaving_members: The leaving members that it knows.
        member_failures: What it knows of the members that failed most reads lately.
        keys: What it knows of callers' keys, None if no version of the configuration has called for
            them.
    """

    name: str
    changed: dict[str, int]
    store_evidence_age_s: float | None
    unreachable: dict[str, float] = field(default_factory=dict)
    leaving: bool = False
    knows_sender: bool = False
    in_contact: list[str] = field(default_factory=list)
    vouched: dict[str, ConfirmedPrimary] = field(default_factory=dict)
    follows_store: bool = False
    eras: dict[str, int] = field(default_factory=dict)
    without_store: bool = False
    leaving_members: list[LeavingMember] = field(default_factory=list)
    member_failures: list[MemberFailures] = field(default_factory=list)
    keys: KeyState | None = None


@dataclass(frozen=True, slots=True)
class AwaitChange:
    """Asks a peer to answer as soon as it knows a later change of a table.

    Attributes:
        table: The table.
        changed: Number of the version of the last change that the sender knows.
        era: Era of that version.
        wait_s: Longest time in seconds to wait for a later one.
    """

    table: str
    changed: int
    era: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class LatestChange:
    """Answers `AwaitChange`.

    Attributes:
        changed: Number of the version of the last change that the peer knows.
        era: Era of that version.
    """

    changed: int
    era: int


@dataclass(frozen=True, slots=True)
class FetchTable:
    """Asks a peer for its copy of a table."""

    table: str


@dataclass(frozen=True, slots=True)
class TableCopy:
    """A copy of a table.

    Attributes:
        rows: All rows.
        version: Number of the store version up to which the copy is complete, 0 if there is none.
        changed: Number of the version of the last known change of the table.
        stable: Whether the store has answered the sender without a recent failure. After a failure,
            rows may be missing that are written again soon.
        era: Era of the version, None from an instance that knows only numbers.
        changed_era: Era of the last known change.
    """

    rows: list[TableRow]
    version: int
    changed: int
    stable: bool = True
    era: int | None = None
    changed_era: int | None = None


@dataclass(frozen=True, slots=True)
class AnnounceLeadership:
    """Tells a peer of a group's leadership record sooner than the store's feed does.

    Attributes:
        group: Name of the group.
        leadership: The record.
        version: Number of the version of its row in the store, 0 if it is not stored yet.
        era: Era of the version, None from an instance that knows only numbers.
    """

    group: str
    leadership: Leadership
    version: int
    era: int | None = None


@dataclass(frozen=True, slots=True)
class LeadershipAdopted:
    """Confirms that the sender no longer uses a primary of an earlier record.

    Attributes:
        epoch: Newest epoch of the group that it knows.
        era: Era of the store to which the epoch belongs.
    """

    epoch: int
    era: int = 0
