"""Messages between instances about configuration states."""

from __future__ import annotations

from dataclasses import dataclass, field

from wigeonpoint.version import RowProblem, StateChange


@dataclass(frozen=True, slots=True)
class AnnounceConfigurationMessage:
    """Tells a peer which state is in force at the sender.

    Attributes:
        number: Number of the state.
        address: Address of the sender, from which the state can be fetched.
    """

    number: int
    address: str


@dataclass(frozen=True, slots=True)
class ConfigurationNumberReply:
    """Number of the state in force at the receiver."""

    number: int


@dataclass(frozen=True, slots=True)
class FetchConfigurationMessage:
    """Asks for the rows changed since a number, or for the whole state.

    Attributes:
        since: Number in force at the sender; 0 asks for the whole state.
    """

    since: int


@dataclass(frozen=True, slots=True)
class FetchConfigurationReply:
    """The change that leads to the receiver's state; None when it has nothing later."""

    change: StateChange | None


@dataclass(frozen=True, slots=True)
class StatusMessage:
    """Asks an instance for its status."""


@dataclass(frozen=True, slots=True)
class StatusReply:
    """What an instance has in force.

    Attributes:
        id: Id of the instance.
        data_centre: Its data centre.
        number: Number of the state in force.
        digest: Digest of the state in force.
        poller: Whether the instance watches the tables for its data centre.
        problems: Why rows edited in the tables are refused, as found by a poller.
    """

    id: str
    data_centre: str
    number: int
    digest: str
    poller: bool
    problems: list[RowProblem] = field(default_factory=list)
