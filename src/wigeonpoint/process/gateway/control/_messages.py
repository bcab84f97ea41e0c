"""Messages between gateways."""

from __future__ import annotations

from dataclasses import dataclass, field

from wigeonpoint.version.catalogue import Leadership


@dataclass(frozen=True, slots=True)
class TableRow:
    """A row of a table of the store.

    Attributes:
        key: Key within the table.
        value: The row's bytes, as Latin-1 text.
        version: Version of the row.
    """

    key: str
    value: str
    version: int


@dataclass(frozen=True, slots=True)
class GatewayPing:
    """Asks a peer for its state, and introduces the sender.

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
    """Evidence from the members of a group that its primary still leads.

    Attributes:
        member_id: The primary.
        age_s: Age of the evidence, in seconds.
    """

    member_id: str
    age_s: float


@dataclass(frozen=True, slots=True)
class GatewayState:
    """Answers a ping.

    Attributes:
        name: Name of the instance.
        changed: Version of the last change that it knows of each table that it follows.
        store_evidence_age_s: Age of its newest evidence from the store.
        unreachable: Seconds for which it has not reached the primary, by group, where it does not.
        leaving: Whether it is shutting down.
        knows_sender: Whether the sender of the ping is registered as far as it knows.
        in_contact: Registered instances that answer it.
        vouched: Its evidence from members by group, as far as it is young.
    """

    name: str
    changed: dict[str, int]
    store_evidence_age_s: float | None
    unreachable: dict[str, float] = field(default_factory=dict)
    leaving: bool = False
    knows_sender: bool = False
    in_contact: list[str] = field(default_factory=list)
    vouched: dict[str, ConfirmedPrimary] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FetchTable:
    """Asks a peer for its copy of a table."""

    table: str


@dataclass(frozen=True, slots=True)
class TableCopy:
    """A copy of a table.

    Attributes:
        rows: All rows.
        version: Version of the store that the copy is up to, 0 if there is none.
        changed: Version of the last change that is known.
    """

    rows: list[TableRow]
    version: int
    changed: int


@dataclass(frozen=True, slots=True)
class AnnounceLeadership:
    """Tells of a group's record before the store's feed does.

    Attributes:
        group: Name of the group.
        leadership: The record.
        version: Version of its row in the store, 0 if it is not written yet.
    """

    group: str
    leadership: Leadership
    version: int


@dataclass(frozen=True, slots=True)
class LeadershipAdopted:
    """Confirms that the sender uses no primary of an earlier record any more.

    Attributes:
        epoch: Newest epoch that it knows of the group.
    """

    epoch: int
