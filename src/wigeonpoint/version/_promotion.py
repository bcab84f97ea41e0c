"""Change of primary: claim a term, fence a majority, choose a candidate, promote it, settle.

An instance may fail at any point. The group's record tells another instance where to resume, and
conditional updates of the record decide between instances that act at the same time.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, replace
from typing import Any

from wigeonpoint.backend import Backend, MemberRole, MemberStatus
from wigeonpoint.errors import NotRun, ResultCode, WigeonpointError
from wigeonpoint.events import Event, log_event
from wigeonpoint.version._group import GroupView
from wigeonpoint.version._group_record import GroupPhase, GroupRecord, GroupRecords, StoredRecord
from wigeonpoint.version._history import TermHistory
from wigeonpoint.version._servers import BackendServer

MEMBER_TIMEOUT_S = 0.5
PROMOTE_ATTEMPTS = 2
SETTLE_PAUSE_S = 0.01  # between two checks whether a majority holds the term's first entry
SETTLE_LIMIT_S = 5.0
MAX_CANDIDATE_MISSES = 3
CLAIM_ID_BYTES = 9


@dataclass(frozen=True, slots=True)
class NewPrimary:
    """A newly promoted primary, as announced to all instances."""

    group: str
    server_id: str
    term: int
    history: TermHistory
    members: tuple[str, ...] = ()


Announce = Callable[[NewPrimary], None]


class CandidateLost(NotRun):
    """The chosen candidate did not become primary; a new change has to claim a later term."""


class Promotion:
    """Carries out changes of primary of one group for one instance.

    Args:
        group: View of the group.
        records: Group records.
        backend: Access to the members.
        instance_id: Id written into claims.
        announce: Tells all instances of a new primary; must not block.
    """

    def __init__(
        self,
        group: GroupView,
        records: GroupRecords,
        backend: Backend,
        *,
        instance_id: str,
        announce: Announce,
    ) -> None:
        self._group = group
        self._records = records
        self._backend = backend
        self._instance_id = instance_id
        self._announce = announce
        self._calls: set[asyncio.Task[Any]] = set()

    async def replace_primary(
        self,
        stored: StoredRecord,
        *,
        seen_term: int,
        excluded: Sequence[str] = (),
        awaited: Sequence[str] = (),
    ) -> StoredRecord:
        """Claims the next term and promotes the member whose log ends last.

        Args:
            stored: The record as last read.
            seen_term: Highest term seen at any member.
            excluded: Members not to wait for, if the others include the required majorities.
            awaited: Members whose answer to the fence is waited for even after a majority.

        Raises:
            WigeonpointError: A step failed; the record shows how far the change has come.
        """
        known = stored.record
        record = replace(
            known,
            term=max(known.term, seen_term) + 1,
            phase=GroupPhase.CLAIMED,
            claimant=self._instance_id,
            claim_id=secrets.token_urlsafe(CLAIM_ID_BYTES),
            candidate="",
        )
        if known.phase is GroupPhase.STABLE:
            record = replace(
                record,
                members=tuple(server.id for server in self._group.servers),
                former_members=known.members or tuple(sorted(self._group.membership.recorded)),
            )
        claimed = await self._records.write(self._group.name, record, version=stored.version)
        self._log(Event.TERM_CLAIMED, record)
        return await self._fence_and_choose(claimed, excluded, awaited)

    async def resume(self, stored: StoredRecord) -> StoredRecord:
        """Takes over a change of primary that has made no progress.

        Raises:
            CandidateLost: The candidate cannot be promoted; claim the next term.
            WigeonpointError: A step failed.
        """
        self._log(Event.PROMOTION_RESUMED, stored.record)
        if stored.record.phase is GroupPhase.PROMOTING:
            return await self._promote_and_settle(stored)
        record = replace(
            stored.record,
            claimant=self._instance_id,
            claim_id=secrets.token_urlsafe(CLAIM_ID_BYTES),
        )
        taken_over = await self._records.write(self._group.name, record, version=stored.version)
        return await self._fence_and_choose(taken_over)

    def close(self) -> None:
        """Cancels calls that are still running."""
        for task in self._calls:
            task.cancel()

    async def _fence_and_choose(
        self,
        claimed: StoredRecord,
        excluded: Sequence[str] = (),
        awaited: Sequence[str] = (),
    ) -> StoredRecord:
        record = claimed.record
        fenced = await self._fence(record, excluded, set(awaited))
        chosen_id = self._choose(fenced)
        history = TermHistory(record.history).extended(record.term, fenced[chosen_id].at)
        chosen = replace(
            record, phase=GroupPhase.PROMOTING, candidate=chosen_id, history=history.starts
        )
        promoting = await self._records.write(self._group.name, chosen, version=claimed.version)
        self._log(Event.CANDIDATE_CHOSEN, chosen)
        return await self._promote_and_settle(promoting)

    async def _fence(
        self, record: GroupRecord, excluded: Sequence[str], awaited: set[str]
    ) -> dict[str, MemberStatus]:
        """Fences members; returns the statuses once the required majorities accept the term."""
        servers = self._group.servers
        remaining = [server for server in servers if server.id not in excluded]
        if _has_both_majorities({server.id for server in remaining}, record):
            servers = remaining
        fenced: dict[str, MemberStatus] = {}
        calls = {self._spawn(self._fence_member(server, record.term)) for server in servers}
        while calls:
            done, calls = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            for call in done:
                server_id, status = call.result()
                awaited = awaited - {server_id}
                if status is not None:
                    fenced[server_id] = status
            if _has_both_majorities(set(fenced), record) and not awaited:
                # An excluded member may still act as primary. Its answers are no longer confirmed;
                # the fence makes it refuse statements at once.
                for server in self._group.servers:
                    if server not in servers:
                        self._spawn(self._fence_member(server, record.term))
                self._log(Event.TERM_FENCED, record, members=sorted(fenced))
                return fenced
        raise NotRun(
            ResultCode.NO_PRIMARY,
            f"no majority of group {self._group.name} accepted term {record.term}",
        )

    async def _fence_member(
        self, server: BackendServer, term: int
    ) -> tuple[str, MemberStatus | None]:
        try:
            member = self._backend.member(server.address)
            return server.id, await member.fence(term, timeout=MEMBER_TIMEOUT_S)
        except WigeonpointError:
            return server.id, None

    def _choose(self, fenced: dict[str, MemberStatus]) -> str:
        """The member whose log ends last, by term and position; if equal, one not leaving."""
        leaving = {server.id for server in self._group.servers if server.leaving}
        return max(
            fenced,
            key=lambda server_id: (
                fenced[server_id].at,
                server_id not in leaving and not fenced[server_id].leaving,
                server_id,
            ),
        )

    async def _promote_and_settle(self, promoting: StoredRecord) -> StoredRecord:
        record = promoting.record
        await self._promote(record)
        history = TermHistory(record.history)
        self._group.note_primary(record.candidate, record.term)
        self._group.note_history(history)
        self._group.note_members(record.members, record.term)
        self._announce(
            NewPrimary(self._group.name, record.candidate, record.term, history, record.members)
        )
        self._log(Event.MEMBER_PROMOTED, record)
        await self._wait_for_first_entry(record)
        settled = replace(record, phase=GroupPhase.STABLE, primary=record.candidate)
        stable = await self._records.write(self._group.name, settled, version=promoting.version)
        self._log(Event.GROUP_STABLE, settled)
        return stable

    async def _promote(self, record: GroupRecord) -> None:
        server = self._group.server(record.candidate)
        for _ in range(PROMOTE_ATTEMPTS if server else 0):
            assert server is not None
            try:
                member = self._backend.member(server.address)
                await member.promote(record.term, timeout=MEMBER_TIMEOUT_S)
                return
            except WigeonpointError:
                continue
        raise self._candidate_lost(record)

    async def _wait_for_first_entry(self, record: GroupRecord) -> None:
        """Waits until a majority holds the empty entry with which the term begins."""
        loop = asyncio.get_running_loop()
        end = loop.time() + SETTLE_LIMIT_S
        start = TermHistory(record.history).starts[-1].start
        misses = 0
        while loop.time() < end:
            statuses = await self._statuses(record)
            candidate = statuses.get(record.candidate)
            if any(status.fenced_term > record.term for status in statuses.values()):
                raise self._candidate_lost(record)
            misses = 0 if candidate is not None else misses + 1
            if misses >= MAX_CANDIDATE_MISSES:
                raise self._candidate_lost(record)
            holding = {
                server_id
                for server_id, status in statuses.items()
                if _holds_first_entry(status, record.term, start)
            }
            if (
                candidate is not None
                and candidate.role is MemberRole.PRIMARY
                and _has_majority(holding, record.members)
            ):
                return
            await asyncio.sleep(SETTLE_PAUSE_S)
        raise NotRun(
            ResultCode.NO_PRIMARY,
            f"no majority of group {self._group.name} followed term {record.term} in time",
        )

    async def _statuses(self, record: GroupRecord) -> dict[str, MemberStatus]:
        """Statuses of the members; returns once the candidate and a majority have answered."""
        servers = [server for server in self._group.servers if server.id in record.members]
        calls = {self._spawn(self._member_status(server)) for server in servers}
        found: dict[str, MemberStatus] = {}
        while calls:
            done, calls = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            for call in done:
                server_id, status = call.result()
                if status is not None:
                    found[server_id] = status
            if record.candidate in found and _has_majority(set(found), record.members):
                break
        return found

    async def _member_status(self, server: BackendServer) -> tuple[str, MemberStatus | None]:
        try:
            member = self._backend.member(server.address)
            return server.id, await member.status(timeout=MEMBER_TIMEOUT_S)
        except WigeonpointError:
            return server.id, None

    def _candidate_lost(self, record: GroupRecord) -> CandidateLost:
        return CandidateLost(
            ResultCode.NO_PRIMARY,
            f"{record.candidate} did not become primary of term {record.term}",
        )

    def _spawn(
        self, call: Coroutine[Any, Any, tuple[str, MemberStatus | None]]
    ) -> asyncio.Task[tuple[str, MemberStatus | None]]:
        # The task outlives its caller: slow members are still fenced after a majority has answered.
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return task

    def _log(self, event: Event, record: GroupRecord, **fields: Any) -> None:
        log_event(
            event,
            group=self._group.name,
            term=record.term,
            candidate=record.candidate,
            **fields,
        )


def _has_majority(found: set[str], members: Sequence[str]) -> bool:
    return len(found.intersection(members)) >= len(members) // 2 + 1


def _has_both_majorities(found: set[str], record: GroupRecord) -> bool:
    sets = (record.members, record.former_members)
    return all(_has_majority(found, members) for members in sets if members)


def _holds_first_entry(status: MemberStatus, term: int, start: int) -> bool:
    return status.fenced_term == term and status.log_term == term and status.position > start
