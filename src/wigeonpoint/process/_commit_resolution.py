"""Finds out whether a commit took effect after its answer was lost."""

from __future__ import annotations

import asyncio

from wigeonpoint.backend import BackendAnswer
from wigeonpoint.connection import (
    PeerTransport,
    RequestContext,
    SettleMessage,
    TransactionId,
)
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._topology import Topology
from wigeonpoint.request import Rank, RetryBudgets
from wigeonpoint.version import Pool

LOOKUP_TIMEOUT_S = 1.0


class CommitResolution:
    """Has the confirmed primary decide whether a commit took effect.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to owners.
        budgets: Limits repeated lookups.
    """

    def __init__(self, topology: Topology, transport: PeerTransport, budgets: RetryBudgets) -> None:
        self._topology = topology
        self._transport = transport
        self._budgets = budgets

    async def resolve(
        self, transaction: TransactionId, pool: Pool, request_id: str, deadline: float
    ) -> BackendAnswer:
        """Gives the recorded answer of the commit.

        A record of the request id proves the commit. Without one the commit may still be in
        flight, on the old connection or in the owner's queue, so the primary records that the
        transaction is refused; servers also refuse a commit in another term than that of its begin.

        Raises:
            NotRun: TRANSACTION_LOST when the commit can no longer take effect.
            OutcomeUnknown: Neither could be proved before the deadline.
        """
        loop = asyncio.get_running_loop()
        budget = self._budgets.of(transaction.route)
        count = 0
        while loop.time() < deadline:
            reply = await self._settle(transaction, pool, request_id, deadline, count)
            if reply is not None and reply.repeated:
                return reply
            if reply is not None and reply.refused:
                raise NotRun(
                    ResultCode.TRANSACTION_LOST,
                    "the commit did not reach the database; the transaction was rolled back",
                )
            count += 1
            pause = self._budgets.pause(count)
            if loop.time() + pause >= deadline or not budget.take():
                break
            await asyncio.sleep(pause)
        log_event(Event.COMMIT_UNRESOLVED, group=transaction.group, route=transaction.route)
        raise OutcomeUnknown(
            ResultCode.CONNECTION_LOST,
            "the answer to the commit was lost; repeat it with the same request id",
        )

    async def _settle(
        self,
        transaction: TransactionId,
        pool: Pool,
        request_id: str,
        deadline: float,
        count: int,
    ) -> BackendAnswer | None:
        group = self._topology.group(transaction.group)
        remaining = min(deadline - asyncio.get_running_loop().time(), LOOKUP_TIMEOUT_S)
        primary_id = ""
        try:
            primary = await group.require_primary()
            primary_id = primary.id
            work = RequestContext(
                pool=pool.name,
                group=group.name,
                server_id=primary.id,
                route=transaction.route,
                rank=Rank.URGENT,  # the caller waits for work that has been admitted already
                caller="",
                remaining_ms=remaining * 1000,
                accept_any=count > 1,
            )
            return await self._transport.request(
                self._topology.owner_of(primary).address,
                SettleMessage(work, request_id, transaction.number),
                BackendAnswer,
                timeout=remaining,
            )
        except WigeonpointError:
            group.forget_primary(primary_id)
            return None
