"""Background loops that go on after an error that they do not handle themselves."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from wigeonpoint.events import Event, log_event

RESTART_PAUSE_S = 0.2


def start_loop(run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Starts a background loop as a task that only ends when it is cancelled.

    Nothing waits for the result of such a task, so an error would end it without a trace, and the
    instance would keep what the loop had last brought for good.

    Args:
        run: The loop.
    """
    return asyncio.create_task(_keep_running(run))


async def _keep_running(run: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await run()
        except Exception as error:
            log_event(Event.INTERNAL_ERROR, error=repr(error), trace=traceback.format_exc())
        await asyncio.sleep(RESTART_PAUSE_S)
