"""A leaving primary gets requests after drainMs, as all instances have been restarted meanwhile."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from world import Client, Gateways, Group, Member, Record, Store, configuration, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "huvo11a"
ZONES = ["chur", "stgallen", "sargans", "sargans"]
CONTACT_S, DRAIN_S = 4.0, 7.0  # contactMs, drainMs
MARGIN_S = 0.05  # in favour of the gateways
LOST_BEFORE_DRAIN_S = 1.0  # one machine, for good
KILL_AFTER_DRAIN_S = 2.6  # the processes of all others
RESTART_S = 0.3
OBSERVED_S = 13.0
TIME_LIMIT_S = 100.0
BROKEN = 3  # exit status, which no error of Python has; run.sh turns it into 1

Sent = dict[str, tuple[float, float, str]]  # by id: when sent, when its gateway started, its name


async def read_on(client: Client, index: int, gateways: Gateways, sent: Sent) -> None:
    """Reads on a `primary` route of one gateway, one statement after the other."""
    while True:
        if index not in gateways.processes:
            await asyncio.sleep(0.05)
        elif not client.connected and not await client.connect(index, "orders"):
            await asyncio.sleep(0.1)
        else:
            started_at, sent_at = gateways.started_at.get(index, now()), now()
            query_id, _ = await client.query("READ item")
            sent[query_id] = sent_at, started_at, gateways.names[index]
            await asyncio.sleep(0.02)


async def serves_writes(gateways: Gateways, record: Record, index: int) -> bool:
    client = Client(gateways, record, f"probe{index}")
    try:
        if not await client.connect(index, "orders"):
            return False
        _, lines = await client.query("WRITE item first")
        return bool(lines) and lines[0].startswith("COMPLETE")
    finally:
        client.close()


async def play(record: Record, folder: Path) -> int:
    store = Store(record)
    await store.start()
    group = Group(SERVICE, store, record, promote_s=1.0, lag_s=0.06, slots=2)
    store.put("op", "config", configuration(SERVICE, connections=16))
    primary = await group.add("i-a", "chur", primary=True)
    await group.add("i-b", "stgallen", primary=False)
    await group.add("i-c", "sargans", primary=False)
    gateways = Gateways(folder, record, store, ZONES)
    indices = range(len(ZONES))
    sent: Sent = {}
    tasks: list[asyncio.Task[None]] = []
    try:
        for index in indices:
            gateways.start(index)
        end = now() + 25
        while not all([await serves_writes(gateways, record, index) for index in indices]):
            if now() > end:
                print("the gateways do not serve writes", file=sys.stderr)
                return 2
            await asyncio.sleep(0.3)
        for index in indices:
            for number in range(2):
                client = Client(gateways, record, f"c{index}{number}")
                tasks.append(asyncio.create_task(read_on(client, index, gateways, sent)))
        await asyncio.sleep(CONTACT_S + 0.5)  # all machines are in touch
        if TROUBLE:
            gateways.kill(3)
        await asyncio.sleep(LOST_BEFORE_DRAIN_S)
        primary.drain()
        drained_at = now()
        await asyncio.sleep(KILL_AFTER_DRAIN_S)
        if TROUBLE:
            for index in range(3):
                gateways.kill(index)
            await asyncio.sleep(RESTART_S)
            for index in range(3):
                gateways.start(index)
        await asyncio.sleep(drained_at + OBSERVED_S - now())
    finally:
        for task in tasks:
            task.cancel()
        gateways.stop()
    return judge(record, primary, drained_at, sent)


def judge(record: Record, primary: Member, drained_at: float, sent: Sent) -> int:
    """DRAIN: requests that a machine in touch took and sent on, and that came later than drainMs."""
    late = 0
    for ran_at, query_id, _ in primary.runs:
        after_drain_s = ran_at - drained_at
        if after_drain_s <= DRAIN_S + MARGIN_S or query_id not in sent:
            continue
        sent_at, started_at, gateway = sent[query_id]
        if sent_at - started_at >= CONTACT_S + MARGIN_S:
            late += 1
            record(
                "LATE",
                id=query_id,
                gateway=gateway,
                after_drain_s=round(after_drain_s, 3),
                after_start_s=round(sent_at - started_at, 3),
            )
    record("result", late=late)
    print(f"DRAIN: {late} requests reached the leaving member later than drainMs after its ack")
    return BROKEN if late else 0


def main() -> int:
    record = Record(HERE / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the gateways are ended then, too
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(asyncio.wait_for(play(record, Path(folder)), TIME_LIMIT_S))
    except Exception as error:  # a case that could not run says so by its exit code
        print(repr(error), file=sys.stderr)
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
