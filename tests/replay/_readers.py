"""Callers that read another caller's entries with a maximum age."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from tests.replay._trace import Step

if TYPE_CHECKING:
    from tests.replay._replayer import Driver, Findings

PAUSE_S = 0.1
DEADLINE_MS = 2_000


async def read_with_max_age(step: Step, driver: Driver, findings: Findings, seed: int) -> None:
    """Reads the entries of caller 0 of the stream `id` and checks their age.

    A read must return every entry that was acknowledged more than `max_age_ms` before it was sent.
    """
    loop, choice = asyncio.get_running_loop(), random.Random(seed)
    max_age_ms = step.body["max_age_ms"]
    end = loop.time() + step.seconds
    while loop.time() < end:
        sent_at = loop.time()
        instance = choice.choice(step.instances or driver.instances)
        body = {
            "route": "closures",
            "text": "GET ?",
            "parameters": [f"entries-{step.id}-0"],
            "access": "read",
            "max_age_ms": max_age_ms,
            "deadline_ms": DEADLINE_MS,
        }
        answer = await driver.statement(instance, body)
        findings.record_answer(instance, "read", answer)
        if answer is not None and answer["outcome"] == "done":
            found = set((answer["rows"] or [[]])[0] or [])
            required = {
                entry
                for entry, at in findings.acknowledged.items()
                if entry.startswith(f"{step.id}-0-") and at < sent_at - max_age_ms / 1000
            }
            findings.aged_reads += 1
            findings.stale_reads += not required <= found
        await asyncio.sleep(PAUSE_S)
