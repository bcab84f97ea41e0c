"""A number of bytes that several holders share."""

from __future__ import annotations

from typing import Generic, TypeVar

HolderT = TypeVar("HolderT")
# Of the largest holding. Among those that hold this much, the one that has done so for longest goes
# first: a holder that has just received its bytes may still pass them on.
LARGE_SHARE = 0.5


class ByteBudget(Generic[HolderT]):
    """Bytes held by connections, up to a common limit.

    Args:
        limit: Bytes that all holders together may hold.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held: dict[HolderT, int] = {}  # the longest holder first
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes that all holders hold."""
        return self._total

    @property
    def exceeded(self) -> bool:
        """Whether several holders hold more than the limit; one alone may."""
        return self._total > self._limit and len(self._held) > 1

    def held(self, holder: HolderT) -> int:
        """Bytes that a holder holds."""
        return self._held.get(holder, 0)

    def fits(self, holder: HolderT, count: int) -> bool:
        """Whether a holder may hold `count` bytes; one that holds alone always may."""
        others = self._total - self._held.get(holder, 0)
        return others == 0 or others + count <= self._limit

    def hold(self, holder: HolderT, count: int) -> None:
        """Sets the bytes that a holder holds, whether they fit or not."""
        self._total += count - self._held.get(holder, 0)
        self._held[holder] = count

    def release(self, holder: HolderT) -> None:
        """Ends what a holder holds."""
        self._total -= self._held.pop(holder, 0)

    def heaviest(self) -> HolderT | None:
        """The holder to end first: of those that hold much, the one that has held for longest."""
        largest = max(self._held.values(), default=0)
        for holder, count in self._held.items():
            if count >= largest * LARGE_SHARE:
                return holder
        return None
