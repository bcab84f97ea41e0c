"""Graceful shutdown of a gateway."""

from __future__ import annotations

import asyncio

from wigeonpoint.process.gateway._session_service import SessionService

# The balancer asks once a second and needs two misses.
BALANCER_NOTICE_S = 2.3
TRANSACTION_SHARE = 0.5  # of the grace period, for open transactions to end
EXIT_MARGIN_S = 0.6  # of the grace period, for the withdrawal and the end of the process
PROCESS_END_S = 0.3
STEP_S = 0.1
CLOSE_SHARE = 0.2  # of the idle sessions at each step, so that they do not reconnect all at once


class GatewayShutdown:
    """Ends sessions in an order that interrupts no statement.

    Args:
        sessions: The sessions.
        grace_s: Seconds until the process is killed.
    """

    def __init__(self, sessions: SessionService, grace_s: float) -> None:
        self._sessions = sessions
        self._grace_s = grace_s
        self._started_at = asyncio.get_running_loop().time()

    @property
    def remaining_s(self) -> float:
        """Seconds until the process should end by itself."""
        elapsed = asyncio.get_running_loop().time() - self._started_at
        return max(self._grace_s - PROCESS_END_S - elapsed, 0.0)

    async def run(self) -> None:
        """Returns when nothing is left to finish, or shortly before the grace period is over."""
        loop = asyncio.get_running_loop()
        started = self._started_at
        notice_s = min(BALANCER_NOTICE_S, self._grace_s / 2)
        await asyncio.sleep(notice_s)
        aborted = False
        while loop.time() - started < self._grace_s - EXIT_MARGIN_S:
            if not self._sessions.sessions:
                return
            self._sessions.close_idle(max(int(self._sessions.sessions * CLOSE_SHARE), 1))
            if not aborted and loop.time() - started >= self._grace_s * TRANSACTION_SHARE:
                aborted = True
                self._sessions.abort_transactions()
            await asyncio.sleep(STEP_S)
