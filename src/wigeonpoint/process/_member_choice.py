"""Order of the members that a read tries, from waits and lags that earlier answers showed."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from wigeonpoint.backend import LogPosition
from wigeonpoint.version import BackendServer, GroupView

ESTIMATE_WEIGHT = 0.2
# After this a member is tried again, to notice early that it caught up. Replicas that lag 5 s
# served 0.53 of the possible reads at 0.5 s, 0.89 at 0.05 s and 0.92 at 0.03 s, for statements run
# in vain on replicas (tools/measure_replica_reads.py --lag large).
LAG_EXPIRES_S = 0.03
AGE_EXPIRES_S = 0.03
FAILURE_EXPIRES_S = 1.0  # a member that did not answer is tried last for this long
LAG_MAX_S = 60.0
LAG_GROWTH = 2.0
LAG_STEP_S = 0.0005
POSITIONS_KEPT = 1024


@dataclass(slots=True)
class _MemberEstimate:
    wait_s: float = 0.0
    failed_at: float = float("-inf")
    lag_s: float = 0.0
    lag_at: float = float("-inf")
    age_s: float = 0.0
    age_at: float = float("-inf")


class MemberChoice:
    """Estimates of the members of all groups, as this entry saw them.

    Args:
        data_centre: Data centre of this instance.
        source: Source of random choices.
    """

    def __init__(self, data_centre: str, source: random.Random) -> None:
        self._data_centre = data_centre
        self._source = source
        self._estimates: dict[str, _MemberEstimate] = {}
        self._first_seen: dict[tuple[str, LogPosition], float] = {}
        self._last_primary: dict[str, str] = {}

    def replicas(self, group: GroupView) -> list[BackendServer]:
        """Replicas in the order to try: answering ones, nearest data centre, then by load.

        The last known primary stays out while no other is known: its answers need confirmation.
        """
        if group.primary is not None:
            self._last_primary[group.name] = group.primary.id
        last = self._last_primary.get(group.name)
        if last is None:
            return []
        now = asyncio.get_running_loop().time()
        usable = [s for s in group.servers if not s.leaving and s.id != last]
        order = self._by_load(usable)
        return sorted(order, key=lambda s: (self._failed(s.id, now), self._is_far(s)))

    def ready_at(
        self, server_id: str, group: GroupView, required: LogPosition, now: float
    ) -> float:
        """Event-loop time at which a member should hold a position."""
        position = group.position_of(server_id)
        if position is not None and group.contains(position, required):
            return now
        first_seen = self._first_seen.get((group.name, required), float("-inf"))
        return first_seen + self._lag(server_id, now)

    def recent_age(self, server_id: str, now: float) -> float:
        """Seconds of age last proved for a member; 0 when that was too long ago to rely on."""
        estimate = self._estimate(server_id)
        return estimate.age_s if now - estimate.age_at < AGE_EXPIRES_S else 0.0

    def note_position(self, group: GroupView, at: LogPosition, now: float) -> None:
        """Notes when a position was first seen here, against which lags are measured."""
        self._first_seen.setdefault((group.name, at), now)
        if len(self._first_seen) > POSITIONS_KEPT:
            del self._first_seen[next(iter(self._first_seen))]

    def note_answer(self, server_id: str, wait_s: float) -> None:
        """Notes how long an answer took."""
        estimate = self._estimate(server_id)
        estimate.wait_s += ESTIMATE_WEIGHT * (wait_s - estimate.wait_s)

    def note_failure(self, server_id: str, now: float) -> None:
        """Notes that a member did not answer."""
        self._estimate(server_id).failed_at = now

    def note_age(self, server_id: str, age_s: float, now: float) -> None:
        """Notes the age that an answer of a member was proved to have."""
        estimate = self._estimate(server_id)
        estimate.age_s, estimate.age_at = age_s, now

    def note_behind(
        self, server_id: str, group: GroupView, required: LogPosition, now: float
    ) -> None:
        """Raises the lag of a member that did not hold a position yet."""
        estimate = self._estimate(server_id)
        seen = now - self._first_seen.setdefault((group.name, required), now)
        raised = max(estimate.lag_s, seen) * LAG_GROWTH + LAG_STEP_S
        estimate.lag_s, estimate.lag_at = min(raised, LAG_MAX_S), now

    def note_caught_up(
        self, server_id: str, group: GroupView, required: LogPosition, now: float
    ) -> None:
        """Lowers the lag of a member that held a position."""
        estimate = self._estimate(server_id)
        seen = self._first_seen.get((group.name, required))
        if seen is not None:
            estimate.lag_s = min(estimate.lag_s, now - seen)
            estimate.lag_at = now

    def _lag(self, server_id: str, now: float) -> float:
        estimate = self._estimate(server_id)
        return estimate.lag_s if now - estimate.lag_at < LAG_EXPIRES_S else 0.0

    def _failed(self, server_id: str, now: float) -> bool:
        return now - self._estimate(server_id).failed_at < FAILURE_EXPIRES_S

    def _is_far(self, server: BackendServer) -> bool:
        return server.data_centre != self._data_centre

    def _estimate(self, server_id: str) -> _MemberEstimate:
        return self._estimates.setdefault(server_id, _MemberEstimate())

    def _by_load(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Puts the better of two random members of each data centre first."""
        shuffled = self._source.sample(servers, len(servers))
        order: list[BackendServer] = []
        for data_centre in {server.data_centre: None for server in shuffled}:
            members = [server for server in shuffled if server.data_centre == data_centre]
            order += sorted(members[:2], key=lambda server: self._estimate(server.id).wait_s)
            order += members[2:]
        return order
