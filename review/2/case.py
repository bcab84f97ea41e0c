"""A service with `syncReplicas`: one replica receives nothing for a while, and the primary crashes."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from standins import Client, Closed, Gateway, Group, Network, Platform, Record, Sent
from standins import catalogue, main, now, trouble

SERVICE = "huvo11a"
DEAF_S = 5.0  # until the primary crashes; replica_lag "deaf crash" lasts 6 to 7 s
READERS = 140  # "About 148 sessions stand open"
WORK_S = 0.055  # of a statement, as timetable-view; 5 slots and 50 connections as in stable-core
THINK_S = 0.6


async def use(
    record: Record, sent: list[Sent], gateways: list[Gateway], stop: asyncio.Event, writes: bool
) -> None:
    """Reads, or writes, in long sessions."""
    while not stop.is_set():
        client = Client(record, sent, random.choice(gateways), "views")
        try:
            await client.connect()
            while not stop.is_set() and not client.closed_by_peer:
                item = f"item{random.randrange(20)}"
                if writes:
                    await client.query(f"WRITE {item} v{random.getrandbits(32):x}")
                else:
                    await client.query(f"READ {item}")
                await asyncio.sleep(THINK_S * random.uniform(0.5, 1.5))
            client.close()
        except (Closed, OSError, TimeoutError):
            await asyncio.sleep(0.1)


async def run(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    network = Network()
    platform = Platform(network, record)
    group = platform.groups[SERVICE] = Group(SERVICE, network, record, promote_s=0.3, sync=True)
    for zone in ("chur", "stgallen", "sargans"):
        group.add(f"i-{zone}", zone, primary=zone == "chur", slots=5, work_s=WORK_S)
    route = {
        "name": "r-1",
        "dbName": "views",
        "routeType": "bounded",
        "maxStalenessMs": 1500,
        "timeoutMs": 3000,
        "targetLatencyMs": 1500,
        "priority": 2,
    }
    platform.put("op", "config", catalogue(SERVICE, [route], sync=1))
    names = ["front-chur-1", "front-chur-2", "front-stgallen-1", "front-sargans-1"]
    for name in names:
        gateways.append(Gateway(name, name.split("-")[1], folder))
        await platform.listen(name)
        for member in group.members.values():
            await member.listen(name)
    for member in group.members.values():
        platform.put_member(member)
    seeds = [f"127.0.0.1:{one.ports['control']}" for one in gateways[1:]]
    for one in gateways:
        one.start(platform.ports[one.name], platform.ports[one.name], seeds)
    for one in gateways:
        await one.wait_ready()
    await asyncio.sleep(1.5)

    sent: list[Sent] = []
    stop = asyncio.Event()
    users = [
        asyncio.create_task(use(record, sent, gateways, stop, place < 8))
        for place in range(READERS + 8)
    ]
    await asyncio.sleep(4.0)
    primary, deaf = group.members["i-chur"], group.members["i-sargans"]
    acknowledged_before = 0
    if trouble():
        record("i-sargans receives nothing from now on")
        deaf.deaf = True
        await asyncio.sleep(DEAF_S)
        record("the primary i-chur crashes")
        primary.crash()
        platform.rows.pop(("servers", primary.name))  # its entry goes with its reports; no feed yet
        crashed_at = now()
    else:
        await asyncio.sleep(DEAF_S)
        crashed_at = now()
    while trouble() and group.leader is primary and now() < crashed_at + 15:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.wait(users, timeout=6.0)

    by_sid = {one.sid: one for one in sent}
    acknowledged = {
        sid
        for sid in group.commits
        if sid in by_sid and by_sid[sid].outcome == "ok" and by_sid[sid].proof == group.proofs[sid]
    }
    lost = sorted(acknowledged & group.missing_at_promotion, key=lambda sid: by_sid[sid].ended_at)
    leader = group.leader.name if group.leader else None
    record.say(f"{len(acknowledged)} writes acknowledged; {leader} leads at the end")
    if lost:
        record.say(
            f"LOST: {len(lost)} acknowledged writes are not in the log of the promoted {leader}, "
            f"acknowledged {crashed_at - by_sid[lost[0]].ended_at:.2f} to "
            f"{crashed_at - by_sid[lost[-1]].ended_at:.2f} s before the crash; "
            f"e.g. {lost[0]}"
        )
    if len(acknowledged) < 50:
        raise RuntimeError("too little was served to judge")
    if trouble() and group.leader is primary:
        raise RuntimeError("no member was promoted")
    return bool(lost)


main(run, Path(__file__).parent)
