"""With syncReplicas 1, a planned change promotes a replica that lacks acknowledged commits."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from world import Client, Gateways, Group, Record, Store, configuration, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "huvo11a"
ZONES = ["chur", "stgallen", "sargans", "sargans"]
DEAF_S = 6.5  # a replica receives nothing for so long
REPLICA_CRASH_AFTER_S = 0.5  # the other replica
DRAINING_AFTER_S = 4.6  # the primary, which goes on serving
DOWN_S = 7.0
TIME_LIMIT_S = 100.0
BROKEN = 3  # exit status, which no error of Python has; run.sh turns it into 1

Acked = dict[str, str]  # ids of acknowledged writes, by item


async def write_on(client: Client, index: int, acked: Acked) -> None:
    """Writes an item of its own with each statement, at one gateway."""
    number = 0
    while True:
        if not client.connected and not await client.connect(index, "orders"):
            await asyncio.sleep(0.1)
            continue
        number += 1
        item = f"{client.name}n{number}"
        query_id, lines = await client.query(f"WRITE {item} x")
        if lines and lines[0].startswith("COMPLETE"):
            acked[item] = query_id
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
    group = Group(SERVICE, store, record, promote_s=0.3, lag_s=0.02, slots=5, sync=1)
    store.put("op", "config", configuration(SERVICE, connections=50, sync=1))
    primary = await group.add("i-a", "chur", primary=True)
    other = await group.add("i-b", "stgallen", primary=False)
    deaf = await group.add("i-c", "sargans", primary=False)
    gateways = Gateways(folder, record, store, ZONES)
    indices = range(len(ZONES))
    acked: Acked = {}
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
            client = Client(gateways, record, f"c{index}")
            tasks.append(asyncio.create_task(write_on(client, index, acked)))
        await asyncio.sleep(4.5)  # all machines are in touch
        began = now()
        if TROUBLE:
            deaf.deaf = True
            record("deaf", id=deaf.id)
            await asyncio.sleep(REPLICA_CRASH_AFTER_S)
            other.crash()
        await asyncio.sleep(began + DRAINING_AFTER_S - now())
        primary.drain()
        await asyncio.sleep(began + DEAF_S - now())
        if TROUBLE:
            deaf.deaf = False
            record("hears", id=deaf.id)
            await asyncio.sleep(began + REPLICA_CRASH_AFTER_S + DOWN_S - now())
            await other.restart()
        await asyncio.sleep(began + DRAINING_AFTER_S + 9.0 - now())
    finally:
        for task in tasks:
            task.cancel()
        gateways.stop()
    return judge(record, group, acked)


def judge(record: Record, group: Group, acked: Acked) -> int:
    """LOST: acknowledged commits that are not in the log of a member that is promoted.

    Commits that the promoted member itself acknowledged later are left out.
    """
    lost: set[str] = set()
    for member_id, log in group.led_with:
        before = {item for _, item, _ in log}
        promoted_at = len(log)
        later = {item for _, item, _ in group.members[member_id].log[promoted_at:]}
        missing = {item for item in acked if item not in before and item not in later}
        record("promoted", id=member_id, log_end=promoted_at, missing=len(missing))
        lost |= missing
    for item in sorted(lost):
        record("LOST", item=item, id=acked[item])
    print(f"LOST: {len(lost)} of {len(acked)} acknowledged writes are not in the promoted log")
    return BROKEN if lost else 0


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
