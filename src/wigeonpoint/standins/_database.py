"""In-memory member of a database group, with log, terms and asynchronous replication."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from pydantic import TypeAdapter

from wigeonpoint.backend import BackendAnswer, Exchange, MemberRole, MemberStatus
from wigeonpoint.channel import JsonChannel
from wigeonpoint.errors import InvalidRequest, NotRun, ResultCode, WigeonpointError
from wigeonpoint.standins._store import LogEntry, RequestRecord, Workspace

REPLICATION_BATCH = 512
REPLICATION_RETRY_S = 0.05
# Marks the record of a settled transaction, which prevents its later commit.
REFUSED_FINGERPRINT = "refused"


@dataclass(slots=True)
class MemberOptions:
    """Limits and delays of a member.

    Attributes:
        slots: Maximum number of statements that run at the same time; others wait.
        connection_limit: Maximum number of statement connections; further ones are refused.
        connect_ms: Milliseconds to open a connection.
        statement_ms: Milliseconds to run a statement.
        replication_ms: Milliseconds before the primary sends an entry to a replica.
        leaving: Whether the member announces that it is leaving.
    """

    slots: int = 2
    connection_limit: int = 16
    connect_ms: float = 12.0
    statement_ms: float = 1.0
    replication_ms: float = 1.0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Replication message from the primary to a replica.

    Attributes:
        term: Term of the primary.
        previous_position: Log position before the first entry.
        previous_term: Term of the entry at that position.
        entries: Entries that follow that position.
    """

    term: int
    previous_position: int
    previous_term: int
    entries: list[LogEntry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class AppendReply:
    """A replica's reply to `AppendEntries`.

    Attributes:
        appended: Whether the entries were appended.
        fenced_term: Term that the replica obeys.
        position: Log position after which the primary sends its next entries.
    """

    appended: bool
    fenced_term: int
    position: int


class ReplicationLink(Protocol):
    """Carries replication messages to the other members."""

    async def append(self, address: str, message: AppendEntries) -> AppendReply:
        """Sends entries to a member.

        Raises:
            WigeonpointError: No reply arrived.
        """
        ...


class WebSocketReplicationLink:
    """Replication over one WebSocket connection to each member."""

    def __init__(self) -> None:
        self._channels: dict[str, JsonChannel] = {}

    async def append(self, address: str, message: AppendEntries) -> AppendReply:
        """Sends entries to a member."""
        channel = self._channels.get(address)
        if channel is None or channel.closed:
            channel = await JsonChannel.open(f"ws://{address}/replication", timeout=1.0)
            self._channels[address] = channel
        try:
            return _REPLY.validate_python(await channel.request("append", message, timeout=1.0))
        except WigeonpointError:
            channel.close()
            raise


_REPLY = TypeAdapter(AppendReply)


class DatabaseMemberStandIn:
    """One member of a database group.

    Args:
        name: Name of the member.
        peers: Addresses of the other members.
        primary: Whether it starts as the primary of term 1.
        options: Limits and delays.
        link: Carries replication messages; WebSocket connections by default.
    """

    def __init__(
        self,
        name: str,
        peers: list[str],
        *,
        primary: bool = False,
        options: MemberOptions | None = None,
        link: ReplicationLink | None = None,
    ) -> None:
        self.name = name
        self.options = options or MemberOptions()
        self.connections = 0
        self.peak_connections = 0
        self._peers = peers
        self._link = link or WebSocketReplicationLink()
        self._fenced_term = 1
        self._role = MemberRole.PRIMARY if primary else MemberRole.REPLICA
        self._log: list[LogEntry] = [LogEntry(term=1)]
        self._data: dict[str, Any] = {}
        self._records: dict[str, RequestRecord] = {}
        self._slots = asyncio.Semaphore(self.options.slots)
        self._appended = asyncio.Event()
        self._replicators: list[asyncio.Task[None]] = []

    @property
    def data(self) -> dict[str, Any]:
        """Committed values by key."""
        return self._data

    def start(self) -> None:
        """Starts replication if the member is primary."""
        if self._role is MemberRole.PRIMARY:
            self._start_replication()

    def set_peers(self, peers: list[str]) -> None:
        """Sets the addresses of the other members, and replicates to them if primary."""
        self._peers = list(peers)
        self.start()

    def stop(self) -> None:
        """Stops replication."""
        for task in self._replicators:
            task.cancel()
        self._replicators = []

    def status(self) -> MemberStatus:
        """Returns role, terms, end of the log and limits."""
        return MemberStatus(
            role=self._role,
            fenced_term=self._fenced_term,
            log_term=self._log[-1].term,
            position=len(self._log),
            slots=self.options.slots,
            connection_limit=self.options.connection_limit,
            leaving=self.options.leaving,
        )

    def fence(self, term: int) -> MemberStatus:
        """Obeys a term and refuses earlier ones; a later term makes a primary a replica.

        Raises:
            NotRun: NOT_PRIMARY, because the member obeys a later term already.
        """
        if term < self._fenced_term:
            raise NotRun(
                ResultCode.NOT_PRIMARY, f"{self.name} obeys term {self._fenced_term}, not {term}"
            )
        if term > self._fenced_term:
            self._fenced_term = term
            self._become_replica()
        return self.status()

    def promote(self, term: int) -> MemberStatus:
        """Makes the member primary of the term that it is fenced at.

        Raises:
            NotRun: NOT_PRIMARY, because the member is fenced at another term.
        """
        if term != self._fenced_term:
            raise NotRun(
                ResultCode.NOT_PRIMARY, f"{self.name} obeys term {self._fenced_term}, not {term}"
            )
        if self._role is not MemberRole.PRIMARY:
            self._role = MemberRole.PRIMARY
            self._append(LogEntry(term=term))
            self._start_replication()
        return self.status()

    async def execute(self, workspace: Workspace | None, exchange: Exchange) -> BackendAnswer:
        """Runs a statement, in the workspace of a transaction or as a transaction of its own."""
        async with self._slots:
            if self.options.statement_ms:
                await asyncio.sleep(self.options.statement_ms / 1000)
            if workspace is not None:
                rows = workspace.run(exchange.statement, read_only=exchange.read_only)
                return self._answer(rows)
            return self._autocommit(exchange)

    def begin(self) -> Workspace:
        """Begins a transaction on the primary."""
        self._require_primary()
        return Workspace(self._data, term=self._fenced_term)

    def settle(self, request_id: str, transaction_key: str) -> BackendAnswer:
        """Returns the answer recorded for a request id, or prevents the transaction's commit.

        Without an answer, a record under the transaction key makes a later commit fail, so that
        the outcome is final.
        """
        self._require_primary()
        record = self._records.get(request_id)
        if record is not None:
            return self._answer(record.rows, repeated=True)
        if transaction_key not in self._records:
            refusal = RequestRecord(transaction_key, REFUSED_FINGERPRINT)
            self._append(LogEntry(self._fenced_term, record=refusal))
        return replace(self._answer([]), refused=True)

    def commit(
        self, workspace: Workspace, request_id: str | None, transaction_key: str = ""
    ) -> BackendAnswer:
        """Commits a transaction unless data that it read has changed.

        Raises:
            NotRun: NOT_PRIMARY or TRANSACTION_LOST.
            InvalidRequest: REQUEST_ID_CONFLICT or TRANSACTION_CONFLICT.
        """
        self._require_primary()
        if workspace.term != self._fenced_term:
            raise NotRun(
                ResultCode.NOT_PRIMARY, f"the transaction of term {workspace.term} was rolled back"
            )
        if transaction_key in self._records:
            raise NotRun(ResultCode.TRANSACTION_LOST, "the transaction was rolled back")
        recorded = self._recorded_answer(request_id, workspace.digest.hexdigest())
        if recorded is not None:
            return recorded
        if workspace.conflicts():
            raise InvalidRequest(
                ResultCode.TRANSACTION_CONFLICT,
                "another transaction changed data that this one read; begin it again",
            )
        self._log_changes(workspace, request_id, [])
        return self._answer([])

    def append_entries(self, message: AppendEntries) -> AppendReply:
        """Appends entries of the primary, first removing those that conflict with them."""
        if message.term < self._fenced_term:
            return AppendReply(False, self._fenced_term, len(self._log))
        if message.term > self._fenced_term:
            self._fenced_term = message.term
            self._become_replica()
        start = message.previous_position
        if start > len(self._log) or self._log[start - 1].term != message.previous_term:
            return AppendReply(False, self._fenced_term, min(start - 1, len(self._log)))
        self._append_missing(start, message.entries)
        return AppendReply(True, self._fenced_term, start + len(message.entries))

    def _autocommit(self, exchange: Exchange) -> BackendAnswer:
        if not exchange.read_only:
            self._require_primary()
        workspace = Workspace(self._data)
        rows = workspace.run(exchange.statement, read_only=exchange.read_only)
        if exchange.read_only:
            return self._answer(rows)
        recorded = self._recorded_answer(exchange.request_id, workspace.digest.hexdigest())
        if recorded is not None:
            return recorded
        self._log_changes(workspace, exchange.request_id, rows)
        return self._answer(rows)

    def _answer(self, rows: list[Any], *, repeated: bool = False) -> BackendAnswer:
        return BackendAnswer(rows, self._log[-1].term, len(self._log), repeated)

    def _recorded_answer(self, request_id: str | None, fingerprint: str) -> BackendAnswer | None:
        record = self._records.get(request_id) if request_id else None
        if record is None:
            return None
        if record.fingerprint != fingerprint:
            raise InvalidRequest(
                ResultCode.REQUEST_ID_CONFLICT,
                f"request id {request_id} was used for another statement",
            )
        return self._answer(record.rows, repeated=True)

    def _log_changes(self, workspace: Workspace, request_id: str | None, rows: list[Any]) -> None:
        record = None
        if request_id:
            record = RequestRecord(request_id, workspace.digest.hexdigest(), rows)
        self._append(LogEntry(self._fenced_term, workspace.changes, record))

    def _append(self, entry: LogEntry) -> None:
        self._log.append(entry)
        self._apply(entry)
        self._appended.set()

    def _apply(self, entry: LogEntry) -> None:
        self._data.update(entry.changes)
        if entry.record is not None:
            self._records[entry.record.request_id] = entry.record

    def _append_missing(self, start: int, entries: list[LogEntry]) -> None:
        for offset, entry in enumerate(entries):
            index = start + offset
            if index < len(self._log) and self._log[index].term == entry.term:
                continue
            if index < len(self._log):
                self._truncate(index)
            self._log.append(entry)
            self._apply(entry)

    def _truncate(self, length: int) -> None:
        del self._log[length:]
        self._data.clear()
        self._records.clear()
        for entry in self._log:
            self._apply(entry)

    def _require_primary(self) -> None:
        if self._role is not MemberRole.PRIMARY:
            raise NotRun(ResultCode.NOT_PRIMARY, f"{self.name} is not the primary")

    def _become_replica(self) -> None:
        self._role = MemberRole.REPLICA
        self.stop()

    def _start_replication(self) -> None:
        self.stop()
        self._replicators = [
            asyncio.create_task(self._replicate(peer, self._fenced_term)) for peer in self._peers
        ]

    async def _replicate(self, peer: str, term: int) -> None:
        sent = len(self._log)
        while self._role is MemberRole.PRIMARY and self._fenced_term == term:
            try:
                sent = await self._send_entries(peer, term, sent)
            except WigeonpointError:
                await asyncio.sleep(REPLICATION_RETRY_S)

    async def _send_entries(self, peer: str, term: int, sent: int) -> int:
        if sent == len(self._log):
            self._appended.clear()
            await self._wait_for_entry()
        if self.options.replication_ms:
            await asyncio.sleep(self.options.replication_ms / 1000)
        entries = self._log[sent : sent + REPLICATION_BATCH]
        message = AppendEntries(term, sent, self._log[sent - 1].term, entries)
        reply = await self._link.append(peer, message)
        if reply.fenced_term > term:
            self.fence(reply.fenced_term)
        return max(1, reply.position)

    async def _wait_for_entry(self) -> None:
        try:
            await asyncio.wait_for(self._appended.wait(), REPLICATION_RETRY_S)
        except TimeoutError:
            return
