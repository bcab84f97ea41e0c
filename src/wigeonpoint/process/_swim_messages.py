"""Messages of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from wigeonpoint.version import MemberDelta


@dataclass(frozen=True, slots=True, order=True)
class DirectoryVersion:
    """Version of the platform's directory; the digest orders two with the same number."""

    number: int = 0
    digest: int = 0


@dataclass(frozen=True, slots=True)
class Versions:
    """Version numbers that every ping carries, so that peers fetch what they miss (anti-entropy).

    Attributes:
        configuration: Number of the active configuration.
        directory: Version of the platform's directory.
        digest: Digest of the membership view.
    """

    configuration: int
    directory: DirectoryVersion
    digest: int


@dataclass(frozen=True, slots=True)
class PingMessage:
    """Asks a member whether it is live.

    Attributes:
        sender: The sender's claim about itself.
        versions: The sender's version numbers.
        deltas: Claims about members, limited in number.
    """

    sender: MemberDelta
    versions: Versions
    deltas: list[MemberDelta] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PingReply:
    """Answer to `PingMessage`, with the same fields."""

    sender: MemberDelta
    versions: Versions
    deltas: list[MemberDelta] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class IndirectPingMessage:
    """Asks a member to ping another one; an error reply means that the ping was not answered."""

    address: str
    member_id: str


@dataclass(frozen=True, slots=True)
class SyncMessage:
    """Requests the members of every data centre whose digest differs."""

    sender: MemberDelta
    digests: dict[str, int]


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Claims about all members of the data centres that differ, dead ones included."""

    sender: MemberDelta
    deltas: list[MemberDelta]
