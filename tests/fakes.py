"""Fakes of the external interfaces, in one event loop whose clock tests can advance."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from wigeonpoint.backend import BackendAnswer, Exchange, MemberStatus
from wigeonpoint.connection import PeerDispatcher
from wigeonpoint.errors import NotRun, OutcomeUnknown, ResultCode, StoreUnavailable
from wigeonpoint.services import Platform
from wigeonpoint.standins import (
    AppendEntries,
    AppendReply,
    DatabaseMemberStandIn,
    MemberOptions,
    MemoryDirectory,
    MemoryObjects,
    MemoryTables,
)

ReplyT = TypeVar("ReplyT")

DELAY_S = 0.0005

Hook = Callable[[str, str, Any], Awaitable[None]]


@dataclass(slots=True)
class FakeNetwork:
    """Reachability between data centres, and the processes at each address.

    Attributes:
        dispatchers: Instances by address.
        members: Database members by address.
        data_centres: Data centre of each address.
        cuts: Pairs of data centres that cannot reach each other.
        cut_peers: Pairs of instances' addresses that cannot reach each other.
        down: Addresses that do not answer.
        lag: Seconds that replication messages to a member take longer.
        on_message: Called with stage (`sent`, `answered`), address and peer message; it may wait,
            or raise to lose the message or its answer.
        on_exchange: The same for statement connections, with stage `before`, `during` (the server
            still completes the call) or `after`, address and call.
    """

    dispatchers: dict[str, PeerDispatcher] = field(default_factory=dict)
    members: dict[str, DatabaseMemberStandIn] = field(default_factory=dict)
    data_centres: dict[str, str] = field(default_factory=dict)
    cuts: set[frozenset[str]] = field(default_factory=set)
    cut_peers: set[frozenset[str]] = field(default_factory=set)
    down: set[str] = field(default_factory=set)
    lag: dict[str, float] = field(default_factory=dict)
    on_message: Hook | None = None
    on_exchange: Hook | None = None

    def cut(self, one: str, other: str) -> None:
        """Cuts the connection between two data centres."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Restores all connections between data centres."""
        self.cuts.clear()

    def reachable(self, data_centre: str, address: str) -> bool:
        """Whether processes of a data centre reach an address."""
        if address in self.down or address not in self.data_centres:
            return False
        return frozenset((data_centre, self.data_centres[address])) not in self.cuts

    async def wait_one_way(self, data_centre: str, address: str, timeout: float) -> None:
        """Waits for the delay in one direction.

        Raises:
            OutcomeUnknown: DEADLINE_EXCEEDED after the timeout if the address is unreachable.
        """
        if not self.reachable(data_centre, address):
            await asyncio.sleep(timeout)
            raise OutcomeUnknown(ResultCode.DEADLINE_EXCEEDED, f"no answer from {address}")
        await asyncio.sleep(DELAY_S)


class FakeReplicationLink:
    """Replication from one member to the others over the fake network."""

    def __init__(self, network: FakeNetwork, data_centre: str) -> None:
        self._network = network
        self._data_centre = data_centre

    async def append(self, address: str, message: AppendEntries) -> AppendReply:
        """Sends entries to a member."""
        await self._network.wait_one_way(self._data_centre, address, 1.0)
        await asyncio.sleep(self._network.lag.get(address, 0.0))
        reply = self._network.members[address].append_entries(message)
        await self._network.wait_one_way(self._data_centre, address, 1.0)
        return reply


def add_group(
    network: FakeNetwork,
    group: str,
    data_centres: list[str],
    options: MemberOptions | None = None,
) -> list[DatabaseMemberStandIn]:
    """Adds a group with one member for each data centre; names and addresses: `<group>-<index>`."""
    addresses = [f"{group}-{index}" for index in range(len(data_centres))]
    members = []
    for index, (address, data_centre) in enumerate(zip(addresses, data_centres, strict=True)):
        network.data_centres[address] = data_centre
        member = DatabaseMemberStandIn(
            address,
            [other for other in addresses if other != address],
            primary=index == 0,
            options=replace(options or MemberOptions()),
            link=FakeReplicationLink(network, data_centre),
        )
        network.members[address] = member
        members.append(member)
    for member in members:
        member.start()
    return members


