"""Divides the slots of a member among the relays that send to it, by the demand at each."""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil, exp

from wigeonpoint.request import Rank

RANK_WEIGHTS = {Rank.URGENT: 1.0, Rank.STANDARD: 0.1, Rank.BULK: 0.05}
MAX_COUNTED = 20  # waiting statements of a rank; more are a flood, which gains nothing
ACTIVE_WEIGHT = 0.5  # of a relay without demand, so that it can always begin
DEMAND_LIFETIME_S = 0.3
MEMORY_S = 1.0  # a request counts for about this long


class RelayDemand:
    """Demand at this relay: what waits, and what arrives to be served at once."""

    def __init__(self) -> None:
        self._requests: dict[Rank, tuple[float, float]] = {}  # time, and discounted number

    def note_request(self, rank: Rank, now: float) -> None:
        """Records that a statement has arrived."""
        self._requests[rank] = now, self._recent(rank, now) + 1.0

    def weight(self, waiting: Mapping[Rank, int], service_s: float, now: float) -> float:
        """The demand, weighed by rank.

        Args:
            waiting: Number of waiting statements by rank.
            service_s: Seconds that a statement takes.
            now: Time in seconds.
        """
        return sum(
            RANK_WEIGHTS[rank]
            * (min(waiting.get(rank, 0), MAX_COUNTED) + self._slots_used(rank, service_s, now))
            for rank in Rank
        )

    def _slots_used(self, rank: Rank, service_s: float, now: float) -> float:
        """Slots that the arrivals of a rank would keep busy."""
        return self._recent(rank, now) / MEMORY_S * service_s

    def _recent(self, rank: Rank, now: float) -> float:
        noted_at, number = self._requests.get(rank, (now, 0.0))
        return number * exp((noted_at - now) / MEMORY_S)


class SlotShares:
    """What a relay knows of the demand at the other relays of one member."""

    def __init__(self) -> None:
        self._demands: dict[str, tuple[float, float]] = {}  # time and weight by relay

    def note_demand(self, relay: str, weight: float, now: float) -> None:
        """Records the demand at another relay, as its `RelayDemand` weighs it."""
        self._demands[relay] = now, weight
        for name, (noted_at, _) in list(self._demands.items()):
            if now - noted_at > DEMAND_LIFETIME_S:
                del self._demands[name]

    def share(self, slots: int, own_weight: float, now: float) -> int:
        """Statements that this relay may run at the member at the same time.

        Args:
            slots: Slots of the member.
            own_weight: Demand here.
            now: Time in seconds.
        """
        others = sum(
            weight
            for noted_at, weight in self._demands.values()
            if now - noted_at <= DEMAND_LIFETIME_S
        )
        own = ACTIVE_WEIGHT + own_weight
        return max(ceil(slots * own / (own + others)), 1)
