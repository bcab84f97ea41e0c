"""Confirmed positions of primaries with this instance's own time, which prove the age of reads.

A sample says: everything acknowledged before `taken_at` is at or below `at`. A member whose log
contains `at` therefore answers with data that is at most `now - taken_at` old, by one clock only.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from wigeonpoint.backend import Backend, LogPosition
from wigeonpoint.connection import (
    PeerDispatcher,
    PeerTransport,
    SamplePositionMessage,
    SamplePositionReply,
)
from wigeonpoint.errors import NotRun, ResultCode, WigeonpointError
from wigeonpoint.process._topology import Topology
from wigeonpoint.version import Durability, GroupView

SAMPLES_KEPT = 1024
THINNED_DISTANCE = 1 / 32  # of a sample's age
SAMPLES_PER_AGE = 8  # a sample misses the replica's position by at most an eighth of the age
MIN_PERIOD_S = 0.02
MAX_PERIOD_S = 1.0
IDLE_S = 5.0  # sampling of a group stops this long after its last aged read
SAMPLE_TIMEOUT_S = 0.5
_KEEPS_PRIMARY = (ResultCode.NOT_OWNER, ResultCode.PEER_UNREACHABLE)


@dataclass(frozen=True, slots=True)
class PositionSample:
    """A position of a primary whose term a majority obeyed after `taken_at`.

    Attributes:
        taken_at: Event-loop time, in seconds, before the position was asked for.
        at: The position.
        majority: Whether a majority also held the position, so that no failover loses it.
    """

    taken_at: float
    at: LogPosition
    majority: bool = False


class PositionSamples:
    """Recent samples of one group, oldest first.

    Args:
        group: The group.
    """

    def __init__(self, group: GroupView) -> None:
        self._group = group
        self._samples: list[PositionSample] = []

    @property
    def latest(self) -> PositionSample | None:
        """The newest sample."""
        return self._samples[-1] if self._samples else None

    def add(self, sample: PositionSample) -> None:
        """Takes a sample; answers arrive out of order, so an older one than the newest is left."""
        latest = self.latest
        if latest is not None and sample.taken_at <= latest.taken_at:
            return
        self._samples.append(sample)
        if len(self._samples) > SAMPLES_KEPT:
            self._thin(sample.taken_at)

    def age(self, at: LogPosition, now: float) -> float | None:
        """Seconds that data at a position is old at most, or None without proof."""
        for sample in reversed(self._samples):
            if self._group.contains(at, sample.at):
                return now - sample.taken_at
        return None

    def is_confirmed(self, at: LogPosition) -> bool:
        """Whether a majority held a position at or past this one in the same term."""
        return any(
            sample.majority and sample.at.term == at.term and sample.at.position >= at.position
            for sample in self._samples
        )

    def _thin(self, now: float) -> None:
        """Keeps samples at distances that grow with their age.

        Every write adds a sample; forgetting the oldest ones would leave a slow replica of a busy
        group without proof within seconds. The bound of an age grows by a 32nd at most.
        """
        kept = [self._samples[-1]]
        for sample in reversed(self._samples[:-1]):
            if kept[-1].taken_at - sample.taken_at >= (now - sample.taken_at) * THINNED_DISTANCE:
                kept.append(sample)
        self._samples = kept[::-1]


class PositionSampler:
    """Samples the primaries of groups that have recent aged reads.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to owners.
    """

    def __init__(self, topology: Topology, transport: PeerTransport) -> None:
        self._topology = topology
        self._transport = transport
        self._samples: dict[str, PositionSamples] = {}
        self._demand: dict[str, _Demand] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self._count = 0

    @property
    def samples_taken(self) -> int:
        """Number of samples that were asked for and confirmed."""
        return self._count

    def samples(self, group: GroupView) -> PositionSamples:
        """Samples of a group."""
        known = self._samples.get(group.name)
        if known is None:
            known = self._samples[group.name] = PositionSamples(group)
        return known

    async def request_samples(self, group: GroupView, max_age_s: float) -> None:
        """Notes an aged read; the first one of a group waits for a sample."""
        now = asyncio.get_running_loop().time()
        demand = self._demand.setdefault(group.name, _Demand(max_age_s, now))
        demand.note(max_age_s, now)
        running = self._running.get(group.name)
        if running is None or running.done():
            demand.first = asyncio.Event()
            self._running[group.name] = asyncio.create_task(self._sample(group, demand))
        latest = self.samples(group).latest
        if latest is None or now - latest.taken_at > max_age_s:
            try:
                await asyncio.wait_for(demand.first.wait(), min(max_age_s, SAMPLE_TIMEOUT_S))
            except TimeoutError:
                return  # the read goes on without a sample and may reach the primary

    def close(self) -> None:
        """Ends sampling."""
        for task in self._running.values():
            task.cancel()

    async def _sample(self, group: GroupView, demand: _Demand) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() - demand.last_read_at < IDLE_S:
            started = loop.time()
            try:
                await self._take(group)
            except WigeonpointError as error:
                # Older samples go on proving ages until they are too old.
                if group.primary is not None and error.code not in _KEEPS_PRIMARY:
                    group.forget_primary(group.primary.id)
            finally:
                demand.first.set()
            await asyncio.sleep(max(0.0, started + demand.period - loop.time()) or MIN_PERIOD_S)
        self._demand.pop(group.name, None)

    async def _take(self, group: GroupView) -> None:
        primary = await group.require_primary()
        taken_at = asyncio.get_running_loop().time()
        reply = await self._transport.request(
            self._topology.owner_of(primary).address,
            SamplePositionMessage(group.name, primary.id),
            SamplePositionReply,
            timeout=SAMPLE_TIMEOUT_S,
        )
        self._count += 1
        self.samples(group).add(PositionSample(taken_at, reply.at))


class _Demand:
    """Aged reads of one group: the lowest stated age of the recent past sets the pace."""

    def __init__(self, max_age_s: float, now: float) -> None:
        self.last_read_at = now
        self.first = asyncio.Event()
        self._age_s = max_age_s
        self._age_at = now

    @property
    def period(self) -> float:
        """Seconds between two samples."""
        return min(MAX_PERIOD_S, max(MIN_PERIOD_S, self._age_s / SAMPLES_PER_AGE))

    def note(self, max_age_s: float, now: float) -> None:
        """Notes a read; a low age holds until no read has stated it for a while."""
        self.last_read_at = now
        if max_age_s <= self._age_s or now - self._age_at > IDLE_S:
            self._age_s = max_age_s
            self._age_at = now


class PositionSampleService:
    """Answers position samples: the primary's log end, after a majority obeyed its term.

    Only the term is confirmed, because a sample need not survive a failover: a position that is
    lost later only makes the proof fail.

    Args:
        topology: Live instances and groups.
        backend: Access to backend servers.
    """

    def __init__(self, topology: Topology, backend: Backend) -> None:
        self._topology = topology
        self._backend = backend

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler."""
        dispatcher.register(SamplePositionMessage, self.sample)

    async def sample(self, message: SamplePositionMessage) -> SamplePositionReply:
        """Reads and confirms the position of a primary."""
        group = self._topology.group(message.group)
        server = group.server(message.server_id)
        if server is None:
            raise NotRun(ResultCode.NOT_OWNER, f"{message.server_id} is not listed here")
        status = await self._backend.member(server.address).status(timeout=SAMPLE_TIMEOUT_S)
        group.note_status(server.id, status)
        await group.confirmer.confirm(
            status.at, server.id, timeout=SAMPLE_TIMEOUT_S, durability=Durability.PRIMARY
        )
        return SamplePositionReply(status.at.term, status.at.position)
