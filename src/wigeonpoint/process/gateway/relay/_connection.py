"""A connection to a member that lies behind relays."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any, TypeVar

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection.session import (
    MemberAnswer,
    MemberConnectionLost,
    RequestTerms,
)
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode
from wigeonpoint.process.gateway.relay._links import RelayLinks, RelayUnavailable
from wigeonpoint.process.gateway.relay._messages import (
    RelayBegin,
    RelayRollback,
    RelayStatement,
    RelayTerms,
)
from wigeonpoint.request import Rank
from wigeonpoint.request.session import (
    PreparedStatement,
    SessionStatement,
    TransactionState,
    Verb,
)
from wigeonpoint.version.catalogue import MemberRecord

MAX_RELAY_ATTEMPTS = 3
LATE_RELAY_S = 0.03  # sooner than a read is sent a second time, so that it takes another relay
RETRY_MS = 50
# Answers are awaited for this long after the deadline, so that a late one is still delivered.
ANSWER_MARGIN_S = 0.5
ROLLBACK_TIMEOUT_S = 0.5
_DEFAULT_TERMS = RequestTerms(Rank.STANDARD, "", 0.0, 0)
_IDLE = MemberAnswer(TransactionState.IDLE)

# A process that was restarted under the same name must not reuse numbers that a relay still knows.
_connection_numbers = itertools.count(random.getrandbits(48))

ResultT = TypeVar("ResultT")


class RelayedConnection:
    """Implements `MemberConnection` by sending statements to a member's relays.

    A statement outside a transaction goes to the first usable relay, and to another one if that
    relay has not run it. A transaction stays with the relay that began it.

    Args:
        sender: Name of this instance.
        record: The member.
        links: Links to relays.
        relays: Returns the addresses of the relays to use for a customer, the preferred one first.
        configuration: Returns the store version of the configuration that this instance has.
        verified: Whether a relay has just told that it reaches the member.
    """

    def __init__(
        self,
        sender: str,
        record: MemberRecord,
        links: RelayLinks,
        relays: Callable[[str], list[str]],
        configuration: Callable[[], int],
        *,
        verified: bool,
    ) -> None:
        self._sender = sender
        self._record = record
        self._links = links
        self._get_relays = relays
        self._get_configuration = configuration
        self._number = next(_connection_numbers)
        self._terms = _DEFAULT_TERMS
        self._values: dict[str, str] = {}
        self._prepared: dict[str, PreparedStatement] = {}
        self._transaction_relay: str | None = None
        self._beginning_at: str | None = None  # relay that has not answered yet
        self._waiting: asyncio.Task[Any] | None = None
        self._closed = False
        self._verified = verified

    @property
    def customer(self) -> None:
        """None: each statement names its customer to the relay."""
        return None

    @property
    def closed(self) -> bool:
        """Whether it can carry no further statement."""
        return self._closed

    @property
    def verified(self) -> bool:
        """Whether a relay told that it reaches the member when the connection was opened."""
        return self._verified

    def assign(self, terms: RequestTerms) -> None:
        """Sets the terms by which relays queue the next statements."""
        self._terms = terms

    async def run(
        self,
        statement: SessionStatement,
        *,
        after: LogPosition | None = None,
        prepared_name: str | None = None,
    ) -> MemberAnswer:
        """Runs a statement."""
        message = RelayStatement(
            self._relay_terms(after),
            _without_duplicates(statement),
            in_transaction=self._transaction_relay is not None,
            values=self._values,
            prepared=self._prepared.get(prepared_name or ""),
        )
        if self._transaction_relay is None:
            answer, _ = await self._ask_any(message)
            return answer
        answer = await self._ask_transaction_relay(message)
        if answer.state is TransactionState.IDLE:
            self._transaction_relay = None
        return answer

    async def begin(self, *, read_only: bool, after: LogPosition | None = None) -> MemberAnswer:
        """Begins a transaction at the first usable relay."""
        message = RelayBegin(self._relay_terms(after), read_only)
        answer, relay = await self._ask_any(message)
        self._beginning_at = None
        if answer.state is not TransactionState.IDLE:
            self._transaction_relay = relay
        return answer

    async def rollback(self) -> MemberAnswer:
        """Rolls the transaction back."""
        relay, self._transaction_relay = self._transaction_relay, None
        if relay is None:
            return _IDLE
        message = RelayRollback(self._sender, self._number)
        try:
            return await self._wait(
                self._links.request(relay, message, MemberAnswer, timeout=ROLLBACK_TIMEOUT_S)
            )
        except (RelayUnavailable, NotRun, OutcomeUnknown) as error:
            raise MemberConnectionLost(str(error)) from error

    async def set_value(self, name: str, value: str) -> MemberAnswer:
        """Sets a session value; it is sent with the statements."""
        self._values = {**self._values, name: value}
        return _IDLE

    async def prepare(self, name: str, prepared: PreparedStatement) -> MemberAnswer:
        """Prepares a statement; it is sent when it is executed."""
        self._prepared[name] = prepared
        return _IDLE

    async def reset(self) -> MemberAnswer:
        """Clears session values and prepared statements."""
        self._values = {}
        self._prepared.clear()
        return _IDLE

    def close(self) -> None:
        """Closes the connection; the relay rolls back an open transaction."""
        if self._closed:
            return
        self._closed = True
        if self._waiting is not None:
            self._waiting.cancel()
        relay = self._transaction_relay or self._beginning_at
        if relay is not None:
            message = RelayRollback(self._sender, self._number)
            self._links.send_in_background(relay, message, MemberAnswer)

    @property
    def _remaining_s(self) -> float:
        return max(self._terms.deadline - asyncio.get_running_loop().time(), 0.0)

    def _relay_terms(self, after: LogPosition | None) -> RelayTerms:
        return RelayTerms(
            sender=self._sender,
            connection=self._number,
            group=self._record.service,
            member_id=self._record.id,
            after=after,
            rank=self._terms.rank,
            caller=self._terms.caller,
            customer=self._terms.customer,
            patience_s=self._terms.patience_s,
            session=self._terms.session,
            remaining_s=round(self._remaining_s, 3),
            configuration=self._get_configuration(),
        )

    async def _ask_any(self, message: RelayStatement | RelayBegin) -> tuple[MemberAnswer, str]:
        """Sends a message to the first relay that accepts it; returns the answer and the relay.

        Raises:
            NotRun: No relay accepted it, or the member cannot run it now.
            MemberConnectionLost: The answer is missing.
        """
        reason = "no relay of the member is known"
        for relay in self._get_relays(self._terms.customer)[:MAX_RELAY_ATTEMPTS]:
            if isinstance(message, RelayBegin):
                self._beginning_at = relay
            try:
                return await self._ask(relay, message), relay
            except RelayUnavailable as error:
                reason = str(error)
        self._beginning_at = None
        raise NotRun(ResultCode.PEER_UNREACHABLE, reason, retry_after_ms=RETRY_MS)

    async def _ask_transaction_relay(self, message: RelayStatement) -> MemberAnswer:
        assert self._transaction_relay is not None
        try:
            return await self._ask(self._transaction_relay, message)
        except RelayUnavailable as error:
            raise NotRun(ResultCode.TRANSACTION_LOST, str(error)) from error

    async def _ask(self, relay: str, message: RelayStatement | RelayBegin) -> MemberAnswer:
        timeout = self._remaining_s + ANSWER_MARGIN_S
        loop = asyncio.get_running_loop()
        late = loop.call_later(LATE_RELAY_S, self._links.note_late, relay, loop.time())
        try:
            return await self._wait(
                self._links.request(relay, message, MemberAnswer, timeout=timeout)
            )
        except OutcomeUnknown as error:
            raise MemberConnectionLost(error.message) from error
        finally:
            late.cancel()

    async def _wait(self, request: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Waits for a request; `close` ends the wait.

        Raises:
            MemberConnectionLost: The connection was closed meanwhile.
        """
        self._waiting = waiting = asyncio.ensure_future(request)
        try:
            return await waiting
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if self._closed and task is not None and not task.cancelling():
                raise MemberConnectionLost("the connection was closed") from None
            raise
        finally:
            self._waiting = None


def _without_duplicates(statement: SessionStatement) -> SessionStatement:
    """Leaves out what a relay does not need: the text of `EXECUTE`, parsed fields of all others.

    Bytes between data centres are charged, and the text of a write contains its data already.
    """
    if statement.verb is Verb.EXECUTE:
        return replace(statement, text="")
    return replace(statement, name="", argument="")
