"""Instances, backend servers and the owner of each backend server."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An instance as its peers know it.

    Attributes:
        id: Unique id.
        address: `host:port` of callers and peers.
        data_centre: Name of its data centre.
    """

    id: str
    address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A member of a database group.

    Attributes:
        id: Unique id.
        address: `host:port`.
        data_centre: Name of its data centre.
        group: Name of the database group.
        leaving: Whether it is leaving and gets no new statements.
    """

    id: str
    address: str
    data_centre: str
    group: str
    leaving: bool = False


def rendezvous_weight(key: str, candidate: str) -> int:
    """Weight of a candidate for a key; the candidate with the highest weight owns the key.

    Removing a candidate moves only the keys that it owned (highest-random-weight hashing, Thaler
    and Ravishankar 1998).
    """
    digest = blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def owner_of(server: BackendServer, instances: Iterable[InstanceRecord]) -> InstanceRecord | None:
    """Finds the owner of a backend server among live instances.

    Args:
        server: The backend server.
        instances: Live instances of all data centres.

    Returns:
        The owner, from the server's data centre if it has instances; None without instances.
    """
    known = list(instances)
    local = [instance for instance in known if instance.data_centre == server.data_centre]
    return max(
        local or known,
        key=lambda instance: (rendezvous_weight(server.id, instance.id), instance.id),
        default=None,
    )
