"""Keeps the quotas of customers at one instance, with the allowances that the allocator grants."""

from __future__ import annotations

import asyncio
import secrets
from contextlib import suppress

from wigeonpoint.connection import PeerDispatcher, PeerTransport
from wigeonpoint.errors import WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process.gateway._background import start_loop
from wigeonpoint.process.gateway._suspension import Clock
from wigeonpoint.process.gateway.control import ControlState
from wigeonpoint.process.gateway.quota._allocation import QuotaAllocation
from wigeonpoint.process.gateway.quota._refusals import QuotaRefusals
from wigeonpoint.process.gateway.quota._totals import QuotaTotals
from wigeonpoint.process.policy import AllowancesRenewed, InstanceQuota, RenewAllowances
from wigeonpoint.services import RowStore
from wigeonpoint.version.catalogue import Customer

CHECK_INTERVAL_S = 0.1
IDLE_CHECK_INTERVAL_S = 0.2  # while no customer has a limit
REQUEST_TIMEOUT_S = 0.4
RETRY_PAUSE_S = 0.2  # after a request that was not answered
# For which no operation waits for an allocator that has not answered.
UNANSWERED_PAUSE_S = 1.0
# An operation waits for at most this long for a larger allowance.
MAX_WAIT_S = 0.25
PROCESS_ID_BYTES = 4


class QuotaService:
    """Implements `QuotaGate` by allowances that the instances divide among them.

    Does nothing while no customer has a limit.

    Args:
        control: Control state of this instance.
        store: The store.
        transport: Sends messages.
        totals: Operations per window of the customers.
        clock: Gives seconds; it must also count the time for which the machine is suspended.
    """

    def __init__(
        self,
        control: ControlState,
        store: RowStore,
        transport: PeerTransport,
        totals: QuotaTotals,
        clock: Clock,
    ) -> None:
        self._control = control
        self._transport = transport
        self._totals = totals
        self._clock = clock
        process = secrets.token_hex(PROCESS_ID_BYTES)
        self._quota = InstanceQuota(
            control.name, process, window_s=totals.window_s, started_at=clock()
        )
        self.allocation = QuotaAllocation(control, store, totals, process=process, clock=clock)
        self._wake = asyncio.Event()
        self._waiters: list[asyncio.Future[bool]] = []
        self._answered = True  # whether the latest request was
        self._unanswered_at = float("-inf")  # time in seconds of the latest one that was not
        self._task: asyncio.Task[None] | None = None
        self.refusals = QuotaRefusals()
        self.admitted = 0
        self.requests = 0

    @property
    def allowances(self) -> dict[str, int]:
        """Operations per window that this instance may start, by customer."""
        return self._quota.allowances(self._clock())

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handler of requests to the allocator."""
        dispatcher.register(RenewAllowances, self._renew)

    def start(self) -> None:
        """Starts to renew allowances."""
        self._task = start_loop(self._run)

    def close(self) -> None:
        """Stops all tasks."""
        if self._task is not None:
            self._task.cancel()
        self.allocation.close()

    async def admit(self, customer: Customer) -> float:
        """Counts one operation; waits for a larger allowance if it exceeds the present one."""
        name, total = customer.name, self._totals.get(customer.name)
        if total is None:
            return 0.0
        now = self._clock()
        wait_s = self._quota.admit(name, total, now)
        reachable = self._answered or now - self._unanswered_at >= UNANSWERED_PAUSE_S
        if wait_s > 0 and reachable and self._quota.may_ask(name, now):
            await self._wait_for_allowance(name)
            total = self._totals.get(name)
            if total is None:
                return 0.0
            wait_s = self._quota.admit(name, total, self._clock(), repeated=True)
        if wait_s > 0:
            allowance = self._quota.allowance(name, now)
            self.refusals.record(name, allowance=allowance, total=total, now=now)
        else:
            self.admitted += 1
        return wait_s

    async def _wait_for_allowance(self, customer: str) -> None:
        """Waits until the allocator has answered a request that is sent after this call."""
        answered = asyncio.get_running_loop().create_future()
        self._waiters.append(answered)
        self._quota.wait(customer)
        self._wake.set()
        try:
            with suppress(TimeoutError):
                async with asyncio.timeout(MAX_WAIT_S):
                    await answered
        finally:
            self._quota.end_wait(customer)
            if answered in self._waiters:  # no request was sent meanwhile
                self._waiters.remove(answered)

    async def _renew(self, message: RenewAllowances) -> AllowancesRenewed:
        return self.allocation.renew(message)

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            pause_s = await self._step()
            if pause_s:
                await asyncio.sleep(pause_s)
            with suppress(TimeoutError):
                interval_s = CHECK_INTERVAL_S if self._totals.any else IDLE_CHECK_INTERVAL_S
                async with asyncio.timeout(interval_s):
                    await self._wake.wait()

    async def _step(self) -> float:
        """Renews allowances if some are due; returns the seconds to pause."""
        self.allocation.refresh()
        if not self._totals.any:
            return 0.0
        self._quota.set_totals(self._totals.get)
        self.allocation.claim_if_due()
        record = self.allocation.record
        if record is None or not self._control.registered:
            return 0.0
        self._quota.follow(record.precedence)
        if not self._quota.due(self._clock()):
            return 0.0
        answered = await self._request(record.holder)
        return 0.0 if answered else RETRY_PAUSE_S

    async def _request(self, allocator: str) -> bool:
        """Asks the allocator to renew allowances; returns whether it did."""
        waiters, self._waiters = self._waiters, []
        sent_at = self._clock()
        message = self._quota.make_request(sent_at)
        self.requests += 1
        reply = await self._send(allocator, message)
        adopted = reply is not None and self._quota.adopt(reply, self._clock())
        if adopted:
            self.allocation.election.note_answer()
        else:
            self._quota.note_unanswered()
            self.allocation.election.note_unanswered(sent_at)
            self._unanswered_at = sent_at
        self._note_answered(adopted, allocator)
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(adopted)
        # Operations that waited are counted before the next request tells what is used.
        await asyncio.sleep(0)
        return adopted

    async def _send(self, allocator: str, message: RenewAllowances) -> AllowancesRenewed | None:
        instance = self._control.instances.get(allocator)
        if instance is None:
            return None
        try:
            return await self._transport.request(
                instance.address, message, AllowancesRenewed, timeout=REQUEST_TIMEOUT_S
            )
        except WigeonpointError:
            # Behind a network partition the connection would stay silent for long.
            self._transport.disconnect(instance.address)
            return None

    def _note_answered(self, answered: bool, allocator: str) -> None:
        if answered != self._answered:
            event = Event.QUOTA_ALLOCATOR_REGAINED if answered else Event.QUOTA_ALLOCATOR_LOST
            log_event(event, allocator=allocator)
        self._answered = answered
