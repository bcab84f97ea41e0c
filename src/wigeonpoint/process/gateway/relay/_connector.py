"""Opens connections to members, directly or behind relays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto

from wigeonpoint.connection.session import MemberConnection, MemberConnector, MemberUnreachable
from wigeonpoint.errors import NotRun, OutcomeUnknown
from wigeonpoint.process.gateway._positions import PositionSample
from wigeonpoint.process.gateway.pool import MemberSharing
from wigeonpoint.process.gateway.relay._connection import RelayedConnection
from wigeonpoint.process.gateway.relay._links import RelayLinks, RelayUnavailable
from wigeonpoint.process.gateway.relay._messages import (
    FetchSample,
    RelayCheck,
    RelayReady,
    SharedSample,
)
from wigeonpoint.version.catalogue import MemberRecord

CHECK_TIMEOUT_S = 0.25
# After this long without an answer, the next relay is asked as well, and after the last one the
# member itself.
CHECK_STAGGER_S = 0.05
CHECKED_RELAYS = 2
FETCH_TIMEOUT_S = 0.02  # then the read goes to the primary, which takes little longer


class _Verdict(Enum):
    """What a relay tells about a member."""

    REACHED = auto()
    NOT_REACHED = auto()
    NO_ANSWER = auto()


class RelayingConnector:
    """Implements `MemberConnector`; members that are shared by relays get no own connections.

    Args:
        own: Name of this instance.
        direct: Opens connections to members.
        sharing: Decides which members lie behind relays.
        links: Links to relays.
        limit: Returns the connection limit of a service's members.
        configuration: Returns the store version of the configuration that this instance has.
    """

    def __init__(
        self,
        own: str,
        direct: MemberConnector,
        sharing: MemberSharing,
        links: RelayLinks,
        limit: Callable[[str], int],
        configuration: Callable[[], int],
    ) -> None:
        self._own = own
        self._direct = direct
        self._sharing = sharing
        self._links = links
        self._limit = limit
        self._get_configuration = configuration
        self._checks: set[asyncio.Task[_Verdict]] = set()

    async def connect(
        self, record: MemberRecord, *, timeout: float, verify: bool = True, customer: str = ""
    ) -> MemberConnection:
        """Opens a connection, behind relays if the member is shared by them.

        To verify a member, its relays are asked. If none answers soon, the connection is opened
        directly: the member stays in use while its relays are lost, and counts as unreachable only
        if this instance does not reach it.

        Raises:
            MemberUnreachable: No connection could be made in time.
            MemberRefused: The member refused a direct connection.
        """
        if not self.relayed(record):
            return await self._direct.connect(record, timeout=timeout, customer=customer)
        verdict = await self._check_relays(record) if verify else _Verdict.REACHED
        if verdict is _Verdict.NOT_REACHED:
            raise MemberUnreachable("its relays do not reach it")
        if verdict is _Verdict.NO_ANSWER:
            return await self._direct.connect(record, timeout=timeout, customer=customer)
        return RelayedConnection(
            self._own,
            record,
            self._links,
            lambda customer: self._usable_relays(record, customer),
            self._get_configuration,
            verified=verify,
        )

    def relayed(self, record: MemberRecord) -> bool:
        """Whether a member lies behind relays."""
        return self._sharing.relayed(self._limit(record.service))

    def superseded(self, record: MemberRecord, connection: MemberConnection) -> bool:
        """Whether a connection to a member was opened in another way than it would be now."""
        return isinstance(connection, RelayedConnection) != self.relayed(record)

    async def fetch(self, primary: MemberRecord) -> PositionSample | None:
        """Fetches the newest position of a primary that its preferred relay knows."""
        if not self.relayed(primary):
            return None
        asked_at = asyncio.get_running_loop().time()
        message = FetchSample(primary.service, primary.id)
        try:
            shared = await self._links.request(
                self._usable_relays(primary)[0], message, SharedSample, timeout=FETCH_TIMEOUT_S
            )
        except (RelayUnavailable, NotRun, OutcomeUnknown):
            return None  # the read goes to the primary, whose answer brings a position
        if shared.position is None:
            return None
        return PositionSample(asked_at - shared.age_s, shared.position)

    def _usable_relays(self, record: MemberRecord, customer: str = "") -> list[str]:
        """Usable relays of a member; all of them if none is."""
        relays = self._sharing.relays(record, self._limit(record.service), customer)
        return [relay for relay in relays if self._links.usable(relay)] or relays

    async def _check_relays(self, record: MemberRecord) -> _Verdict:
        """Asks relays until one reaches the member; later ones while earlier ones are late."""
        waiting: set[asyncio.Task[_Verdict]] = set()
        verdict = _Verdict.NO_ANSWER
        loop = asyncio.get_running_loop()
        for relay in self._usable_relays(record)[:CHECKED_RELAYS]:
            asked_at = loop.time()
            waiting.add(self._start_check(relay, record))
            done, waiting = await asyncio.wait(
                waiting, timeout=CHECK_STAGGER_S, return_when=asyncio.FIRST_COMPLETED
            )
            verdicts = {task.result() for task in done}
            if _Verdict.REACHED in verdicts:
                return _Verdict.REACHED
            if _Verdict.NOT_REACHED in verdicts:
                verdict = _Verdict.NOT_REACHED
            if not done:
                self._links.note_late(relay, asked_at)
        return verdict

    def _start_check(self, relay: str, record: MemberRecord) -> asyncio.Task[_Verdict]:
        """Starts a check, which judges the relay even if nothing waits for its result."""
        task = asyncio.create_task(self._check(relay, record))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)
        return task

    async def _check(self, relay: str, record: MemberRecord) -> _Verdict:
        message = RelayCheck(record.service, record.id)
        try:
            await self._links.request(relay, message, RelayReady, timeout=CHECK_TIMEOUT_S)
        except RelayUnavailable:
            return _Verdict.NO_ANSWER
        except OutcomeUnknown:
            self._links.note_failed(relay, "no answer to a check in time")
            return _Verdict.NO_ANSWER
        except NotRun:
            return _Verdict.NOT_REACHED
        return _Verdict.REACHED
