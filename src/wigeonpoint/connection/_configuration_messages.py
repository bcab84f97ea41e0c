"""Messages between instances about configuration states."""

from __future__ import annotations

from dataclasses import dataclass, field

from wigeonpoint.version import RowProblem, StateChange


@dataclass(frozen=True, slots=True)
class AnnounceConfigurationMessage:
    """Tells a peer which configuration state is active at the sender.

    Attributes:
        number: Number of the state.
        address: Address of the sender, from which the state can be fetched.
    """

    number: int
    address: str


@dataclass(frozen=True, slots=True)
class ConfigurationNumberReply:
    """Number of the state that is active at the receiver."""

    number: int


@dataclass(frozen=True, slots=True)
class FetchConfigurationMessage:
    """Asks for the rows changed since a state, or for the whole state.

    Attributes:
        since: Number of the state that is active at the sender; 0 asks for the whole state.
    """

    since: int


@dataclass(frozen=True, slots=True)
class FetchConfigurationReply:
    """Change from the asking instance's state to the answering one's; None if that is not later."""

    change: StateChange | None


@dataclass(frozen=True, slots=True)
class StatusMessage:
    """Asks an instance for its status."""


@dataclass(frozen=True, slots=True)
class StatusReply:
    """Configuration status of an instance.

    Attributes:
        id: Id of the instance.
        data_centre: Data centre of the instance.
        number: Number of the active state.
        digest: Digest of the active state.
        poller: Whether the instance polls the tables for its data centre.
        problems: Why the poller refuses rows that were edited in the tables.
    """

    id: str
    data_centre: str
    number: int
    digest: str
    poller: bool
    problems: list[RowProblem] = field(default_factory=list)