class FakeTransport:
    """Peer transport of one instance over the fake network."""

    def __init__(self, network: FakeNetwork, address: str, dispatcher: PeerDispatcher) -> None:
        self._network = network
        self._address = address
        self._open: dict[str, set[asyncio.Task[Any]]] = {}
        network.dispatchers[address] = dispatcher

    async def request(
        self, address: str, message: Any, reply_type: type[ReplyT], *, timeout: float
    ) -> ReplyT:
        """Delivers a message; its outcome is unknown if it is disconnected meanwhile."""
        task = asyncio.ensure_future(self._request(address, message, reply_type, timeout=timeout))
        self._open.setdefault(address, set()).add(task)
        try:
            return await task
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                raise
            raise OutcomeUnknown(
                ResultCode.CONNECTION_LOST, f"connection to {address} was lost"
            ) from None
        finally:
            self._open[address].discard(task)

    async def _request(
        self, address: str, message: Any, reply_type: type[ReplyT], *, timeout: float
    ) -> ReplyT:
        """Delivers a message; if the answer cannot return, the outcome is unknown."""
        own = self._network.data_centres[self._address]
        if address != self._address:
            if not self._reachable(address):
                await asyncio.sleep(min(timeout, 1.0))
                raise NotRun(ResultCode.PEER_UNREACHABLE, f"cannot connect to {address}")
            await asyncio.sleep(DELAY_S)
        hook = self._network.on_message
        if hook is not None:
            await hook("sent", address, message)
        # The receiver continues when the sender gives up, as it does over a real channel.
        operation = asyncio.ensure_future(self._network.dispatchers[address].deliver(message))
        operation.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            reply: ReplyT = await asyncio.wait_for(asyncio.shield(operation), timeout)
        except TimeoutError as error:
            raise OutcomeUnknown(
                ResultCode.DEADLINE_EXCEEDED, f"no answer from {address}"
            ) from error
        if hook is not None:
            await hook("answered", address, message)
        if address != self._address:
            await self._network.wait_one_way(own, address, timeout)
        return reply

    def _reachable(self, address: str) -> bool:
        own = self._network.data_centres[self._address]
        cut = frozenset((self._address, address)) in self._network.cut_peers
        return not cut and self._network.reachable(own, address)

    def disconnect(self, address: str) -> None:
        """Ends the open requests to an address."""
        for task in self._open.get(address, ()):
            task.cancel()

    def close(self) -> None:
        """Makes the instance unreachable."""
        self._network.down.add(self._address)


class FakeMember:
    """Control interface of a member over the fake network."""

    def __init__(self, network: FakeNetwork, data_centre: str, address: str) -> None:
        self._network = network
        self._data_centre = data_centre
        self._address = address

    async def status(self, *, timeout: float) -> MemberStatus:
        """Reports role, terms and log end."""
        return await self._call(lambda member: member.status(), timeout)

    async def fence(self, term: int, *, timeout: float) -> MemberStatus:
        """Fences the member."""
        return await self._call(lambda member: member.fence(term), timeout)

    async def promote(self, term: int, *, timeout: float) -> MemberStatus:
        """Promotes the member."""
        return await self._call(lambda member: member.promote(term), timeout)

    async def _call(self, action: Any, timeout: float) -> MemberStatus:
        await self._network.wait_one_way(self._data_centre, self._address, timeout)
        status: MemberStatus = action(self._network.members[self._address])
        await self._network.wait_one_way(self._data_centre, self._address, timeout)
        return status


