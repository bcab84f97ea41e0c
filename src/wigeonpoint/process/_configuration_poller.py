"""Polls the configuration tables, on two instances of each data centre."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

from wigeonpoint.errors import ConfigurationRefused, PlatformError
from wigeonpoint.events import Event, log_event
from wigeonpoint.process._configuration_peers import ConfigurationPeers
from wigeonpoint.version import (
    ConfigurationState,
    ConfigurationStore,
    RowProblem,
    TableAcceptance,
)

HEAD_POLL_INTERVAL_S = 1.0
# A scan of 2,900 rows in each table transfers 435 KB, so the pollers of all data centres share
# the scans: each waits this time multiplied by their number. All together scan once in this time,
# and each stays within its traffic budget.
SCAN_INTERVAL_PER_POLLER_S = 1.2
MAX_RECHECK_INTERVAL_S = 2.0  # longest time between scans while rows are refused


class ConfigurationPoller:
    """Polls the head row often and scans the tables less often while this instance is a poller.

    Args:
        store: Accepted states.
        state: Returns the active state.
        peers: Knows whether this instance is a poller.
        groups: Returns the names of the listed database groups.
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
        """Polls the tables until it is cancelled.

        Args:
            apply: Called with a state that another instance accepted.
            accept: Called with a state that this instance accepted.
        """
        loop = asyncio.get_running_loop()
        next_scan = loop.time()
        while True:
            if self._peers.is_poller:
                scan = loop.time() >= next_scan or self._state().number == 0
                await self._poll(apply, accept, scan=scan)
                if scan:
                    next_scan = loop.time() + self._scan_pause()
            await asyncio.sleep(HEAD_POLL_INTERVAL_S)

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
                self._report_problems(self._acceptance.problems)
                if accepted is not None:
                    log_event(Event.CONFIGURATION_ACCEPTED, state=accepted.number)
                    accept(accepted)
        except ConfigurationRefused as error:
            self._report_problems([RowProblem(error.code, "configuration", "head", error.message)])
        except PlatformError as error:
            self._set_reachable(False, error.message)
        except Exception as error:  # an internal error in one poll must not stop polling
            log_event(Event.INTERNAL_ERROR, error=repr(error))
        else:
            self._set_reachable(True, "")

    def _scan_pause(self) -> float:
        """Seconds until the next scan, random so that pollers do not scan at the same time."""
        pause = random.uniform(0.5, 1.5) * SCAN_INTERVAL_PER_POLLER_S * self._peers.poller_count
        return min(pause, MAX_RECHECK_INTERVAL_S) if self._problems else pause

    def _report_problems(self, problems: list[RowProblem]) -> None:
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

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            event = Event.TABLES_REACHABLE if reachable else Event.TABLES_UNREACHABLE
            log_event(event, reason=reason)
