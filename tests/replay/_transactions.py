"""Callers that write two keys in one transaction, with each request to a random instance."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING, Any

from tests.replay._trace import Step

if TYPE_CHECKING:
    from tests.replay._replayer import Body, Driver, Findings

PAUSE_S = 0.1
DEADLINE_MS = 2_000
FINAL_REFUSALS = ("transaction_lost", "transaction_conflict")  # exclude an earlier commit


def transaction_callers(
    step: Step, driver: Driver, findings: Findings, seed: int
) -> list[asyncio.Task[None]]:
    """Starts the callers of a `transactions` step."""
    end = asyncio.get_running_loop().time() + step.seconds
    return [
        asyncio.create_task(_TransactionCaller(step, number, driver, findings, seed).run(end))
        for number in range(step.callers)
    ]


class _TransactionCaller:
    """Appends one entry to each of two keys in a transaction and learns its outcome."""

    def __init__(
        self, step: Step, number: int, driver: Driver, findings: Findings, seed: int
    ) -> None:
        self._name = f"{step.id or 'transactions'}-{number}"
        self._driver = driver
        self._findings = findings
        self._resolve_s = step.resolve_s
        self._choice = random.Random(seed + number)
        self._session: str | None = None
        self._transaction_id = ""
        self._sent = 0  # requests sent in this transaction

    async def run(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        for number in itertools.count():
            if loop.time() >= end:
                return
            await self._transaction(f"{self._name}-{number}")
            self._findings.open_transactions.pop(self._name, None)
            await asyncio.sleep(PAUSE_S)

    async def _transaction(self, name: str) -> None:
        begun = await self._send("begin", route="closures")
        if begun is None or begun["outcome"] != "done":
            return
        self._transaction_id, self._sent = begun["transaction"], 0
        for half in "xy":
            answer = await self._send_next(
                "statements",
                text="APPEND ? ?",
                parameters=[f"entries-{self._name}.{half}", f"{name}.{half}"],
                access="write",
            )
            if answer is None or answer["outcome"] != "done":
                # Nothing may be stored without a commit.
                self._add_entries(self._findings.refused, name)
                return
        await self._send_to_foreign_transaction()
        await self._commit(name)

    async def _send_next(self, action: str, **body: Any) -> Body | None:
        """Sends the next request of the transaction and keeps the id that the answer returns."""
        self._sent += 1
        path = f"{self._transaction_id}/{action}"
        answer = await self._send(path, sequence=self._sent, **body)
        if answer is not None and answer.get("transaction"):
            self._transaction_id = answer["transaction"]
        self._findings.open_transactions[self._name] = (self._transaction_id, self._sent)
        return answer

    async def _send_to_foreign_transaction(self) -> None:
        """Sends a statement to an open transaction of another session, which must be refused."""
        others = [
            opened
            for owner, opened in self._findings.open_transactions.items()
            if owner != self._name
        ]
        if others:
            transaction_id, sent = self._choice.choice(others)
            answer = await self._send(
                f"{transaction_id}/statements",
                sequence=sent + 1,
                text="GET k",
                parameters=[],
                access="read",
            )
            self._findings.wrong_answers += answer is not None and answer["outcome"] == "done"

    async def _commit(self, name: str) -> None:
        """Commits, repeating the request under its id until the outcome is known.

        After an unknown outcome, only some refusals prove that no earlier attempt committed.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + self._resolve_s
        outcome_unknown = False
        sequence = self._sent + 1  # repeats of the commit keep this number
        while True:
            answer = await self._send(
                f"{self._transaction_id}/commit", sequence=sequence, request_id=name
            )
            outcome = "unknown" if answer is None else answer["outcome"]
            if outcome == "done":
                self._findings.transactions += 1
                for half in "xy":
                    self._findings.acknowledged[f"{name}.{half}"] = loop.time()
                return
            if outcome == "not_run" and (
                not outcome_unknown or answer and answer["name"] in FINAL_REFUSALS
            ):
                self._add_entries(self._findings.refused, name)
                return
            outcome_unknown = True
            if loop.time() >= end:
                self._findings.unresolved.add(name)
                return
            await asyncio.sleep(PAUSE_S)

    def _add_entries(self, entries: set[str], name: str) -> None:
        entries.update(f"{name}.{half}" for half in "xy")

    async def _send(self, path: str, **body: Any) -> Body | None:
        instance = self._choice.choice(self._driver.instances)
        body.update(session=self._session, deadline_ms=DEADLINE_MS)
        answer = await self._driver.transaction(instance, path, body)
        self._findings.record_answer(instance, "transaction", answer)
        if answer is not None and answer.get("session"):
            self._session = answer["session"]
        return answer
