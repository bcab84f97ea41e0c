"""Samples of the log positions of primaries, which prove how old the data of a replica can be.

A sample states that everything acknowledged before `taken_at` is at or below the position `at`. A
member whose log contains `at` therefore answers with data at most `now - taken_at` old. Both times
come from this instance's clock, so clocks need not agree.
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

MAX_SAMPLES = 1024
THINNING_DISTANCE = 1 / 32  # minimum distance of thinned samples, as a share of their age
SAMPLES_PER_AGE = 8  # sampling adds at most an eighth of the allowed age to the bound
MIN_SAMPLING_PERIOD_S = 0.02
MAX_SAMPLING_PERIOD_S = 1.0
IDLE_TIMEOUT_S = 5.0  # sampling of a group stops this long after its last aged read
SAMPLE_TIMEOUT_S = 0.5
_CODES_KEEPING_PRIMARY = (ResultCode.NOT_OWNER, ResultCode.PEER_UNREACHABLE)


@dataclass(frozen=True, slots=True)
class PositionSample:
    """Position of a primary whose term a majority still followed after `taken_at`.

    Attributes:
        taken_at: Event-loop time, in seconds, just before the position was requested.
        at: The position.
        majority: Whether a majority also has the position, so that no failover loses it.
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
        """Adds a sample unless a newer one is known, since answers may arrive out of order."""
        latest = self.latest
        if latest is not None and sample.taken_at <= latest.taken_at:
            return
        self._samples.append(sample)
        if len(self._samples) > MAX_SAMPLES:
            self._thin(sample.taken_at)

    def age(self, at: LogPosition, now: float) -> float | None:
        """Upper bound in seconds of the age of data at a position; None if no sample proves one."""
        for sample in reversed(self._samples):
            if self._group.contains(at, sample.at):
                return now - sample.taken_at
        return None

    def is_confirmed(self, at: LogPosition) -> bool:
        """Whether a majority had this position or a later one of the same term."""
        return any(
            sample.majority and sample.at.term == at.term and sample.at.position >= at.position
            for sample in self._samples
        )

    def _thin(self, now: float) -> None:
        """Drops samples so that the distance between the kept ones grows with their age.

        Every write adds a sample, so dropping the oldest ones would leave a slow replica of a busy
        group without proof within seconds. Thinning raises a proven age by at most 1/32.
        """
        kept = [self._samples[-1]]
        for sample in reversed(self._samples[:-1]):
            if kept[-1].taken_at - sample.taken_at >= (now - sample.taken_at) * THINNING_DISTANCE:
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
        self._demands: dict[str, _SamplingDemand] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._samples_taken = 0

    @property
    def samples_taken(self) -> int:
        """Number of samples that were requested and confirmed."""
        return self._samples_taken

    def samples(self, group: GroupView) -> PositionSamples:
        """Returns the samples of a group."""
        known = self._samples.get(group.name)
        if known is None:
            known = self._samples[group.name] = PositionSamples(group)
        return known

    async def request_samples(self, group: GroupView, max_age_s: float) -> None:
        """Keeps sampling a group for an aged read, and waits briefly if no sample is new enough."""
        now = asyncio.get_running_loop().time()
        demand = self._demands.setdefault(group.name, _SamplingDemand(max_age_s, now))
        demand.record_read(max_age_s, now)
        task = self._tasks.get(group.name)
        if task is None or task.done():
            demand.first_attempt_done = asyncio.Event()
            self._tasks[group.name] = asyncio.create_task(self._run_sampling(group, demand))
        latest = self.samples(group).latest
        if latest is None or now - latest.taken_at > max_age_s:
            try:
                await asyncio.wait_for(
                    demand.first_attempt_done.wait(), min(max_age_s, SAMPLE_TIMEOUT_S)
                )
            except TimeoutError:
                return  # the read continues without a sample and may go to the primary

    def close(self) -> None:
        """Cancels the sampling tasks."""
        for task in self._tasks.values():
            task.cancel()

    async def _run_sampling(self, group: GroupView, demand: _SamplingDemand) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() - demand.last_read_at < IDLE_TIMEOUT_S:
            started = loop.time()
            try:
                await self._take_sample(group)
            except WigeonpointError as error:
                # The older samples remain valid proof until they exceed the allowed age.
                if group.primary is not None and error.code not in _CODES_KEEPING_PRIMARY:
                    group.forget_primary(group.primary.id)
            finally:
                demand.first_attempt_done.set()
            await asyncio.sleep(
                max(0.0, started + demand.period_s - loop.time()) or MIN_SAMPLING_PERIOD_S
            )
        self._demands.pop(group.name, None)

    async def _take_sample(self, group: GroupView) -> None:
        primary = await group.require_primary()
        taken_at = asyncio.get_running_loop().time()
        reply = await self._transport.request(
            self._topology.owner_of(primary).address,
            SamplePositionMessage(group.name, primary.id),
            SamplePositionReply,
            timeout=SAMPLE_TIMEOUT_S,
        )
        self._samples_taken += 1
        self.samples(group).add(PositionSample(taken_at, reply.at))


class _SamplingDemand:
    """Recent aged reads of one group; their lowest allowed age sets the sampling period."""

    def __init__(self, max_age_s: float, now: float) -> None:
        self.last_read_at = now
        self.first_attempt_done = asyncio.Event()
        self._lowest_age_s = max_age_s
        self._lowest_age_at = now

    @property
    def period_s(self) -> float:
        """Time between two samples, in seconds."""
        return min(
            MAX_SAMPLING_PERIOD_S, max(MIN_SAMPLING_PERIOD_S, self._lowest_age_s / SAMPLES_PER_AGE)
        )

    def record_read(self, max_age_s: float, now: float) -> None:
        """Records a read; the lowest age is kept until no read has asked for it for a while."""
        self.last_read_at = now
        if max_age_s <= self._lowest_age_s or now - self._lowest_age_at > IDLE_TIMEOUT_S:
            self._lowest_age_s = max_age_s
            self._lowest_age_at = now


class PositionSampleService:
    """Answers requests for samples with a primary's log end, after a majority confirmed its term.

    The position itself is not confirmed, because a sample need not survive a failover: if the
    position is lost later, the sample just proves nothing.

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
        """Reads the position of a primary and confirms its term."""
        group = self._topology.group(message.group)
        server = group.server(message.server_id)
        if server is None:
            raise NotRun(
                ResultCode.NOT_OWNER, f"{message.server_id} is not known to {self._topology.own.id}"
            )
        status = await self._backend.member(server.address).status(timeout=SAMPLE_TIMEOUT_S)
        group.note_status(server.id, status)
        await group.confirmer.confirm(
            status.at, server.id, timeout=SAMPLE_TIMEOUT_S, durability=Durability.PRIMARY
        )
        return SamplePositionReply(status.at.term, status.at.position)
