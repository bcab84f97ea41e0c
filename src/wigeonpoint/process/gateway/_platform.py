"""What a gateway needs from the platform that it runs on; an adapter provides it."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from wigeonpoint.connection import PeerDispatcher, PeerTransport
from wigeonpoint.connection.session import CallerConnection, MemberConnector
from wigeonpoint.services import Promoter, RowStore, VersionedRow
from wigeonpoint.version.catalogue import Catalogue, MemberRecord

ServeCaller = Callable[[CallerConnection], Coroutine[Any, Any, None]]
IsReady = Callable[[], bool]


class Listener(Protocol):
    """Accepts connections until it is stopped."""

    def stop(self) -> None:
        """Accepts no further connections."""
        ...


@dataclass(frozen=True, slots=True)
class TableNames:
    """Where the platform keeps what the gateway follows.

    Attributes:
        operators: Table of the operators.
        catalogue_key: Key of the row with routes and services.
        members: Table in which members register themselves.
    """

    operators: str
    catalogue_key: str
    members: str


class GatewayPlatform(Protocol):
    """The platform's services, formats and listeners."""

    @property
    def tables(self) -> TableNames:
        """Names of the tables."""
        ...

    @property
    def store(self) -> RowStore:
        """The store."""
        ...

    @property
    def connector(self) -> MemberConnector:
        """Connections to members."""
        ...

    @property
    def promoter(self) -> Promoter | None:
        """The promotion call, None where the platform has none."""
        ...

    def decode_catalogue(self, row: VersionedRow) -> Catalogue | None:
        """Routes and services, None if the row cannot be read."""
        ...

    def decode_member(self, row: VersionedRow) -> MemberRecord | None:
        """A member, None if the row names none."""
        ...

    def listen_for_callers(self, address: str, serve: ServeCaller) -> Listener:
        """Accepts callers."""
        ...

    def listen_for_readiness(self, address: str, ready: IsReady) -> Listener:
        """Answers the balancer's question whether to send callers."""
        ...

    def peer_transport(self, address: str, dispatcher: PeerDispatcher) -> PeerTransport:
        """Sends messages to other gateways, and those to the own address to the dispatcher."""
        ...

    def listen_for_peers(self, address: str, dispatcher: PeerDispatcher) -> Listener:
        """Accepts messages of other gateways."""
        ...

    def close(self) -> None:
        """Closes kept connections."""
        ...
