"""A customer: the owner of keys with which callers identify themselves."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from wigeonpoint.request import Rank

KEY_DIGEST_BYTES = 16


def key_digest(key: str) -> bytes:
    """Digest of a caller's key; nothing else of a key is kept after a message was decoded."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).digest()


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer as the operators configure it.

    Attributes:
        name: Name, told to members.
        key_digests: Digests of its keys.
        rank: Least urgent rank of its statements, None if the routes' ranks hold. It never makes a
            statement more urgent than its route.
        operations_per_s: Operations that it may start per second, over all instances; None for no
            limit.
        burst: Operations that it may start at once beyond that rate.
    """

    name: str
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)
    rank: Rank | None = None
    operations_per_s: float | None = None
    burst: float = 0.0
