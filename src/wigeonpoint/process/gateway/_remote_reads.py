"""Reads of one group that are served in other data centres: which leave, and their traffic."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from wigeonpoint.connection.session import LatencyEstimate
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._read_placement import RemoteChoice
from wigeonpoint.process.gateway.pool import MemberPool
from wigeonpoint.process.policy import RemoteShare
from wigeonpoint.request import Rank
from wigeonpoint.version.catalogue import MemberRecord

ANSWERS_HALF_LIFE_S = 2.0  # after which what was expected counts as much as the last answers
MIN_TARGET_S = 0.001  # for a route that is configured without an objective


class RemoteReads:
    """Decides for each rank which reads leave, and counts statements and bytes.

    Args:
        group: Name of the group.
        data_centre: Data centre of this instance.
        cost_s: Cost of the traffic of a read, in seconds of a caller's time.
    """

    def __init__(self, group: str, data_centre: str, cost_s: float) -> None:
        self._group = group
        self._data_centre = data_centre
        self._cost_s = cost_s
        self._shares: dict[Rank, RemoteShare] = {}
        self._seconds: dict[tuple[Rank, bool], LatencyEstimate] = {}
        self.statements: Counter[str] = Counter()  # by data centre
        self.sent_bytes: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()

    def share(self, rank: Rank) -> float:
        """Share of the reads of a rank that leave."""
        share = self._shares.get(rank)
        return share.share if share is not None else 0.0

    def is_remote(self, record: MemberRecord) -> bool:
        """Whether a member is in another data centre."""
        return record.data_centre != self._data_centre

    def gives_way(
        self, record: MemberRecord, pools: Iterable[MemberPool], primary_id: str | None
    ) -> bool:
        """Whether reads at a member must not delay the urgent work of its data centre.

        They could be served here, but later.

        Args:
            record: The member.
            pools: Pools of all members of the group.
            primary_id: The primary, which serves reads in place of no replica.
        """
        if record.id == primary_id or not self.is_remote(record):
            return False
        return any(
            pool.health.available and pool.takes_new and not self.is_remote(pool.record)
            for pool in pools
            if pool.record.id != primary_id
        )

    def choice(self, rank: Rank, target_s: float, now: float) -> RemoteChoice:
        """Returns what decides about one read.

        Args:
            rank: Urgency of the read.
            target_s: Latency objective of its route, in seconds.
            now: Event-loop time in seconds.
        """
        return _ReadChoice(self, self._cost_s, rank, max(target_s, MIN_TARGET_S), now)

    def decide(self, read: _ReadChoice, local_s: float, remote_s: float) -> bool:
        """Whether a read leaves, by the expected seconds here and elsewhere."""
        share = self._shares.setdefault(read.rank, RemoteShare())
        before = share.share
        usual_local_s = self._usual_s(read.rank, False, local_s, read.now)
        usual_remote_s = self._usual_s(read.rank, True, remote_s, read.now)
        result = share.leaves(
            read.advantage(usual_local_s, usual_remote_s),
            read.advantage(local_s, remote_s),
            read.now,
        )
        self._log_change(read.rank, before, share.share, usual_local_s, usual_remote_s)
        return result

    def note_answer(self, rank: Rank, *, remote: bool, seconds: float, now: float) -> None:
        """Records after how many seconds a read of a rank was answered, here or elsewhere."""
        self._seconds.setdefault((rank, remote), LatencyEstimate()).record(seconds, now)

    def _usual_s(self, rank: Rank, remote: bool, expected_s: float, now: float) -> float:
        """Seconds that reads of a rank took lately; what is expected now if that is not known.

        The members' estimates are of all ranks together, of which the urgent ones wait least.
        """
        answers = self._seconds.get((rank, remote))
        if answers is None:
            return expected_s
        weight = 0.5 ** (answers.age_s(now) / ANSWERS_HALF_LIFE_S)
        return expected_s + (answers.mean_s - expected_s) * float(weight)

    def note_refused(self, rank: Rank) -> None:
        """Records that a read was refused where it was sent."""
        share = self._shares.get(rank)
        if share is not None:
            share.note_refused()

    def note_statement(self, data_centre: str, *, sent: int, received: int) -> None:
        """Counts a statement that another data centre answered.

        Args:
            data_centre: Where it was answered.
            sent: Bytes of its text.
            received: Bytes of its rows.
        """
        self.statements[data_centre] += 1
        self.sent_bytes[data_centre] += sent
        self.received_bytes[data_centre] += received

    def _log_change(
        self, rank: Rank, before: float, after: float, local_s: float, remote_s: float
    ) -> None:
        if bool(before) == bool(after):
            return
        log_event(
            Event.REMOTE_READS_STARTED if after else Event.REMOTE_READS_ENDED,
            group=self._group,
            rank=str(rank),
            local_ms=round(local_s * 1000, 1),
            remote_ms=round(remote_s * 1000, 1),
        )


@dataclass(frozen=True, slots=True)
class _ReadChoice:
    """Implements `RemoteChoice` for one read."""

    remote_reads: RemoteReads
    cost_s: float
    rank: Rank
    target_s: float
    now: float

    def saves_time(self, local_s: float, remote_s: float) -> bool:
        """Whether a read is answered sooner elsewhere by more than its traffic costs."""
        return self.advantage(local_s, remote_s) > 0

    def leaves(self, local_s: float, remote_s: float) -> bool:
        """Whether a read that a local replica can serve leaves."""
        return self.remote_reads.decide(self, local_s, remote_s)

    def advantage(self, local_s: float, remote_s: float) -> float:
        """Time saved by leaving, less the cost of the traffic, as a share of the objective."""
        return (local_s - remote_s - self.cost_s) / self.target_s
