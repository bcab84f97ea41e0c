"""Decides whether a commit took effect when its answer was lost."""

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

SETTLE_TIMEOUT_S = 1.0


class CommitResolver:
    """Asks the primary to decide whether a commit took effect.

    Args:
        topology: Live instances and groups.
        transport: Sends messages to owners.
        budgets: Retry budgets, which limit repeated attempts.
    """

    def __init__(self, topology: Topology, transport: PeerTransport, budgets: RetryBudgets) -> None:
        self._topology = topology
        self._transport = transport
        self._budgets = budgets

    async def resolve(
        self, transaction: TransactionId, pool: Pool, request_id: str, deadline: float
    ) -> BackendAnswer:
        """Returns the recorded answer of the commit.

        A record of the request id proves that the commit took effect. Without a record, the commit
        may still be in flight, on the old connection or in the owner's queue. The primary therefore
        records that the transaction is refused. Servers also refuse a commit in another term than
        that in which its transaction began.

        Raises:
            NotRun: TRANSACTION_LOST when the commit can no longer take effect.
            OutcomeUnknown: CONNECTION_LOST when neither could be proved before the deadline or
                within the retry budget.
        """
        loop = asyncio.get_running_loop()
        budget = self._budgets.of(transaction.route)
        failed_attempts = 0
        while loop.time() < deadline:
            reply = await self._settle(transaction, pool, request_id, deadline, failed_attempts)
            if reply is not None and reply.repeated:
                return reply
            if reply is not None and reply.refused:
                raise NotRun(
                    ResultCode.TRANSACTION_LOST,
                    "the commit did not reach the database; the transaction was rolled back",
                )
            failed_attempts += 1
            pause_s = self._budgets.pause(failed_attempts)
            if loop.time() + pause_s >= deadline or not budget.take():
                break
            await asyncio.sleep(pause_s)
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
        failed_attempts: int,
    ) -> BackendAnswer | None:
        group = self._topology.group(transaction.group)
        timeout_s = min(deadline - asyncio.get_running_loop().time(), SETTLE_TIMEOUT_S)
        primary_id = ""
        try:
            primary = await group.require_primary()
            primary_id = primary.id
            context = RequestContext(
                pool=pool.name,
                group=group.name,
                server_id=primary.id,
                route=transaction.route,
                rank=Rank.URGENT,  # the caller waits, and the transaction is already admitted
                caller="",
                remaining_ms=timeout_s * 1000,
                accept_any=failed_attempts > 1,
            )
            return await self._transport.request(
                self._topology.owner_of(primary).address,
                SettleMessage(context, request_id, transaction.number),
                BackendAnswer,
                timeout=timeout_s,
            )
        except WigeonpointError:
            group.forget_primary(primary_id)
            return None
