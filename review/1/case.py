"""A zone is cut off while the instance of another zone is being started again in a rolling restart."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from standins import Client, Closed, Gateway, Group, Link, Network, Platform, Record, Sent
from standins import catalogue, main, now, trouble

SERVICE = "huvo11a"
CUT_S = 6.0  # zone_cut in the site file: 5.2 to 6.2 s
DOWN_S = 0.7  # "a process that exits is restarted after a short delay"
HOME, AWAY = "front-chur-1", "front-stgallen-1"


async def use(record: Record, sent: list[Sent], gateway: Gateway, stop: asyncio.Event) -> None:
    """Writes and reads in one session with an instance; opens it again when it ends."""
    while not stop.is_set():
        client = Client(record, sent, gateway, "orders")
        try:
            await client.connect()
            while not stop.is_set() and not client.closed_by_peer:
                item = f"item{random.randrange(20)}"
                if random.random() < 0.4:
                    await client.query(f"WRITE {item} v{random.getrandbits(32):x}")
                else:
                    await client.query(f"READ {item}")
                await asyncio.sleep(0.02)
            client.close()
        except (Closed, OSError, TimeoutError):
            await asyncio.sleep(0.1)


async def run(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    network = Network()
    platform = Platform(network, record)
    group = platform.groups[SERVICE] = Group(SERVICE, network, record, promote_s=0.5)
    for zone in ("chur", "stgallen", "sargans"):
        group.add(f"i-{zone}", zone, primary=zone == "chur", work_s=0.003)
    route = {
        "name": "r-1",
        "dbName": "orders",
        "routeType": "primary",
        "timeoutMs": 800,
        "targetLatencyMs": 100,
        "priority": 0,
    }
    platform.put("op", "config", catalogue(SERVICE, [route]))
    home, away = Gateway(HOME, "chur", folder), Gateway(AWAY, "stgallen", folder)
    gateways += [home, away]
    for one in gateways:
        await platform.listen(one.name)
        for member in group.members.values():
            await member.listen(one.name)
    for member in group.members.values():
        platform.put_member(member)
    # The ways between the two instances that the cut closes.
    to_away = Link(network, HOME, AWAY, away.ports["control"])
    to_home = Link(network, AWAY, HOME, home.ports["control"])
    await to_away.listen()
    await to_home.listen()
    addresses = {one.name: f"127.0.0.1:{one.ports['control']}" for one in gateways}
    home_seeds = [addresses[HOME], f"127.0.0.1:{to_away.port}"]
    away_seeds = [f"127.0.0.1:{to_home.port}", addresses[AWAY]]
    home.start(platform.ports[HOME], platform.ports[HOME], home_seeds)
    away.start(platform.ports[AWAY], platform.ports[AWAY], away_seeds)
    for one in gateways:
        await one.wait_ready()
    await asyncio.sleep(2.0)

    sent: list[Sent] = []
    stop, away_stop = asyncio.Event(), asyncio.Event()
    users = [asyncio.create_task(use(record, sent, home, stop)) for _ in range(3)]
    away_users = [asyncio.create_task(use(record, sent, away, away_stop)) for _ in range(3)]
    await asyncio.sleep(3.0)

    record(f"planned: SIGTERM to {AWAY}, which starts again when it has ended")
    away.signal(signal.SIGTERM)
    away_stop.set()
    await asyncio.wait_for(away.wait_ended(), 7.0)
    await asyncio.wait(away_users, timeout=6.0)
    record(f"{AWAY} has ended; registered: {sorted(platform.instances())}")
    if trouble():
        record("zone chur is cut off from the other zones and from the store")
        far = ["store", AWAY, "i-stgallen", "i-sargans"]
        near = [HOME, "i-chur"]
        network.cut(*((one, other) for one in near for other in far))
    cut_at = now()
    platform.peer_paths[AWAY, HOME] = f"127.0.0.1:{to_home.port}"
    await asyncio.sleep(DOWN_S)
    away.start(platform.ports[AWAY], platform.ports[AWAY], away_seeds, bootstrap=False)
    await away.wait_ready()
    record(f"{AWAY} is ready again")
    users += [asyncio.create_task(use(record, sent, away, stop)) for _ in range(3)]
    await asyncio.sleep(max(cut_at + CUT_S - now(), 0.0))
    network.heal()
    record("the cut has ended")
    await asyncio.sleep(2.0)
    stop.set()
    await asyncio.wait(users, timeout=8.0)

    return judge(record, group, sent)


def judge(record: Record, group: Group, sent: list[Sent]) -> bool:
    """STALE on a `primary` route: a read lacks a commit acknowledged before its first byte."""
    by_sid = {one.sid: one for one in sent}
    acknowledged = []
    lost = 0
    for sid, (member, _, by_leader) in group.commits.items():
        one = by_sid.get(sid)
        if one is None or one.outcome != "ok" or one.proof != group.proofs.get(sid):
            continue
        if by_leader and sid not in group.rolled_back:
            acknowledged.append((one.ended_at, sid, member))
        elif not by_leader:
            lost += 1
    stale = 0
    for _, sid, member, sids, _ in group.reads:
        read = by_sid.get(sid)
        if read is None or read.outcome != "ok":
            continue
        missing = [one for one in acknowledged if one[0] < read.sent_at and one[1] not in sids]
        if missing:
            stale += 1
            if stale <= 5:
                at, commit, where = missing[0]
                record.say(
                    f"STALE: read {sid} by {read.gateway} at {member} lacks {len(missing)} commits; "
                    f"{commit} was acknowledged at {where} {read.sent_at - at:.3f} s before it"
                )
    served = sum(1 for one in sent if one.outcome == "ok")
    record.say(
        f"{served} of {len(sent)} statements served; {stale} stale reads; {lost} writes acknowledged "
        "at the former primary after another member led"
    )
    if served < 200:
        raise RuntimeError("too little was served to judge")
    return stale > 0


main(run, Path(__file__).parent)
