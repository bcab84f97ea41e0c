"""A zone is cut off for a moment while clients use the names of prepared statements again."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from standins import Client, Closed, Gateway, Group, Network, Platform, Record, Sent
from standins import catalogue, main, trouble

SERVICE = "huvo11a"
HOME, AWAY = "front-chur-1", "front-sargans-1"
SESSIONS = 24
THINK_S = 0.15
WORK_S = 0.015  # of a read, as route-view; 2 slots and 16 connections as signplan-db
CUT_S = 0.3  # zone_cut in the site file: 6.2 s at most


async def use(
    record: Record, sent: list[Sent], prepared: dict[str, str], gateway: Gateway, stop: asyncio.Event
) -> None:
    """Prepares one statement after the other under one name, and runs each of them."""
    while not stop.is_set():
        client = Client(record, sent, gateway, "views")
        try:
            await client.connect()
            await client.query(f"SET tenant t{random.randrange(1000)}")
            while not stop.is_set() and not client.closed_by_peer:
                shape = f"q{random.getrandbits(24):x}"
                await client.query(f"PREPARE s1 READ {shape}")
                await asyncio.sleep(THINK_S * random.uniform(0.0, 2.0))
                one = await client.query(f"EXECUTE s1 item{random.randrange(20)}")
                prepared[one.sid] = shape
                await client.query("DEALLOC s1")
            client.close()
        except (Closed, OSError, TimeoutError):
            await asyncio.sleep(0.1)


async def run(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    network = Network()
    platform = Platform(network, record)
    group = platform.groups[SERVICE] = Group(SERVICE, network, record, promote_s=0.3)
    for zone in ("chur", "stgallen", "sargans"):
        member = group.add(f"i-{zone}", zone, primary=zone == "chur", slots=2, work_s=WORK_S)
        member.queue, member.limit = 16, 16
    route = {
        "name": "r-1",
        "dbName": "views",
        "routeType": "bounded",
        "maxStalenessMs": 1500,
        "timeoutMs": 3000,
        "targetLatencyMs": 1500,
        "priority": 2,
    }
    platform.put("op", "config", catalogue(SERVICE, [route], connections=16))
    for name, zone in ((HOME, "chur"), (AWAY, "sargans")):
        gateways.append(Gateway(name, zone, folder))
        await platform.listen(name)
        for member in group.members.values():
            await member.listen(name)
    for member in group.members.values():
        platform.put_member(member)
    seeds = [f"127.0.0.1:{one.ports['control']}" for one in gateways]
    for one in gateways:
        one.start(platform.ports[one.name], platform.ports[one.name], seeds)
    for one in gateways:
        await one.wait_ready()
    await asyncio.sleep(1.0)

    sent: list[Sent] = []
    prepared: dict[str, str] = {}
    stop = asyncio.Event()
    users = [
        asyncio.create_task(use(record, sent, prepared, gateways[place % 2], stop))
        for place in range(SESSIONS)
    ]
    await asyncio.sleep(4.0)
    if trouble():
        record(f"zone stgallen, with i-stgallen, is cut off for {CUT_S} s")
        far = [HOME, AWAY, "i-chur", "i-sargans", "store"]
        network.cut(*(("i-stgallen", other) for other in far))
    await asyncio.sleep(CUT_S)
    network.heal()
    await asyncio.sleep(3.0)
    stop.set()
    await asyncio.wait(users, timeout=5.0)

    wrong = [one for one in group.executed if one[1] in prepared and prepared[one[1]] != one[3]]
    served = sum(1 for one in sent if one.outcome == "ok")
    record.say(f"{served} of {len(sent)} statements served; {len(group.executed)} EXECUTEs run")
    for at, sid, member, shape in wrong[:5]:
        ended = next(one.ended_at for one in sent if one.sid == sid)
        record.say(
            f"PINNED: {member} ran {sid} with the shape {shape}, its client had prepared "
            f"{prepared[sid]}; {at - ended:.3f} s after the client had its answer"
        )
    record.say(f"{len(wrong)} statements were run with another shape")
    if served < 200:
        raise RuntimeError("too little was served to judge")
    return bool(wrong)


main(run, Path(__file__).parent)
