"""Measures the cost of membership for an instance; prints a JSON object.

Instances run in one process on a virtual clock, over an in-memory transport that encodes, counts
and decodes every message as the peer channel does. The results do not include sockets, Tornado's
WebSocket code and the platform's directory. Run: `PYTHONPATH=src python -m
tools.measure_membership`.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import time
import tracemalloc
from typing import Any, TypeVar

import looptime
import orjson
from pydantic import TypeAdapter

from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.errors import NotRun, ResultCode, WigeonpointError
from wigeonpoint.process import Swim
from wigeonpoint.version import InstanceRecord, MemberDelta, Membership, MemberState

ReplyT = TypeVar("ReplyT")

FRAME_OVERHEAD_BYTES = 8  # WebSocket header and mask of a message of more than 125 bytes
DELAY_S = 0.0005
SETTLE_S = 75.0  # deltas of 100 instances that start together need about 60 s to spread
WINDOW_S = 20.0
DETECTION_LIMIT_S = 60.0
MEMBERS_FOR_MEMORY = 2000
SEED = 5


class Wire:
    """In-memory network: dispatchers by address, and counts of messages between them."""

    def __init__(self) -> None:
        self.dispatchers: dict[str, PeerDispatcher] = {}
        self.bytes = 0
        self.messages = 0

    def encode(self, value: Any) -> bytes:
        """Encodes and counts a message."""
        data = orjson.dumps(value)
        self.bytes += len(data) + FRAME_OVERHEAD_BYTES
        self.messages += 1
        return data


class WireTransport:
    """Peer transport over a `Wire`."""

    def __init__(self, wire: Wire) -> None:
        self._wire = wire
        self._adapters: dict[type[Any], TypeAdapter[Any]] = {}

    async def request(
        self, address: str, message: Any, reply_type: type[ReplyT], *, timeout: float
    ) -> ReplyT:
        """Sends an encoded message to the receiver and decodes its reply."""
        kind = type(message).__name__
        frame = self._wire.encode({"id": self._wire.messages, "type": kind, "body": message})
        dispatcher = self._wire.dispatchers.get(address)
        if dispatcher is None:
            await asyncio.sleep(timeout)
            raise NotRun(ResultCode.PEER_UNREACHABLE, f"cannot connect to {address}")
        await asyncio.sleep(DELAY_S)
        received = orjson.loads(frame)
        try:
            body = await dispatcher.respond(received["type"], received["body"])
        except WigeonpointError as error:
            self._wire.encode({"id": received["id"], "error": {"code": int(error.code)}})
            raise
        reply = orjson.loads(self._wire.encode({"id": received["id"], "body": body}))
        adapter = self._adapters.get(reply_type)
        if adapter is None:
            adapter = self._adapters[reply_type] = TypeAdapter(reply_type)
        decoded: ReplyT = adapter.validate_python(reply["body"])
        return decoded

    def disconnect(self, address: str) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


def _record(data_centre: int, index: int) -> InstanceRecord:
    name = f"entry-{data_centre}-{index:03d}"
    return InstanceRecord(name, f"10.{data_centre}.1.{index}:8080", f"data-centre-{data_centre}")


class Fleet:
    """Membership of the instances of several data centres of the same size."""

    def __init__(self, size: int, data_centres: int) -> None:
        self.wire = Wire()
        self.members: dict[str, tuple[Membership, Swim]] = {}
        source = random.Random(SEED)
        for data_centre in range(data_centres):
            for index in range(size):
                self._add(_record(data_centre, index), random.Random(source.random()))

    def _add(self, record: InstanceRecord, source: random.Random) -> None:
        dispatcher = PeerDispatcher()
        membership = Membership(record)
        seeds = [_record(0, 0).address]
        transport = WireTransport(self.wire)
        swim = Swim(membership, transport, seeds=seeds, random_source=source)
        swim.register(dispatcher)
        self.wire.dispatchers[record.address] = dispatcher
        self.members[record.id] = (membership, swim)
        swim.start()

    def kill(self, record: InstanceRecord) -> None:
        """Stops an instance without telling the others."""
        del self.wire.dispatchers[record.address]
        self.members.pop(record.id)[1].close()

    def count_knowing_dead(self, record: InstanceRecord) -> int:
        """Returns the number of instances that consider an instance dead."""
        states = [membership.get(record.id) for membership, _ in self.members.values()]
        return sum(state is None or state.state is MemberState.DEAD for state in states)

    def close(self) -> None:
        """Stops all instances."""
        for _, swim in self.members.values():
            swim.close()


async def _measure(size: int, data_centres: int) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    fleet = Fleet(size, data_centres)
    await asyncio.sleep(SETTLE_S)
    complete = min(len(membership.live()) for membership, _ in fleet.members.values())
    count = len(fleet.members)
    bytes_before, messages_before = fleet.wire.bytes, fleet.wire.messages
    processor_before = time.process_time()
    await asyncio.sleep(WINDOW_S)
    processor = time.process_time() - processor_before
    per_instance = count * WINDOW_S
    figures = {
        "instances_per_data_centre": size,
        "data_centres": data_centres,
        "smallest_view_after_settling": complete,
        # Each message is sent by one instance and received by another.
        "bytes_per_second_sent_and_received": round(
            2 * (fleet.wire.bytes - bytes_before) / per_instance
        ),
        "messages_per_second_sent": round(
            (fleet.wire.messages - messages_before) / per_instance, 2
        ),
        "processor_ms_per_second": round(1000 * processor / per_instance, 3),
    }
    victim = _record(0, size - 1)
    fleet.kill(victim)
    killed = loop.time()
    first = None
    while fleet.count_knowing_dead(victim) < len(fleet.members):
        if first is None and fleet.count_knowing_dead(victim):
            first = loop.time() - killed
        if loop.time() - killed > DETECTION_LIMIT_S:
            break
        await asyncio.sleep(0.1)
    figures["seconds_until_dead_at_first"] = first and round(first, 1)
    figures["seconds_until_dead_everywhere"] = round(loop.time() - killed, 1)
    fleet.close()
    await asyncio.sleep(1)  # lets cancelled tasks end
    return figures


def _memory_per_member() -> int:
    tracemalloc.start()
    membership = Membership(_record(0, 0))
    before = tracemalloc.get_traced_memory()[0]
    for index in range(1, MEMBERS_FOR_MEMORY + 1):
        record = _record(index % 13, index)
        delta = MemberDelta(record, MemberState.LIVE, 0)
        membership.apply(delta, 0.0, source="data-centre-0")
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return round(used / MEMBERS_FOR_MEMORY)


def _slope(runs: list[dict[str, Any]], name: str) -> float:
    sizes = [run["instances_per_data_centre"] for run in runs]
    if len(set(sizes)) < 2:
        return 0.0
    return round(statistics.linear_regression(sizes, [run[name] for run in runs]).slope, 4)


def main() -> None:
    """Measures all sizes and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 50, 100])
    parser.add_argument("--data-centres", type=int, default=1)
    options = parser.parse_args()
    runs = []
    for size in options.sizes:
        loop = looptime.new_event_loop()
        runs.append(loop.run_until_complete(_measure(size, options.data_centres)))
        loop.close()
    names = ["bytes_per_second_sent_and_received", "processor_ms_per_second"]
    slopes = {f"{name}_per_instance_more": _slope(runs, name) for name in names}
    print(json.dumps({"runs": runs, "slopes": slopes, "bytes_per_member": _memory_per_member()}))


if __name__ == "__main__":
    main()
