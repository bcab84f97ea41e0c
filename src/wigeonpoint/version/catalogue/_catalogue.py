"""The routes and services of one version of the operators' configuration."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from wigeonpoint.request import Rank
from wigeonpoint.version.catalogue._customer import Customer

DEFAULT_TIMEOUT_S = 1.0
DEFAULT_CONNECTION_LIMIT = 16
DEFAULT_TRANSACTION_IDLE_S = 3.0
DEFAULT_MESSAGE_BYTES = 1 << 20
RANKS = (Rank.URGENT, Rank.STANDARD, Rank.BULK)


class Consistency(Enum):
    """Which data a read of a route may see."""

    CURRENT = auto()  # every acknowledged commit
    SESSION = auto()  # the session's own commits, and others up to a stated age
    AGED = auto()  # commits up to a stated age


@dataclass(frozen=True, slots=True)
class DatabaseRoute:
    """Where the statements for one database name go.

    Attributes:
        name: Name of the route.
        database: Database name that callers connect to.
        service: Name of the database group.
        consistency: Which data its reads may see.
        rank: Rank of its statements.
        timeout_s: Time limit of one statement, in seconds.
        target_s: Latency objective of an operation, in seconds.
        max_age_s: Oldest data that a read may see, in seconds; None for current data only.
        public: Whether its callers need no key.
    """

    name: str
    database: str
    service: str
    consistency: Consistency
    rank: Rank
    timeout_s: float = DEFAULT_TIMEOUT_S
    target_s: float = DEFAULT_TIMEOUT_S
    max_age_s: float | None = None
    public: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A database group as the operators configure it.

    Attributes:
        name: Name of the group.
        connection_limit: Connections that each member accepts from all instances together.
        synchronous_replicas: Number of replicas that must receive a commit before it is
            acknowledged.
    """

    name: str
    connection_limit: int = DEFAULT_CONNECTION_LIMIT
    synchronous_replicas: int = 0


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the configuration.

    Attributes:
        version: Number of the version; higher numbers replace lower ones.
        routes: Routes by database name.
        services: Services by name.
        transaction_idle_s: Seconds after which an idle transaction may be ended.
        message_bytes: Largest message that a caller may send, in bytes.
        customers: Customers by name.
        keys_needed: Whether callers of routes that are not public need the key of a customer.
    """

    version: int = 0
    routes: Mapping[str, DatabaseRoute] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    transaction_idle_s: float = DEFAULT_TRANSACTION_IDLE_S
    message_bytes: int = DEFAULT_MESSAGE_BYTES
    customers: Mapping[str, Customer] = field(default_factory=dict)
    keys_needed: bool = False
    _customers_by_digest: Mapping[bytes, Customer] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Indexes the customers by the digests of their keys."""
        by_digest = _index_by_digest(self.customers.values())
        object.__setattr__(self, "_customers_by_digest", by_digest)

    @property
    def fingerprint(self) -> int:
        """A number that is equal for catalogues of equal content within this process."""
        contents = (
            frozenset(self.routes.items()),
            frozenset(self.services.items()),
            frozenset(self.customers.items()),
            self.keys_needed,
        )
        return hash((self.version, contents, self.transaction_idle_s, self.message_bytes))

    def service(self, name: str) -> Service:
        """A service by name, with defaults where the configuration does not list it."""
        return self.services.get(name) or Service(name)

    def customer_of(self, key_digest: bytes) -> Customer | None:
        """The customer with a key; None if there is none, or if several have it."""
        return self._customers_by_digest.get(key_digest)


def _index_by_digest(customers: Collection[Customer]) -> dict[bytes, Customer]:
    """Customers by the digests of their keys; a key of several customers identifies none."""
    holders = Counter(digest for one in customers for digest in one.key_digests)
    return {digest: one for one in customers for digest in one.key_digests if holders[digest] == 1}


def less_urgent(one: Rank, other: Rank) -> Rank:
    """The less urgent of two ranks."""
    return max(one, other, key=RANKS.index)


def rank_of(priority: int) -> Rank:
    """Rank of a numeric priority, of which 0 is the most urgent."""
    return RANKS[min(max(priority, 0), len(RANKS) - 1)]
