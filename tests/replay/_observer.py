"""Observes instances and members of the virtual driver during a replay."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from tests.replay._replayer import Observations
from wigeonpoint.errors import OutcomeUnknown, ResultCode

SAMPLE_S = 0.05
# The promise allows "a few seconds": a poll of the directory, the handover and its propagation.
LEAVING_GRACE_S = 5.0
STATEMENT_CALLS = ("execute", "commit")

ActiveNumbers = Callable[[], Mapping[str, int]]


class Observer:
    """Samples configuration numbers and counts statements sent to leaving members.

    Args:
        numbers: Returns the active configuration number by instance.
    """

    def __init__(self, numbers: ActiveNumbers) -> None:
        self.observations = Observations()
        self._numbers = numbers
        self._previous: dict[str, int] = {}
        self._first_seen: dict[int, float] = {}
        self._leaving_since: dict[str, float] = {}
        self._pending_drops: list[tuple[str, str]] = []
        self._task = asyncio.create_task(self._sample())

    def close(self) -> None:
        """Stops sampling."""
        self._task.cancel()

    def mark_leaving(self, address: str) -> None:
        """Counts statements that are sent to a member after its grace period, which begins now."""
        self._leaving_since.setdefault(address, asyncio.get_running_loop().time())

    def drop_connections(self, stage: str, call: str, times: int) -> None:
        """Drops the connection at a stage of the next calls of a kind.

        Args:
            stage: `before`, `during` or `after` the call.
            call: Kind of the calls.
            times: Number of calls; 0 cancels earlier drops at this stage and call.
        """
        if not times:
            self._pending_drops = [one for one in self._pending_drops if one != (stage, call)]
        self._pending_drops.extend([(stage, call)] * times)

    async def on_exchange(self, stage: str, address: str, call: str) -> None:
        """Counts and drops calls; the fake network awaits it at each stage of a call."""
        now = asyncio.get_running_loop().time()
        since = self._leaving_since.get(address)
        if stage == "before" and call in STATEMENT_CALLS and since is not None:
            self.observations.work_after_leaving += now - since > LEAVING_GRACE_S
        if (stage, call) in self._pending_drops:
            self._pending_drops.remove((stage, call))
            raise OutcomeUnknown(ResultCode.CONNECTION_LOST, "dropped by the trace")

    async def _sample(self) -> None:
        while True:
            self._compare(dict(self._numbers()), asyncio.get_running_loop().time())
            await asyncio.sleep(SAMPLE_S)

    def _compare(self, numbers: dict[str, int], now: float) -> None:
        for name, number in numbers.items():
            self.observations.reverts += number < self._previous.get(name, 0)
            self._first_seen.setdefault(number, now)
        self._previous = numbers
        self.observations.numbers = set(numbers.values())
        lowest = min(numbers.values(), default=0)
        for number in [known for known in self._first_seen if 1 < known <= lowest]:
            seconds = now - self._first_seen.pop(number)
            self.observations.in_force_s = max(seconds, self.observations.in_force_s or 0.0)
