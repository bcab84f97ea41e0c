"""Decides which large messages may arrive at the same time."""

from __future__ import annotations

from typing import Generic

from wigeonpoint.process.policy._byte_budget import ByteBudget, HolderT


class MessageAdmission(Generic[HolderT]):
    """Admits large messages in the order in which they asked, as far as a budget allows.

    A message that is still arriving holds its largest size, so that every admitted message can
    arrive whole whatever the others do. Once it is whole, it holds what it needs.

    Args:
        limit: Bytes that all admitted messages may hold.
        patience_s: Seconds for which an admitted message may arrive while others wait.
    """

    def __init__(self, limit: int, *, patience_s: float) -> None:
        self._budget: ByteBudget[HolderT] = ByteBudget(limit)
        self._patience_s = patience_s
        self._arriving: dict[HolderT, float] = {}  # since when, the longest first
        self._waiting: dict[HolderT, int] = {}  # bytes that each asks for, in order

    @property
    def held(self) -> int:
        """Bytes that the admitted messages hold."""
        return self._budget.total

    @property
    def waiting(self) -> int:
        """Number of messages that wait to be admitted."""
        return len(self._waiting)

    def ask(self, holder: HolderT, count: int, now: float) -> bool:
        """Asks to admit a message of at most `count` bytes.

        Returns:
            Whether it is admitted; otherwise it waits for `admit_waiting`.
        """
        if not self._waiting and self._budget.fits(holder, count):
            self._admit(holder, count, now)
            return True
        self._waiting[holder] = count
        return False

    def note_whole(self, holder: HolderT, count: int) -> None:
        """Records that an admitted message has arrived, and that it needs `count` bytes."""
        if self._arriving.pop(holder, None) is not None:
            self._budget.hold(holder, count)

    def extend(self, holder: HolderT, count: int) -> bool:
        """Lets an admitted message hold `count` bytes; returns False if they do not fit."""
        if holder not in self._arriving or not self._budget.fits(holder, count):
            return False
        self._budget.hold(holder, count)
        return True

    def leave(self, holder: HolderT) -> None:
        """Ends what a message holds, or its wait."""
        self._waiting.pop(holder, None)
        self._arriving.pop(holder, None)
        self._budget.release(holder)

    def admit_waiting(self, now: float) -> list[HolderT]:
        """Admits waiting messages that fit now, first come first served; returns them."""
        admitted = []
        for holder, count in list(self._waiting.items()):
            if not self._budget.fits(holder, count):
                break
            del self._waiting[holder]
            self._admit(holder, count, now)
            admitted.append(holder)
        return admitted

    def overdue(self, now: float) -> HolderT | None:
        """The admitted message that has been arriving for longest, if beyond the patience."""
        for holder, since in self._arriving.items():
            return holder if now - since >= self._patience_s else None
        return None

    def _admit(self, holder: HolderT, count: int, now: float) -> None:
        self._budget.hold(holder, count)
        self._arriving[holder] = now
