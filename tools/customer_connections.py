"""Compares ways to divide a member's connections among customers.

Plays skewed demand of many customers on the pools of a member's holders of connections, in virtual
time and without a network, and counts handshakes, hops, closed connections and waits:

    PYTHONPATH=src:. python -m tools.customer_connections
"""

from __future__ import annotations

import argparse
import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from statistics import quantiles
from unittest import mock

import looptime

from wigeonpoint.connection.session import PooledConnection
from wigeonpoint.errors import NotRun
from wigeonpoint.process.gateway.pool import MemberPool, _customer_room
from wigeonpoint.process.gateway.pool._member_sharing import customer_order
from wigeonpoint.request import Rank
from wigeonpoint.request.session import TransactionState
from wigeonpoint.version.catalogue import MemberRecord

CUSTOMERS = 83
ZIPF_EXPONENT = 1.2
CONNECTION_LIMIT = 78
SLOTS = 5
HANDSHAKE_S = 0.012
STATEMENT_S = 0.024
TRANSACTION_SHARE = 0.16
TRANSACTION_PAUSE_S = 0.13  # between its three statements
TIME_LIMIT_S = 2.0
SETTLING_S = 15.0  # at the start, not counted

Victim = Callable[[Mapping[str, int], Iterable[str], Callable[[str], float]], str | None]


@dataclass
class Design:
    """A way to divide the connections.

    Attributes:
        name: Its name.
        relays: Holders of connections.
        gathers: Whether a customer's statements go to the same holder from all instances.
        victim: Chooses the customer that gives up a connection, None for the pool's own choice.
    """

    name: str
    relays: int
    gathers: bool
    victim: Victim | None = None


@dataclass
class Totals:
    """What is counted."""

    operations: int = 0
    refused: int = 0
    hops: int = 0
    handshakes: int = 0
    displaced: int = 0
    waits_s: list[float] = field(default_factory=list)


class SimulatedConnection:
    """A connection to the simulated member."""

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.closed = False
        self.verified = True

    def close(self) -> None:
        """Closes it."""
        self.closed = True


class SimulatedMember:
    """A member whose slots run statements and handshakes."""

    def __init__(self) -> None:
        self._slots = asyncio.Semaphore(SLOTS)
        self.handshakes = 0

    async def connect(
        self, record: MemberRecord, *, timeout: float, verify: bool = True, customer: str = ""
    ) -> SimulatedConnection:
        """Accepts a connection."""
        self.handshakes += 1
        await self.occupy(HANDSHAKE_S)
        return SimulatedConnection(customer)

    async def occupy(self, seconds: float) -> None:
        """Occupies a slot."""
        async with self._slots:
            await asyncio.sleep(seconds)


