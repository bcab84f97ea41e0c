"""What the virtual driver sees of instances and members while a trace runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from tests.replay._replayer import Observations
from wigeonpoint.errors import OutcomeUnknown, ResultCode

SAMPLE_S = 0.05
LEAVING_GRACE_S = 5.0  # "a few seconds": list poll, handover and its propagation
WORK = ("execute", "commit")

Numbers = Callable[[], Mapping[str, int]]


class Observer:
    """Samples configuration numbers and counts work at leaving members.

    Args:
        numbers: Gives the number in force by instance.
    """

    def __init__(self, numbers: Numbers) -> None:
        self.seen = Observations()
        self._numbers = numbers
        self._before: dict[str, int] = {}
        self._first_seen: dict[int, float] = {}
        self._leaving_since: dict[str, float] = {}
        self._drops: list[tuple[str, str]] = []
        self._task = asyncio.create_task(self._sample())

    def close(self) -> None:
        """Ends sampling."""
        self._task.cancel()

    def note_leaving(self, address: str) -> None:
        """Counts work at a member once the grace has passed."""
        self._leaving_since.setdefault(address, asyncio.get_running_loop().time())

    def drop(self, stage: str, call: str, times: int) -> None:
        """Drops the connection at a stage of the next calls of a kind; 0 times ends that."""
        if not times:
            self._drops = [one for one in self._drops if one != (stage, call)]
        self._drops.extend([(stage, call)] * times)

    async def on_exchange(self, stage: str, address: str, call: str) -> None:
        """Hook of the fake network."""
        now = asyncio.get_running_loop().time()
        since = self._leaving_since.get(address)
        if stage == "before" and call in WORK and since is not None:
            self.seen.work_after_leaving += now - since > LEAVING_GRACE_S
        if (stage, call) in self._drops:
            self._drops.remove((stage, call))
            raise OutcomeUnknown(ResultCode.CONNECTION_LOST, "dropped by the trace")

    async def _sample(self) -> None:
        while True:
            self._compare(dict(self._numbers()), asyncio.get_running_loop().time())
            await asyncio.sleep(SAMPLE_S)

    def _compare(self, numbers: dict[str, int], now: float) -> None:
        for name, number in numbers.items():
            self.seen.reverts += number < self._before.get(name, 0)
            self._first_seen.setdefault(number, now)
        self._before = numbers
        self.seen.numbers = set(numbers.values())
        lowest = min(numbers.values(), default=0)
        for number in [known for known in self._first_seen if 1 < known <= lowest]:
            seconds = now - self._first_seen.pop(number)
            self.seen.in_force_s = max(seconds, self.seen.in_force_s or 0.0)
