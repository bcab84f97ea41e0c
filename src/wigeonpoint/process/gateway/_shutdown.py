"""Graceful shutdown of a gateway."""

from __future__ import annotations

import asyncio

from wigeonpoint.process.gateway._open_sessions import OpenSessions
from wigeonpoint.process.gateway.relay import RelayService

# The balancer probes once a second and stops sending callers after two failed probes.
BALANCER_DETECTION_S = 2.3
TRANSACTION_FRACTION = 0.5  # of the grace period, for open transactions to end
EXIT_MARGIN_S = 0.6  # of the grace period, for deregistering and the end of the process
PROCESS_EXIT_S = 0.3
ANSWER_MARGIN_S = 0.1  # for the answers to statements that reach their deadline
CLOSE_INTERVAL_S = 0.1
CLOSE_FRACTION = 0.2  # of the sessions at each step, so that callers do not all reconnect at once


class GatewayShutdown:
    """Closes sessions without interrupting a statement, as long as the grace period allows.

    Args:
        sessions: The sessions.
        relay: Runs statements of other instances, whose transactions may end first.
        grace_s: Seconds until the process is killed.
    """

    def __init__(self, sessions: OpenSessions, relay: RelayService, grace_s: float) -> None:
        self._sessions = sessions
        self._relay = relay
        self._grace_s = grace_s
        self._started_at = asyncio.get_running_loop().time()

    @property
    def remaining_s(self) -> float:
        """Seconds until the process should exit by itself."""
        elapsed = asyncio.get_running_loop().time() - self._started_at
        return max(self._grace_s - PROCESS_EXIT_S - elapsed, 0.0)

    async def run(self) -> None:
        """Closes the sessions; returns when none is left or the grace period is nearly over."""
        loop = asyncio.get_running_loop()
        started_at = self._started_at
        detection_s = min(BALANCER_DETECTION_S, self._grace_s / 2)
        await asyncio.sleep(detection_s)
        aborted = False
        while loop.time() - started_at < self._grace_s - EXIT_MARGIN_S:
            if not self._sessions and not self._relay.transactions:
                return
            self._sessions.end_sessions(
                max(int(len(self._sessions) * CLOSE_FRACTION), 1),
                last_end_at=started_at + self._grace_s - EXIT_MARGIN_S - ANSWER_MARGIN_S,
            )
            if not aborted and loop.time() - started_at >= self._grace_s * TRANSACTION_FRACTION:
                aborted = True
                self._sessions.abort_transactions()
            await asyncio.sleep(CLOSE_INTERVAL_S)
