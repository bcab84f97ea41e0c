"""A group whose first primary is lost while all instances are down never gets another primary."""

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
DOWN_S = float(os.environ.get("DOWN_S", "1.6"))  # all processes are killed
REPORTED_S = 1.1  # since the primary's last liveness report; it sends one each 1.2 s
RECOVERY_S = 12.0  # recoveryS
OBSERVED_S = 8.0  # after that
TIME_LIMIT_S = 100.0
BROKEN = 3  # exit status, which no error of Python has; run.sh turns it into 1

Answers = list[tuple[float, bool]]  # when a request was sent, and whether it was served


async def use(client: Client, index: int, gateways: Gateways, answers: Answers) -> None:
    """Reads on both routes, and writes, at one gateway."""
    number = 0
    while True:
        database = "orders" if index % 2 else "plans"
        sent_at = now()
        if index not in gateways.processes:
            await asyncio.sleep(0.05)
            continue
        if not client.connected and not await client.connect(index, database):
            answers.append((sent_at, False))
            await asyncio.sleep(0.2)
            continue
        number += 1
        text = f"WRITE item{number % 20} v{number}" if number % 5 == 0 else f"READ item{number % 20}"
        sent_at = now()
        _, lines = await client.query(text)
        answers.append((sent_at, bool(lines) and lines[-2].startswith("COMPLETE")))
        await asyncio.sleep(0.03)


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
    answers: Answers = []
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
            tasks.append(asyncio.create_task(use(client, index, gateways, answers)))
        await asyncio.sleep(4.5)
        fault_at = now()
        if TROUBLE:
            for index in indices:
                gateways.kill(index)
            primary.crash(reported_s=REPORTED_S)  # for good
            await asyncio.sleep(DOWN_S)
            for index in indices:
                gateways.start(index)
        back_at = now()
        await asyncio.sleep(RECOVERY_S + OBSERVED_S)
    finally:
        for task in tasks:
            task.cancel()
        gateways.stop()
    return judge(record, answers, fault_at, back_at + RECOVERY_S)


def judge(record: Record, answers: Answers, fault_at: float, judged_from: float) -> int:
    """RECOVER: less than a quarter is served after recoveryS, though a quarter was before."""
    before = [served for sent_at, served in answers if sent_at < fault_at]
    after = [served for sent_at, served in answers if sent_at >= judged_from]
    record("result", before=len(before), served_before=sum(before), after=len(after), served_after=sum(after))
    print(
        f"RECOVER: {sum(before)} of {len(before)} served before the fault, {sum(after)} of {len(after)}"
        f" of those sent later than {RECOVERY_S:g} s after the machines are back"
    )
    if 4 * sum(before) < len(before) or not after:
        return 2
    return BROKEN if 4 * sum(after) < len(after) else 0


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
