"""A SIGTERM while clients ask one thing after the other in their long sessions."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins import Client, Closed, Gateway, Group, Network, Platform, Record, Sent
from standins import catalogue, main, now, trouble

SERVICE = "huvo11a"
SESSIONS = 12  # on the instance that is stopped
WORK_S = 0.055  # of a read, as the page gives it for timetable-view
TIMEOUT_S = 3.0  # of the route
GRACE_S = 6.0
STEADY_S = 4.5  # contactMs and a little more


async def use(record: Record, sent: list[Sent], gateways: list[Gateway], stop: asyncio.Event) -> None:
    """Keeps one session with the first gateway; asks again as soon as there is an answer.

    A session that is closed between two requests is opened again elsewhere, as the ingress does.
    """
    gateway = gateways[0]
    number = 0
    while not stop.is_set():
        client = Client(record, sent, gateway, "views")
        try:
            await client.connect()
            while not stop.is_set():
                number += 1
                await client.query(f"READ item{number % 7}")
                await asyncio.sleep(0.002)  # the way to the client and back
                if client.closed_by_peer:
                    break
            client.close()
        except (Closed, OSError):
            pass
        gateway = gateways[1]


async def run(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    network = Network()
    platform = Platform(network, record)
    group = platform.groups[SERVICE] = Group(SERVICE, network, record, promote_s=0.3)
    zones = ("chur", "stgallen", "sargans")
    for place, zone in enumerate(zones):
        group.add(f"i-{zone}", zone, primary=place == 0, work_s=WORK_S)
    route = {
        "name": "r-1",
        "dbName": "views",
        "routeType": "bounded",
        "maxStalenessMs": 1500,
        "timeoutMs": TIMEOUT_S * 1000,
        "targetLatencyMs": 1500,
        "priority": 2,
    }
    platform.put("op", "config", catalogue(SERVICE, [route]))
    for name, zone in (("front-chur-1", "chur"), ("front-stgallen-1", "stgallen")):
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
    stop = asyncio.Event()
    users = [asyncio.create_task(use(record, sent, gateways, stop)) for _ in range(SESSIONS)]
    await asyncio.sleep(STEADY_S)
    stopped_at = now()
    first = gateways[0]
    if trouble():
        record("SIGTERM to front-chur-1")
        first.signal(signal.SIGTERM)
        await asyncio.wait_for(first.wait_ended(), GRACE_S + 1)
        record(f"front-chur-1 ended {now() - stopped_at:.2f} s after the SIGTERM")
        ended_after = now() - stopped_at
    else:
        await asyncio.sleep(GRACE_S)
        ended_after = 0.0
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.wait(users, timeout=TIMEOUT_S)

    lost = []
    for one in sent:
        if one.gateway != first.name or one.outcome != "closed" or one.sid not in group.ran:
            continue
        held_s = one.ended_at - one.sent_at
        late = one.sent_at > stopped_at + 3.0  # so that the last sixth of graceS is no excuse
        if held_s < 0.7 * TIMEOUT_S and (late or one.ended_at < stopped_at + GRACE_S * 5 / 6):
            lost.append((one, held_s))
    served = sum(1 for one in sent if one.outcome == "ok")
    record.say(f"{served} of {len(sent)} requests served; instance ended after {ended_after:.2f} s")
    for one, held_s in lost:
        record.say(
            f"LOST {one.sid}: sent {one.sent_at - stopped_at:.3f} s after the SIGTERM, passed on to "
            f"{group.ran[one.sid]}, connection ended without an answer after {held_s * 1000:.0f} ms"
        )
    if served < 50:
        raise RuntimeError("too little was served to judge")
    return bool(lost)


main(run, Path(__file__).parent)
