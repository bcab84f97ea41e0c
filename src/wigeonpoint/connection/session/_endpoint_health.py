"""Whether a member or a relay should get statements, judged by this instance's own traffic."""

from __future__ import annotations

import asyncio

INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0


class EndpointHealth:
    """Availability of one member or relay.

    A connection that cannot be opened makes it unavailable. The pause before the next
    attempt doubles with each failure; after it, one attempt at a time is made until one succeeds.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._paused_until = 0.0
        self._failed_since: float | None = None
        self._last_failed_at = float("-inf")
        self._answered_at: float | None = None

    @property
    def available(self) -> bool:
        """Whether new statements should go to the member."""
        return self._failures == 0

    @property
    def may_connect(self) -> bool:
        """Whether an attempt to connect should be made now."""
        return asyncio.get_running_loop().time() >= self._paused_until

    @property
    def failed_for_s(self) -> float:
        """Seconds since the member stopped answering, 0 while it answers."""
        return self.failed_since_s(float("-inf"))

    @property
    def answered_at(self) -> float | None:
        """Event-loop time of the last answer or accepted connection."""
        return self._answered_at

    def failed_since_s(self, start: float) -> float:
        """Seconds for which the member has not answered, ignoring failures before a time.

        Args:
            start: Event-loop time, in seconds; failures before it do not count.
        """
        if self._failed_since is None or self._last_failed_at < start:
            return 0.0
        return asyncio.get_running_loop().time() - max(self._failed_since, start)

    def pause(self, seconds: float) -> None:
        """Puts the next attempt off, without counting a failure."""
        until = asyncio.get_running_loop().time() + seconds
        self._paused_until = max(self._paused_until, until)

    def retry_now(self) -> None:
        """Ends the pause, so that the next attempt to connect may be made at once."""
        self._paused_until = 0.0

    def note_answer(self) -> None:
        """Records an answer or an accepted connection."""
        self._answered_at = asyncio.get_running_loop().time()
        self._failures = 0
        self._paused_until = 0.0
        self._failed_since = None

    def note_unreachable(self) -> None:
        """Records a connection that could not be opened."""
        now = asyncio.get_running_loop().time()
        if self._failed_since is None:
            self._failed_since = now
        self._last_failed_at = now
        self._paused_until = now + min(INITIAL_PAUSE_S * 2**self._failures, MAX_PAUSE_S)
        self._failures = min(self._failures + 1, 16)