class FakeConnection:
    """Statement connection over the fake network."""

    def __init__(self, network: FakeNetwork, data_centre: str, address: str) -> None:
        self._network = network
        self._data_centre = data_centre
        self._address = address
        self._member = network.members[address]
        self._workspace: Any = None
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer be used."""
        return self._closed

    async def execute(self, exchange: Exchange, *, timeout: float) -> BackendAnswer:
        """Runs a statement."""
        answer: BackendAnswer = await self._call(
            "execute", lambda: self._member.execute(self._workspace, exchange), timeout
        )
        return answer

    async def begin(self, *, timeout: float) -> int:
        """Opens a transaction."""
        self._workspace = self._member.begin()
        return int(self._workspace.term)

    async def settle(
        self, request_id: str, transaction_key: str, *, timeout: float
    ) -> BackendAnswer:
        """Decides whether a transaction has committed."""

        async def settle() -> BackendAnswer:
            return self._member.settle(request_id, transaction_key)

        answer: BackendAnswer = await self._call("settle", settle, timeout)
        return answer

    async def commit(
        self, request_id: str | None, transaction_key: str = "", *, timeout: float
    ) -> BackendAnswer:
        """Commits the transaction."""
        workspace, self._workspace = self._workspace, None

        async def commit() -> BackendAnswer:
            return self._member.commit(workspace, request_id, transaction_key)

        answer: BackendAnswer = await self._call("commit", commit, timeout)
        return answer

    async def rollback(self, *, timeout: float) -> None:
        """Rolls the transaction back."""
        self._workspace = None

    def close(self) -> None:
        """Closes the connection."""
        if not self._closed:
            self._closed = True
            self._workspace = None
            self._member.connections -= 1

    async def _call(self, kind: str, operation: Any, timeout: float) -> Any:
        try:
            await self._run_hook("before", kind)
            await self._network.wait_one_way(self._data_centre, self._address, timeout)
            running = asyncio.ensure_future(operation())
            running.add_done_callback(lambda task: task.cancelled() or task.exception())
            await self._run_hook("during", kind)
            answer = await asyncio.wait_for(asyncio.shield(running), timeout)
            await self._run_hook("after", kind)
            await self._network.wait_one_way(self._data_centre, self._address, timeout)
            return answer
        except (TimeoutError, OutcomeUnknown) as error:
            self.close()
            raise OutcomeUnknown(
                ResultCode.CONNECTION_LOST, f"connection to {self._address} was lost"
            ) from error

    async def _run_hook(self, stage: str, kind: str) -> None:
        if self._network.on_exchange is not None:
            await self._network.on_exchange(stage, self._address, kind)


class FakeBackend:
    """Backend of the instances of one data centre over the fake network."""

    def __init__(self, network: FakeNetwork, data_centre: str) -> None:
        self._network = network
        self._data_centre = data_centre

    def member(self, address: str) -> FakeMember:
        """Control interface of the member at an address."""
        return FakeMember(self._network, self._data_centre, address)

    async def connect(self, address: str, *, timeout: float) -> FakeConnection:
        """Opens a connection, unless the member has reached its connection limit."""
        if not self._network.reachable(self._data_centre, address):
            await asyncio.sleep(min(timeout, 1.0))
            raise NotRun(ResultCode.BACKEND_UNREACHABLE, f"cannot connect to {address}")
        member = self._network.members[address]
        if member.connections >= member.options.connection_limit:
            raise NotRun(ResultCode.CONNECTION_LIMIT, f"{address} accepts no further connection")
        member.connections += 1
        member.peak_connections = max(member.peak_connections, member.connections)
        await asyncio.sleep(member.options.connect_ms / 1000)
        return FakeConnection(self._network, self._data_centre, address)


class FakePlatform:
    """Platform services with outages, slow answers, lost answers and isolated data centres."""

    def __init__(self, network: FakeNetwork) -> None:
        self.network = network
        self.tables = MemoryTables()
        self.objects = MemoryObjects()
        self.directory = MemoryDirectory()
        self.unavailable = False
        self.lose_answers = False
        self.delay_s = 0.0
        self.cut_off: set[str] = set()

    def seen_from(self, data_centre: str) -> Platform:
        """The services as accessed by instances of a data centre."""
        return Platform(
            _FaultyService(self, data_centre, self.tables),
            _FaultyService(self, data_centre, self.objects),
            _FaultyService(self, data_centre, self.directory),
        )

    async def call(self, data_centre: str, method: Any, arguments: tuple[Any, ...]) -> Any:
        """Runs one call of a service with the configured faults."""
        await asyncio.sleep(DELAY_S + self.delay_s)
        if self.unavailable or data_centre in self.cut_off:
            raise StoreUnavailable("the platform does not answer")
        result = await method(*arguments)
        if self.lose_answers and method.__name__ in ("transact", "put"):
            raise StoreUnavailable("the answer was lost after the change took effect")
        return result


class _FaultyService:
    """Any of the services; forwards calls through `FakePlatform.call`."""

    def __init__(self, platform: FakePlatform, data_centre: str, service: Any) -> None:
        self._platform = platform
        self._data_centre = data_centre
        self._service = service

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._service, name)

        async def call(*arguments: Any) -> Any:
            return await self._platform.call(self._data_centre, method, arguments)

        return call
