"""Orders replicas for reads by the response times and lags that earlier answers showed."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from wigeonpoint.backend import LogPosition
from wigeonpoint.version import BackendServer, GroupView

ESTIMATE_WEIGHT = 0.2
# A measured lag is ignored after this time, so that a member that caught up is soon tried again.
# Replicas that lag by 5 s served 0.53 of the possible reads at 0.5 s, 0.89 at 0.05 s and 0.92 at
# 0.03 s; a shorter time costs more statements run in vain on replicas
# (tools/measure_replica_reads.py --lag large).
LAG_EXPIRY_S = 0.03
AGE_EXPIRY_S = 0.03
FAILURE_EXPIRY_S = 1.0  # a member that failed to answer is tried last for this long
MAX_LAG_S = 60.0
LAG_GROWTH = 2.0
LAG_STEP_S = 0.0005
MAX_STORED_POSITIONS = 1024


@dataclass(slots=True)
class _MemberEstimate:
    """Moving average of a member's response time, and its last failure, lag and age."""

    wait_s: float = 0.0
    failed_at: float = float("-inf")
    lag_s: float = 0.0
    lag_at: float = float("-inf")
    age_s: float = 0.0
    age_at: float = float("-inf")


class ReplicaSelector:
    """Estimates response times, lags and ages of members from the answers this instance got.

    Args:
        data_centre: Data centre of this instance.
        random_source: Random number generator.
    """

    def __init__(self, data_centre: str, random_source: random.Random) -> None:
        self._data_centre = data_centre
        self._random = random_source
        self._estimates: dict[str, _MemberEstimate] = {}
        self._first_seen_at: dict[tuple[str, LogPosition], float] = {}
        self._last_primary_ids: dict[str, str] = {}

    def replicas(self, group: GroupView) -> list[BackendServer]:
        """Replicas in the order to try: without recent failures, then local, then fast ones.

        The last known primary is left out until another one is known, because its answers need
        confirmation.
        """
        if group.primary is not None:
            self._last_primary_ids[group.name] = group.primary.id
        last_primary_id = self._last_primary_ids.get(group.name)
        if last_primary_id is None:
            return []
        now = asyncio.get_running_loop().time()
        usable = [s for s in group.servers if not s.leaving and s.id != last_primary_id]
        order = self._order_by_wait(usable)
        return sorted(order, key=lambda s: (self._failed_recently(s.id, now), self._is_remote(s)))

    def expected_catch_up_at(
        self, server_id: str, group: GroupView, required: LogPosition, now: float
    ) -> float:
        """Event-loop time, in seconds, at which a member is expected to have reached a position."""
        position = group.position_of(server_id)
        if position is not None and group.contains(position, required):
            return now
        first_seen_at = self._first_seen_at.get((group.name, required), float("-inf"))
        return first_seen_at + self._recent_lag_s(server_id, now)

    def recent_age_s(self, server_id: str, now: float) -> float:
        """Age in seconds last proved for a member's data; 0 if the proof is too old to rely on."""
        estimate = self._estimate(server_id)
        return estimate.age_s if now - estimate.age_at < AGE_EXPIRY_S else 0.0

    def record_position(self, group: GroupView, at: LogPosition, now: float) -> None:
        """Records when this instance first saw a position; lags are measured from that time."""
        self._first_seen_at.setdefault((group.name, at), now)
        if len(self._first_seen_at) > MAX_STORED_POSITIONS:
            del self._first_seen_at[next(iter(self._first_seen_at))]

    def record_response_time(self, server_id: str, wait_s: float) -> None:
        """Records how long a member took to answer."""
        estimate = self._estimate(server_id)
        estimate.wait_s += ESTIMATE_WEIGHT * (wait_s - estimate.wait_s)

    def record_failure(self, server_id: str, now: float) -> None:
        """Records that a member did not answer."""
        self._estimate(server_id).failed_at = now

    def record_age(self, server_id: str, age_s: float, now: float) -> None:
        """Records the proven age of a member's answer."""
        estimate = self._estimate(server_id)
        estimate.age_s, estimate.age_at = age_s, now

    def record_behind(
        self, server_id: str, group: GroupView, required: LogPosition, now: float
    ) -> None:
        """Raises the estimated lag of a member that had not reached a position yet."""
        estimate = self._estimate(server_id)
        since_first_seen_s = now - self._first_seen_at.setdefault((group.name, required), now)
        raised_lag_s = max(estimate.lag_s, since_first_seen_s) * LAG_GROWTH + LAG_STEP_S
        estimate.lag_s, estimate.lag_at = min(raised_lag_s, MAX_LAG_S), now

    def record_caught_up(
        self, server_id: str, group: GroupView, required: LogPosition, now: float
    ) -> None:
        """Lowers the estimated lag of a member that had reached a position."""
        estimate = self._estimate(server_id)
        first_seen_at = self._first_seen_at.get((group.name, required))
        if first_seen_at is not None:
            estimate.lag_s = min(estimate.lag_s, now - first_seen_at)
            estimate.lag_at = now

    def _recent_lag_s(self, server_id: str, now: float) -> float:
        estimate = self._estimate(server_id)
        return estimate.lag_s if now - estimate.lag_at < LAG_EXPIRY_S else 0.0

    def _failed_recently(self, server_id: str, now: float) -> bool:
        return now - self._estimate(server_id).failed_at < FAILURE_EXPIRY_S

    def _is_remote(self, server: BackendServer) -> bool:
        return server.data_centre != self._data_centre

    def _estimate(self, server_id: str) -> _MemberEstimate:
        return self._estimates.setdefault(server_id, _MemberEstimate())

    def _order_by_wait(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Puts the faster of two random members of each data centre first."""
        shuffled = self._random.sample(servers, len(servers))
        order: list[BackendServer] = []
        for data_centre in {server.data_centre: None for server in shuffled}:
            members = [server for server in shuffled if server.data_centre == data_centre]
            order += sorted(members[:2], key=lambda server: self._estimate(server.id).wait_s)
            order += members[2:]
        return order