class Simulation:
    """Plays one design."""

    def __init__(self, design: Design, *, rate: float, hot_factor: float, seed: int) -> None:
        self._design = design
        self._rate = rate
        self._hot_factor = hot_factor
        self._random = random.Random(seed)
        self._member = SimulatedMember()
        self._totals = Totals()
        share = max(CONNECTION_LIMIT // design.relays, 1)
        record = MemberRecord("m1", "service", "member:1", "here", slots=SLOTS)
        self._pools = {
            f"relay-{number}": MemberPool(
                record,
                self._member,  # type: ignore[arg-type]
                share=lambda: share,
                limit=lambda: CONNECTION_LIMIT,
                running=lambda: SLOTS,
                names_customers=lambda: True,
            )
            for number in range(design.relays)
        }
        weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(CUSTOMERS)]
        weights[0] *= hot_factor
        self._weights = weights

    async def run(self, seconds: float) -> Totals:
        """Plays the demand for a time."""
        tasks: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        began = loop.time()
        counted = False
        while loop.time() - began < SETTLING_S + seconds:
            await asyncio.sleep(self._random.expovariate(self._rate))
            if not counted and loop.time() - began >= SETTLING_S:
                counted = True
                self._member.handshakes = 0
                self._totals = Totals(displaced=-self._displaced)
            task = asyncio.create_task(self._operation())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        self._totals.handshakes = self._member.handshakes
        self._totals.displaced += self._displaced
        return self._totals

    @property
    def _displaced(self) -> int:
        return sum(pool.displaced for pool in self._pools.values())

    def _pool(self, customer: str) -> MemberPool:
        names = list(self._pools)
        if self._design.gathers:
            return self._pools[customer_order("m1", customer, names)[0]]
        return self._pools[self._random.choice(names)]

    async def _operation(self) -> None:
        number = self._random.choices(range(CUSTOMERS), self._weights)[0]
        customer = f"customer-{number}"
        statements = 3 if self._random.random() < TRANSACTION_SHARE else 1
        loop = asyncio.get_running_loop()
        totals, pool = self._totals, self._pool(customer)
        totals.operations += 1
        totals.hops += self._design.relays > 1
        asked_at = loop.time()
        try:
            connection = await pool.acquire(
                Rank.STANDARD, caller=customer, deadline=asked_at + TIME_LIMIT_S, customer=customer
            )
        except NotRun:
            totals.refused += 1
            return
        totals.waits_s.append(loop.time() - asked_at)
        await self._use(pool, connection, statements)

    async def _use(self, pool: MemberPool, connection: PooledConnection, statements: int) -> None:
        connection.state = TransactionState.OPEN
        for number in range(statements):
            connection.resting = False
            await self._member.occupy(self._random.expovariate(1 / STATEMENT_S))
            connection.resting = True
            pool.note_resting()
            if number < statements - 1:
                await asyncio.sleep(TRANSACTION_PAUSE_S)
        connection.state = TransactionState.IDLE
        pool.release(connection)


def any_victim(
    idle: Mapping[str, int], waiting: Iterable[str], recent: Callable[[str], float]
) -> str | None:
    """The customer whose connection has been idle for longest: idle ones are listed by age."""
    kept = set(waiting)
    return next((name for name in idle if name not in kept), None)


DESIGNS = (
    Design("one holder, least recent demand", 1, True),
    Design("4 relays by customer, least recent demand", 4, True),
    Design("4 relays by customer, longest idle", 4, True, any_victim),
    Design("4 relays, any, least recent demand", 4, False),
    Design("32 instances, any, least recent demand", 32, False),
)


def play(design: Design, *, rate: float, hot_factor: float, seconds: float, seed: int) -> Totals:
    """Plays a design in virtual time."""

    async def run() -> Totals:
        simulation = Simulation(design, rate=rate, hot_factor=hot_factor, seed=seed)
        return await simulation.run(seconds)

    loop = looptime.new_event_loop()
    victim = design.victim or _customer_room.choose_victim
    with mock.patch.object(_customer_room, "choose_victim", victim):
        try:
            return loop.run_until_complete(run())
        finally:
            loop.close()


def main() -> None:
    """Prints a line for each design and demand."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for rate, hot_factor in ((40.0, 1.0), (100.0, 1.0), (60.0, 6.0)):
        print(f"{rate:.0f} operations a second, largest customer times {hot_factor:.0f}")
        for design in DESIGNS:
            totals = play(
                design,
                rate=rate,
                hot_factor=hot_factor,
                seconds=arguments.seconds,
                seed=arguments.seed,
            )
            served = max(len(totals.waits_s), 1)
            p50, p99 = (quantiles(totals.waits_s, n=100)[at] for at in (49, 98))
            print(
                f"  {design.name:42} handshakes {totals.handshakes / served:.3f}, "
                f"closed {totals.displaced / served:.3f}, hops {totals.hops / served:.2f}, "
                f"refused {totals.refused / totals.operations:.4f}, "
                f"wait p50 {p50 * 1000:.0f} ms, p99 {p99 * 1000:.0f} ms"
            )


if __name__ == "__main__":
    main()
