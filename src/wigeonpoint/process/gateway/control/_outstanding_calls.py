"""Promotions that the platform may still carry out though their claimant has given up."""

from __future__ import annotations

from wigeonpoint.version.catalogue import Leadership


class OutstandingCalls:
    """Remembers which claims of this process cannot lead to a promotion any more.

    A call for a promotion that is answered takes effect soon or never. One that is not answered may
    take effect seconds later, and the record of a claim tells only that there may have been calls.
    """

    def __init__(self) -> None:
        self._settled: dict[str, Leadership] = {}

    def settle(self, group: str, claimed: Leadership) -> None:
        """Records that all calls for the candidate of a claim have been answered."""
        self._settled[group] = claimed

    def may_take_effect(self, group: str, claimed: Leadership) -> bool:
        """Whether the candidate of an unfinished claim may still be promoted by a former call."""
        return claimed.called and self._settled.get(group) != claimed
