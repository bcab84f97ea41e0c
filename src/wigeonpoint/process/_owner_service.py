"""Handles the messages that other instances send to the owner of a backend server."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

from wigeonpoint.backend import Backend, BackendAnswer
from wigeonpoint.connection import (
    Acknowledgement,
    BeginMessage,
    BeginReply,
    CancelMessage,
    CancelReply,
    CommitMessage,
    ExecuteMessage,
    PauseWritesMessage,
    PeerDispatcher,
    RequestContext,
    RollbackMessage,
    SettleMessage,
    StatementMessage,
    Transactions,
)
from wigeonpoint.errors import NotRun, ResultCode
from wigeonpoint.process._deadlines import deadline_in
from wigeonpoint.process._owner import DEFAULT_CONNECTION_LIMIT, OwnedServer
from wigeonpoint.process._owner_counters import OwnerCounters
from wigeonpoint.process._ownership_handover import OwnershipHandover
from wigeonpoint.process._topology import Topology
from wigeonpoint.process._write_pause import WritePause
from wigeonpoint.version import BackendServer, Durability, GroupView, Pool

STATUS_TIMEOUT_S = 1.0

PoolLookup = Callable[[str], Pool | None]


class OwnerService:
    """The backend servers that this instance owns, and their open transactions.

    Args:
        topology: Live instances and groups.
        backend: Access to backend servers.
        find_pool: Returns the configuration of a pool by name, or None.
    """

    def __init__(self, topology: Topology, backend: Backend, find_pool: PoolLookup) -> None:
        self._topology = topology
        self._backend = backend
        self._find_pool = find_pool
        self._owned: dict[str, OwnedServer] = {}
        self._open_locks: dict[str, asyncio.Lock] = {}
        self._transactions = Transactions()
        self._write_pause = WritePause(topology)
        self._request_counts: Counter[str] = Counter()
        self._ownership_handover = OwnershipHandover(
            topology, self._owned, backend, self._is_in_use
        )

    @property
    def open_transactions(self) -> int:
        """Number of open transactions."""
        return self._transactions.count

    @property
    def owned(self) -> list[OwnedServer]:
        """Backend servers that this instance holds queues and connection pools for."""
        return list(self._owned.values())

    @property
    def counters(self) -> OwnerCounters:
        """Totals of queues and connections since the start, including servers no longer owned."""
        return self._ownership_handover.retired.plus(self._owned.values())

    @property
    def owned_servers(self) -> list[str]:
        """Ids of the backend servers that this instance holds state for."""
        return list(self._owned)

    def start(self) -> None:
        """Starts the periodic check for changes of ownership."""
        self._ownership_handover.start()

    def apply_ownership(self) -> None:
        """Releases the servers that another instance owns; called after a topology change."""
        self._ownership_handover.apply()

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handlers of all messages to an owner."""
        dispatcher.register(ExecuteMessage, self.execute)
        dispatcher.register(CancelMessage, self.cancel)
        dispatcher.register(BeginMessage, self.begin)
        dispatcher.register(StatementMessage, self.execute_in_transaction)
        dispatcher.register(CommitMessage, self.commit)
        dispatcher.register(RollbackMessage, self.rollback)
        dispatcher.register(SettleMessage, self.settle)
        dispatcher.register(PauseWritesMessage, self._write_pause.pause)

    async def execute(self, message: ExecuteMessage) -> BackendAnswer:
        """Runs one statement."""
        owned = await self._owned_server(message.work)
        self._refuse_read_while_leaving(message)
        if not message.exchange.read_only:
            message = await self._wait_for_write_pause(message)
        with self._hold_state(owned):
            return await owned.execute(message)

    async def _wait_for_write_pause(self, message: ExecuteMessage) -> ExecuteMessage:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + message.work.remaining_ms / 1000
        await self._write_pause.wait(message.work.group, message.work.server_id, deadline)
        remaining_ms = (deadline - loop.time()) * 1000
        return replace(message, work=replace(message.work, remaining_ms=remaining_ms))

    async def cancel(self, message: CancelMessage) -> CancelReply:
        """Cancels a queued request; the reply says whether it may have been sent already."""
        owned = self._owned.get(message.server_id)
        if owned is None:
            return CancelReply(known=False, sent=True)
        return owned.cancel(message.message_id)

    async def begin(self, message: BeginMessage) -> BeginReply:
        """Opens a transaction on the primary."""
        owned = await self._owned_server(message.work)
        with self._hold_state(owned):
            transaction = await owned.begin(message, self._transactions)
        return BeginReply(transaction.number, transaction.term)

    async def execute_in_transaction(self, message: StatementMessage) -> BackendAnswer:
        """Runs a statement of an open transaction; its rows stay provisional until the commit."""
        transaction = self._transactions.find(message.number, message.session_id)
        owned = self._owned[transaction.server_id]
        deadline = deadline_in(message.remaining_ms)
        async with owned.slot(transaction, deadline):
            # Counts the statement only once it has a slot, so that a refused one may be sent again.
            await self._transactions.admit(transaction, message.sequence)
            return await self._transactions.execute(
                transaction,
                message.exchange,
                timeout=deadline - asyncio.get_running_loop().time(),
            )

    async def commit(self, message: CommitMessage) -> BackendAnswer:
        """Commits a transaction and waits until the commit is confirmed."""
        transaction = self._transactions.find(message.number, message.session_id)
        owned = self._owned[transaction.server_id]
        deadline = deadline_in(message.remaining_ms)
        await self._transactions.admit(transaction, message.sequence, commit=message.request_id)
        await self._write_pause.wait(transaction.group, transaction.server_id, deadline)
        answer = await self._transactions.commit(
            transaction,
            message.request_id,
            timeout=deadline - asyncio.get_running_loop().time(),
        )
        pool = self._find_pool(message.pool)
        durability = Durability.MAJORITY if pool is None else pool.durability
        await owned.confirm(answer.at, durability, deadline)
        return answer

    async def rollback(self, message: RollbackMessage) -> Acknowledgement:
        """Rolls a transaction back."""
        transaction = self._transactions.find(message.number, message.session_id)
        await self._transactions.rollback(transaction, timeout=message.remaining_ms / 1000)
        return Acknowledgement()

    async def settle(self, message: SettleMessage) -> BackendAnswer:
        """Decides whether a commit whose answer was lost took effect."""
        owned = await self._owned_server(message.work)
        with self._hold_state(owned):
            return await owned.settle(message)

    def close(self) -> None:
        """Rolls open transactions back and closes idle connections."""
        self._ownership_handover.close()
        self._transactions.close()
        for owned in self._owned.values():
            owned.pool.close_idle()

    async def _owned_server(self, context: RequestContext) -> OwnedServer:
        group = self._topology.group(context.group)
        server = group.server(context.server_id)
        if server is None:
            raise NotRun(
                ResultCode.NOT_OWNER,
                f"backend server {context.server_id} is not known to {self._topology.own.id}",
            )
        if not context.accept_any and not self._topology.owns(server):
            raise NotRun(
                ResultCode.NOT_OWNER, f"{self._topology.own.id} does not own {context.server_id}"
            )
        lock = self._open_locks.setdefault(server.id, asyncio.Lock())
        async with lock:
            if server.id not in self._owned:
                self._owned[server.id] = await self._open_server(server, group, context)
        owned = self._owned[server.id]
        pool = self._find_pool(context.pool)
        if pool is not None:
            owned.set_shares(pool.shares)
        if not self._topology.owns(server):
            owned.release_ownership()  # a peer with another view sent it; keep no connections
        return owned

    @contextmanager
    def _hold_state(self, owned: OwnedServer) -> Iterator[None]:
        """Keeps an `OwnedServer` from being dropped while a request uses it."""
        self._request_counts[owned.server.id] += 1
        try:
            yield
        finally:
            self._request_counts[owned.server.id] -= 1

    def _is_in_use(self, server_id: str) -> bool:
        return self._request_counts[server_id] > 0 or self._transactions.count_at(server_id) > 0

    def _refuse_read_while_leaving(self, message: ExecuteMessage) -> None:
        """Refuses replica reads at a leaving server; a leaving primary serves until handover."""
        server = self._topology.group(message.work.group).server(message.work.server_id)
        if server is not None and server.leaving and not message.confirm:
            raise NotRun(ResultCode.BACKEND_LEAVING, f"{server.id} is leaving")

    async def _open_server(
        self, server: BackendServer, group: GroupView, context: RequestContext
    ) -> OwnedServer:
        status = await self._backend.member(server.address).status(timeout=STATUS_TIMEOUT_S)
        group.note_status(server.id, status)
        pool = self._find_pool(context.pool)
        slots = (pool.slots if pool else None) or status.slots
        connections = (
            (pool.connections if pool else None)
            or status.connection_limit
            or DEFAULT_CONNECTION_LIMIT
        )
        return OwnedServer(server, group, self._backend, slots=slots, connections=connections)
