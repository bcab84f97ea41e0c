"""Membership protocol (SWIM): pings, indirect pings, suspicion and synchronisation."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from wigeonpoint.connection import Acknowledgement, PeerDispatcher, PeerTransport
from wigeonpoint.errors import NotRun, ResultCode, WigeonpointError
from wigeonpoint.process._swim_messages import (
    DirectoryVersion,
    IndirectPingMessage,
    PingMessage,
    PingReply,
    SyncMessage,
    SyncReply,
    Versions,
)
from wigeonpoint.version import InstanceRecord, MemberDelta, Membership, MemberState

PERIOD_S = 0.5
PING_TIMEOUT_S = 0.25
INDIRECT_TIMEOUT_S = 0.5
SYNC_TIMEOUT_S = 1.0
INDIRECT_PINGS = 2
REMOTE_PINGS = 2  # mean number of pings from a data centre to each other one in a period
SYNC_INTERVAL_S = 5.0
MISMATCHES_BEFORE_SYNC = 3  # pings in a row with another digest while no delta is unsent
MAX_NEW_CANDIDATES = 5  # new candidates pinged in a period
# Members that are informed in a period that another data centre considers them suspect or dead.
MAX_FORWARDED_CLAIMS = 10

ReplyT = TypeVar("ReplyT")


@dataclass(frozen=True, slots=True)
class VersionHooks:
    """Callbacks that supply the version numbers on pings and receive newer ones.

    Attributes:
        configuration: Returns the number of the active configuration.
        on_newer_configuration: Called with a higher number and the address that has it.
        directory: Returns the version of the platform's directory.
        on_newer_directory: Called with a higher version and the address that has it.
    """

    configuration: Callable[[], int] = lambda: 0
    on_newer_configuration: Callable[[int, str], None] = lambda number, address: None
    directory: Callable[[], DirectoryVersion] = DirectoryVersion
    on_newer_directory: Callable[[DirectoryVersion, str], None] = lambda version, address: None


class Swim:
    """Synchronises a membership view with the peers.

    Args:
        membership: The view.
        transport: Sends messages to instances.
        seeds: Addresses to ask before any member is known.
        hooks: Version numbers on pings.
        random_source: Source of random choices, such as the order of pings.
    """

    def __init__(
        self,
        membership: Membership,
        transport: PeerTransport,
        *,
        seeds: list[str],
        hooks: VersionHooks | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        self._membership = membership
        self._transport = transport
        self._own_record = membership.own.record
        self._seeds = [seed for seed in seeds if seed != self._own_record.address]
        self._hooks = hooks or VersionHooks()
        self._random = random_source or random.Random()
        self._ping_order: list[str] = []
        self._tried_addresses: set[str] = set()
        self._claims_to_forward: dict[str, MemberDelta] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._mismatches = 0
        self._next_sync = 0.0
        self._joined = False

    @property
    def joined(self) -> bool:
        """Whether a peer has sent its members, or every known address has been tried."""
        return self._joined

    def register(self, dispatcher: PeerDispatcher) -> None:
        """Registers the handlers of all membership messages."""
        dispatcher.register(PingMessage, self.answer_ping)
        dispatcher.register(IndirectPingMessage, self.answer_indirect_ping)
        dispatcher.register(SyncMessage, self.answer_sync)

    def start(self) -> None:
        """Starts the tasks."""
        self._spawn(self._run())

    def close(self) -> None:
        """Cancels the tasks."""
        for task in self._tasks:
            task.cancel()

    async def answer_ping(self, message: PingMessage) -> PingReply:
        """Applies the claims of a ping and answers with claims of this instance."""
        self._handle_claims(message)
        return PingReply(self._membership.own, self._versions(), self._deltas_for(message.sender))

    async def answer_indirect_ping(self, message: IndirectPingMessage) -> Acknowledgement:
        """Pings a member on behalf of another.

        Raises:
            NotRun: PEER_UNREACHABLE if the member does not answer.
        """
        if not await self._ping(message.address, message.member_id):
            raise NotRun(ResultCode.PEER_UNREACHABLE, f"no answer from {message.address}")
        return Acknowledgement()

    async def answer_sync(self, message: SyncMessage) -> SyncReply:
        """Answers with the members of every data centre whose digest differs."""
        self._apply(message.sender, message.sender.record.data_centre)
        own = self._membership.digests
        differing = {
            name
            for name in own.keys() | message.digests.keys()
            if own.get(name, 0) != message.digests.get(name, 0)
        }
        deltas = [d for d in self._membership.deltas if d.record.data_centre in differing]
        return SyncReply(self._membership.own, deltas)

    async def announce_leaving(self) -> None:
        """Informs the own data centre and a few members of each other one that this one leaves.

        The other members receive the claim with later pings.
        """
        self._membership.leave()
        members = self._membership.reachable(self._own_record.data_centre)
        for name in self._membership.data_centres():
            others = self._membership.reachable(name)
            members += self._random.sample(others, min(REMOTE_PINGS, len(others)))
        await asyncio.gather(
            *(self._ping(member.record.address, member.record.id) for member in members)
        )

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        # Instances that start together would otherwise ping at the same time.
        await asyncio.sleep(self._random.uniform(0, PERIOD_S / 10))
        last = loop.time()
        while True:
            now = loop.time()
            if now - last > 2 * PERIOD_S:
                self._membership.restart_suspicions(now)
            last = now
            self._membership.expire(now)
            if not self._joined:
                self._spawn(self._join())
            self._start_probes()
            await asyncio.sleep(PERIOD_S)

    def _start_probes(self) -> None:
        target = self._next_target()
        if target is not None:
            self._spawn(self._probe(target))
        for record in self._extra_targets():
            self._spawn(self._probe_extra(record))
        for member_id in list(self._claims_to_forward)[:MAX_FORWARDED_CLAIMS]:
            self._spawn(self._forward_claim(self._claims_to_forward.pop(member_id)))

    def _next_target(self) -> MemberDelta | None:
        """The next member of the own data centre, in a random order that includes each once."""
        for _ in range(2):
            while self._ping_order:
                member = self._membership.get(self._ping_order.pop())
                if member is not None and member.state is not MemberState.DEAD:
                    return member
            members = self._membership.reachable(self._own_record.data_centre)
            self._ping_order = [member.record.id for member in members]
            self._random.shuffle(self._ping_order)
        return None

    def _extra_targets(self) -> list[InstanceRecord]:
        """Members of other data centres, new candidates and dead members to ping in this period."""
        own = self._own_record.data_centre
        size = 1 + len(self._membership.reachable(own))
        chosen: list[InstanceRecord] = []
        for name in [own, *self._membership.data_centres()]:
            selected = self._random.random() < REMOTE_PINGS / size
            if name != own and not selected:
                continue  # avoids a pass over the members of every data centre
            known = self._membership.unresponsive(name)
            untried = [record for record in known if record.address not in self._tried_addresses]
            chosen += untried[: MAX_NEW_CANDIDATES - len(chosen)]
            if name != own:
                known += [delta.record for delta in self._membership.reachable(name)]
            if known and selected:
                chosen.append(self._random.choice(known))
        return chosen

    async def _probe(self, member: MemberDelta) -> None:
        record = member.record
        if await self._ping(record.address, record.id) or await self._ping_indirectly(record):
            return
        self._membership.suspect(record.id, asyncio.get_running_loop().time())

    async def _ping_indirectly(self, record: InstanceRecord) -> bool:
        relays = [
            delta.record
            for name in [self._own_record.data_centre, *self._membership.data_centres()]
            for delta in self._membership.reachable(name)
            if delta.record.id != record.id
            and (name == self._own_record.data_centre) == (name == record.data_centre)
        ]
        chosen = self._random.sample(relays, min(INDIRECT_PINGS, len(relays)))
        message = IndirectPingMessage(record.address, record.id)
        replies = await asyncio.gather(
            *(
                self._request(relay.address, message, Acknowledgement, INDIRECT_TIMEOUT_S)
                for relay in chosen
            )
        )
        return any(reply is not None for reply in replies)

    async def _probe_extra(self, record: InstanceRecord) -> None:
        self._tried_addresses.add(record.address)
        known = self._membership.get(record.id)
        if await self._ping(record.address, record.id):
            return
        if known is not None and known.state is not MemberState.DEAD:
            await self._probe(known)

    async def _forward_claim(self, claim: MemberDelta) -> None:
        member = self._membership.get(claim.record.id)
        if member is not None:
            await self._ping(member.record.address, member.record.id, extra=[claim])

    async def _ping(
        self, address: str, member_id: str, *, extra: list[MemberDelta] | None = None
    ) -> bool:
        deltas = self._membership.take_deltas()
        known = self._membership.get(member_id)
        if known is not None and known.state is not MemberState.LIVE:
            deltas = [known, *deltas]
        message = PingMessage(self._membership.own, self._versions(), [*(extra or []), *deltas])
        reply = await self._request(address, message, PingReply, PING_TIMEOUT_S)
        if reply is None:
            return False
        self._handle_claims(reply)
        return reply.sender.record.id == member_id

    async def _join(self) -> None:
        """Requests the members known to seeds and candidates; repeated until one answers."""
        directory_known = self._hooks.directory().number > 0
        names = [self._own_record.data_centre, *self._membership.data_centres()]
        listed = [
            record.address for name in names for record in self._membership.unresponsive(name)
        ]
        addresses = [
            *self._seeds,
            *self._random.sample(listed, min(MAX_NEW_CANDIDATES, len(listed))),
        ]
        synced = await asyncio.gather(*(self._sync(address) for address in addresses))
        # Without an answer, joining waits for a directory whose instances could be tried.
        if any(synced) or directory_known:
            self._joined = True

    async def _sync(self, address: str) -> bool:
        message = SyncMessage(self._membership.own, self._membership.digests)
        reply = await self._request(address, message, SyncReply, SYNC_TIMEOUT_S)
        if reply is None:
            return False
        source = reply.sender.record.data_centre
        for delta in [reply.sender, *reply.deltas]:
            self._apply(delta, source)
            known = self._membership.get(delta.record.id)
            if known is not None and known.supersedes(delta):
                self._membership.requeue_delta(known.record.id)
        return True

    def _handle_claims(self, message: PingMessage | PingReply) -> None:
        sender = message.sender
        for delta in [sender, *message.deltas]:
            self._apply(delta, sender.record.data_centre)
        self._compare_versions(message.versions, sender.record.address)

    def _apply(self, delta: MemberDelta, source: str) -> None:
        now = asyncio.get_running_loop().time()
        if not self._membership.apply(delta, now, source=source):
            self._claims_to_forward[delta.record.id] = delta

    def _deltas_for(self, sender: MemberDelta) -> list[MemberDelta]:
        deltas = self._membership.take_deltas()
        known = self._membership.get(sender.record.id)
        # A sender that is recorded with another state or address is informed and refutes the claim.
        return deltas if known is None or known == sender else [known, *deltas]

    def _versions(self) -> Versions:
        hooks = self._hooks
        return Versions(hooks.configuration(), hooks.directory(), self._membership.digest)

    def _compare_versions(self, received: Versions, address: str) -> None:
        if received.configuration > self._hooks.configuration():
            self._hooks.on_newer_configuration(received.configuration, address)
        if received.directory > self._hooks.directory():
            self._hooks.on_newer_directory(received.directory, address)
        if received.digest == self._membership.digest or not self._membership.settled:
            self._mismatches = 0
            return
        self._mismatches += 1
        now = asyncio.get_running_loop().time()
        if self._mismatches >= MISMATCHES_BEFORE_SYNC and now >= self._next_sync:
            self._mismatches = 0
            self._next_sync = now + SYNC_INTERVAL_S
            self._spawn(self._sync_once(address))

    async def _sync_once(self, address: str) -> None:
        await self._sync(address)

    async def _request(
        self, address: str, message: Any, reply_type: type[ReplyT], timeout: float
    ) -> ReplyT | None:
        try:
            # The transport's timeout does not include the time to connect, so the call has its own.
            return await asyncio.wait_for(
                self._transport.request(address, message, reply_type, timeout=timeout), timeout
            )
        except (WigeonpointError, TimeoutError):
            return None

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
