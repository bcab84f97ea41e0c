"""Members whose entries have expired confirm a replaced primary to an instance that is cut off."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

import standins
from standins import Client, Closed, Gateway, Group, Network, Platform, Record, Sent
from standins import catalogue, link_pair, main, now, trouble
from world import free_ports

SERVICE = "huvo11a"
OTHER_SERVICES = ("huvo11a~2", "huvo11a~3")  # three groups, as on the sheet; these two are not used
CUT_S = 12.0  # node_cut in the site file: 12 s, share 0.35; one machine here
# The primary and one replica are cut off from the store, not from members and instances.
MEMBERS_CUT_AFTER_S = 0.5
MEMBERS_CUT_S = 5.0  # primary_cut how core: 5 s; srv_cut: 5 s, share 0.2; one of nine here
EXPIRES_S = 3.6  # three liveness report intervals of 1.2 s
HOME, AWAY = "front-chur-1", "front-chur-2"


async def use(record: Record, sent: list[Sent], gateway: Gateway, stop: asyncio.Event) -> None:
    """Writes and reads in one session with an instance; opens it again when it ends."""
    while not stop.is_set():
        client = Client(record, sent, gateway, "orders")
        try:
            await client.connect()
            while not stop.is_set() and not client.closed_by_peer:
                item = f"item{random.randrange(20)}"
                if random.random() < 0.3:
                    await client.query(f"WRITE {item} v{random.getrandbits(32):x}")
                else:
                    await client.query(f"READ {item}")
                await asyncio.sleep(0.01)
            client.close()
        except (Closed, OSError, TimeoutError):
            await asyncio.sleep(0.1)


def configuration() -> dict[str, object]:
    """One `primary` route and one service for each group."""
    merged: dict[str, list[object]] = {"routeTable": [], "services": []}
    whole: dict[str, object] = {}
    for number, service in enumerate((SERVICE, *OTHER_SERVICES), 1):
        route = {
            "name": f"r-{number}",
            "dbName": "orders" if number == 1 else f"orders{number}",
            "routeType": "primary",
            "timeoutMs": 800,
            "targetLatencyMs": 100,
            "priority": 0,
        }
        one = catalogue(service, [route], connections=50)
        assert isinstance(one, dict)
        whole = {**one, **whole}
        for name, entries in merged.items():
            entries += one[name]
    return {**whole, **merged}


async def run(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    network = Network()
    platform = Platform(network, record)
    group = platform.groups[SERVICE] = Group(SERVICE, network, record, promote_s=0.3)
    for zone in ("chur", "stgallen", "sargans"):
        group.add(f"i-{zone}", zone, primary=zone == "stgallen", slots=5, queue=40, work_s=0.005)
    everyone = list(group.members.values())
    for number, name in enumerate(OTHER_SERVICES, 2):
        other = platform.groups[name] = Group(name, network, record, promote_s=0.3)
        for zone in ("chur", "stgallen", "sargans"):
            is_primary = zone == "stgallen"
            everyone.append(
                other.add(f"i-{zone}-{number}", zone, primary=is_primary, slots=5, queue=40, work_s=0.005)
            )
    platform.put("op", "config", configuration())
    home, away = Gateway(HOME, "chur", folder), Gateway(AWAY, "chur", folder)
    gateways += [home, away]
    for one in gateways:
        await platform.listen(one.name)
        for member in everyone:
            await member.listen(one.name)
    for member in everyone:
        platform.put_member(member)
    await link_pair(network, platform, home, away)
    for one in gateways:
        own = f"127.0.0.1:{one.ports['control']}"
        one.start(platform.ports[one.name], platform.ports[one.name], [own])
    for one in gateways:
        await one.wait_ready()
    await asyncio.sleep(2.0)

    # A planned change long before, so that the group has a record of its primary. The member that
    # leaves starts again under its id, as a replica.
    former = group.members["i-stgallen"]
    former.state = "draining"
    platform.put_member(former)
    for _ in range(100):
        await asyncio.sleep(0.1)
        if group.leader is not former and former.role == "replica":
            break
    await asyncio.sleep(1.0)
    for writer in list(former._writers):
        writer.transport.abort()
    former.state, former.born = "ready", former.born + 10_000
    platform.put_member(former)
    await asyncio.sleep(2.0)

    sent: list[Sent] = []
    stop = asyncio.Event()
    users = [asyncio.create_task(use(record, sent, one, stop)) for one in gateways * 5]
    await asyncio.sleep(2.0)
    cut_at = now()

    async def until(seconds: float) -> None:
        await asyncio.sleep(max(cut_at + seconds - now(), 0.0))

    members = [member for member in group.members.values() if member is not former]
    if trouble():
        record(f"{AWAY} is cut off from the store and from {HOME}, not from members and clients")
        network.cut((AWAY, "store"), (AWAY, HOME))
        await until(MEMBERS_CUT_AFTER_S)
        record("the primary and a replica are cut off from the store alone")
        await until(MEMBERS_CUT_AFTER_S + EXPIRES_S)
        record("the entries of the primary and a replica are removed")
        platform._write({}, [("servers", member.name) for member in members])
        await until(MEMBERS_CUT_AFTER_S + MEMBERS_CUT_S)
        record("the entries of the primary and a replica are back")
        for member in members:
            platform.put_member(member)
    await until(CUT_S)
    network.heal()
    record("the cuts have ended")
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


standins.free_port = lambda: free_ports(1)[0]  # not one of those for outgoing connections
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the gateways are ended then, too
main(run, Path(__file__).parent)
