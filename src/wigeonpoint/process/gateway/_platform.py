"""Interface to the platform that a gateway runs on, implemented by an adapter."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from wigeonpoint.connection import PeerDispatcher, PeerTransport
from wigeonpoint.connection.session import CallerConnection, ControlConnector
from wigeonpoint.process.gateway._caller_usage import CallerUsage
from wigeonpoint.services import Promoter, RowStore, VersionedRow
from wigeonpoint.version.catalogue import Catalogue, MemberRecord

ServeCaller = Callable[[CallerConnection], Coroutine[Any, Any, None]]
IsReady = Callable[[], bool]


class Listener(Protocol):
    """Accepts connections until it is stopped."""

    def stop(self) -> None:
        """Stops accepting connections."""
        ...


@dataclass(frozen=True, slots=True)
class TableNames:
    """Names of the platform's tables and keys that a gateway reads.

    Attributes:
        operators: Table that operators edit.
        catalogue_key: Key of the row with routes and services.
        members: Table in which members register themselves.
    """

    operators: str
    catalogue_key: str
    members: str


class GatewayPlatform(Protocol):
    """Services, row formats and listeners of the platform."""

    @property
    def tables(self) -> TableNames:
        """Names of the tables."""
        ...

    @property
    def store(self) -> RowStore:
        """The store."""
        ...

    @property
    def connector(self) -> ControlConnector:
        """Opens connections to members."""
        ...

    @property
    def promoter(self) -> Promoter | None:
        """The promotion call, None where the platform has none."""
        ...

    def decode_catalogue(self, row: VersionedRow) -> Catalogue | None:
        """Decodes routes and services; None if the row is invalid."""
        ...

    def decode_member(self, row: VersionedRow) -> MemberRecord | None:
        """Decodes a member; None if the row describes none."""
        ...

    def listen_for_callers(self, address: str, serve: ServeCaller, usage: CallerUsage) -> Listener:
        """Accepts connections of callers and keeps what they use within its limits."""
        ...

    def listen_for_readiness(self, address: str, ready: IsReady) -> Listener:
        """Answers the balancer's readiness probes."""
        ...

    def peer_transport(
        self, address: str, dispatcher: PeerDispatcher, *, compress: bool = False
    ) -> PeerTransport:
        """Sends messages to other gateways; those to its own address go to the dispatcher."""
        ...

    def listen_for_peers(self, address: str, dispatcher: PeerDispatcher) -> Listener:
        """Accepts messages of other gateways."""
        ...

    def close(self) -> None:
        """Closes keep-alive connections."""
        ...
