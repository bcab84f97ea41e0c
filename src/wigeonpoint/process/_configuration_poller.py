"""Watches the tables on two instances of each data centre."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

from wigeonpoint.errors import ConfigurationRefused, PlatformError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._configuration_spread import ConfigurationPeers
from wigeonpoint.version import (
    ConfigurationState,
    ConfigurationStore,
    RowProblem,
    TableAcceptance,
)

HEAD_POLL_S = 1.0
# A scan of 2,900 rows in each table transfers 435 KB, so the pollers of all data centres
# share the scans: each waits in proportion to their count, which keeps the rate of all together
# at one scan in this time and the bytes of each within its budget.
SCAN_SHARE_S = 1.2
MAX_RECHECK_S = 2.0  # longest time between scans while rows are refused


class ConfigurationPoller:
    """Reads the head often and the tables less often while this instance is a poller.

    Args:
        store: Accepted states.
        state: Gives the state in force here.
        peers: Tells whether this instance is a poller.
        groups: Gives the listed database groups.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        state: Callable[[], ConfigurationState],
        peers: ConfigurationPeers,
        groups: Callable[[], Collection[str]],
    ) -> None:
        self._store = store
        self._state = state
        self._peers = peers
        self._acceptance = TableAcceptance(store, state, groups)
        self._reachable = True
        self._problems: list[RowProblem] = []

    @property
    def problems(self) -> list[RowProblem]:
        """Why rows in the tables are refused; empty unless this instance is a poller."""
        return list(self._problems) if self._peers.is_poller else []

    async def run(
        self,
        apply: Callable[[ConfigurationState | None], None],
        accept: Callable[[ConfigurationState], None],
    ) -> None:
        """Watches the tables for ever.

        Args:
            apply: Takes a state that was accepted elsewhere.
            accept: Takes a state that was accepted here.
        """
        loop = asyncio.get_running_loop()
        next_scan = loop.time()
        while True:
            if self._peers.is_poller:
                scan = loop.time() >= next_scan or self._state().number == 0
                await self._poll(apply, accept, scan=scan)
                if scan:
                    next_scan = loop.time() + self._scan_pause()
            await asyncio.sleep(HEAD_POLL_S)

    async def _poll(
        self,
        apply: Callable[[ConfigurationState | None], None],
        accept: Callable[[ConfigurationState], None],
        *,
        scan: bool,
    ) -> None:
        try:
            head = await self._store.head()
            if head.number > self._state().number:
                apply(await self._store.state(head))
            if scan:
                accepted = await self._acceptance.examine()
                self._report(self._acceptance.problems)
                if accepted is not None:
                    log_event(Event.CONFIGURATION_ACCEPTED, state=accepted.number)
                    accept(accepted)
        except ConfigurationRefused as error:
            self._report([RowProblem(error.code, "configuration", "head", error.message)])
        except PlatformError as error:
            self._note_reachable(False, error.message)
        except Exception as error:  # a fault in one poll must not end the watch
            log_event(Event.INTERNAL_ERROR, error=repr(error))
        else:
            self._note_reachable(True, "")

    def _scan_pause(self) -> float:
        """Seconds until the next scan, at random so that the pollers do not scan in step."""
        pause = random.uniform(0.5, 1.5) * SCAN_SHARE_S * self._peers.poller_count
        return min(pause, MAX_RECHECK_S) if self._problems else pause

    def _report(self, problems: list[RowProblem]) -> None:
        if problems == self._problems:
            return
        if problems:
            log_event(
                Event.CONFIGURATION_REFUSED,
                state=self._state().number,
                reasons=[[int(problem.code), problem.message] for problem in problems],
            )
        else:
            log_event(Event.CONFIGURATION_CORRECTED, state=self._state().number)
        self._problems = problems

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            event = Event.TABLES_REACHABLE if reachable else Event.TABLES_UNREACHABLE
            log_event(event, reason=reason)
