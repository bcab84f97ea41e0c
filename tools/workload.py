"""Callers that append tasks and read them back, repeating requests under the same id."""

from __future__ import annotations

import itertools
import random
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from tools.cluster import Cluster

RETRY_PAUSE_S = 0.05
REQUEST_DEADLINE_MS = 2_000
RESOLVE_LIMIT_S = 15.0  # then the outcome of a task counts as unknown


@dataclass(slots=True)
class Tally:
    """Results of the callers.

    Attributes:
        acknowledged: Task ids whose write was acknowledged, with the time of acknowledgement.
        unresolved: Task ids whose outcome stayed unknown until the end.
        stale_reads: Reads that did not show the session's own write.
        reads: Answered reads.
        replica_reads: Answered reads that a replica served.
        outcomes: Answers by outcome and name.
    """

    acknowledged: dict[str, float] = field(default_factory=dict)
    unresolved: set[str] = field(default_factory=set)
    stale_reads: int = 0
    reads: int = 0
    replica_reads: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)

    def gap_after(self, moment: float) -> float | None:
        """Returns the seconds from a time to the first acknowledgement after it, or None."""
        later = [at for at in self.acknowledged.values() if at > moment]
        return min(later) - moment if later else None


class TaskCallers:
    """Threads that append tasks and read them back, each time through a random instance.

    Args:
        cluster: Running cluster.
        route: Route of all statements.
        instances: Names of the instances to use.
        threads: Number of callers.
        seed: Seed for the choice of instances.
    """

    def __init__(
        self, cluster: Cluster, route: str, instances: list[str], *, threads: int = 4, seed: int = 7
    ) -> None:
        self.tally = Tally()
        self._cluster = cluster
        self._route = route
        self._instances = instances
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(number, random.Random(seed + number)))
            for number in range(threads)
        ]

    def start(self) -> None:
        """Starts all callers."""
        for thread in self._threads:
            thread.start()

    def finish(self) -> Tally:
        """Stops the callers after their current task and returns the results."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.tally

    def wait_for_acknowledgement_after(self, moment: float, limit: float) -> float | None:
        """Waits for the first acknowledgement after a time.

        Args:
            moment: Monotonic time in seconds.
            limit: Seconds to wait.

        Returns:
            Seconds from the moment to the acknowledgement, or None if there was none.
        """
        end = time.monotonic() + limit
        while time.monotonic() < end:
            with self._lock:
                gap = self.tally.gap_after(moment)
            if gap is not None:
                return gap
            time.sleep(0.02)
        return None

    def _run(self, caller: int, choice: random.Random) -> None:
        session: str | None = None
        for number in itertools.count():
            if self._stop.is_set():
                return
            task = f"{caller}-{number}"
            session = self._append(task, caller, session, choice)
            session = self._read_back(task, caller, session, choice)

    def _append(
        self, task: str, caller: int, session: str | None, choice: random.Random
    ) -> str | None:
        """Appends a task, repeating the request under its id until it is done."""
        with self._lock:
            self.tally.unresolved.add(task)
        end = time.monotonic() + RESOLVE_LIMIT_S
        while time.monotonic() < end:
            reply = self._send(
                choice,
                text="APPEND ? ?",
                parameters=[f"tasks-{caller}", task],
                access="write",
                request_id=f"task-{task}",
                session=session,
            )
            if reply is not None and reply["outcome"] == "done":
                with self._lock:
                    self.tally.unresolved.discard(task)
                    self.tally.acknowledged[task] = time.monotonic()
                return str(reply["session"])
            time.sleep(RETRY_PAUSE_S)
        return session

    def _read_back(
        self, task: str, caller: int, session: str | None, choice: random.Random
    ) -> str | None:
        reply = self._send(
            choice, text="GET ?", parameters=[f"tasks-{caller}"], access="read", session=session
        )
        if reply is None or reply["outcome"] != "done":
            return session
        with self._lock:
            self.tally.reads += 1
            self.tally.replica_reads += bool(reply["from_replica"])
            if task in self.tally.acknowledged:
                self.tally.stale_reads += task not in (reply["rows"] or [[]])[0]
        return str(reply["session"])

    def _send(self, choice: random.Random, **body: Any) -> dict[str, Any] | None:
        instance = choice.choice(self._instances)
        body["deadline_ms"] = REQUEST_DEADLINE_MS
        try:
            reply = self._cluster.statement(instance, route=self._route, **body)
        except OSError:
            self._count("no answer")
            return None
        self._count(f"{reply.body['outcome']} {reply.body['name']}")
        answer: dict[str, Any] = reply.body
        return answer

    def _count(self, name: str) -> None:
        with self._lock:
            self.tally.outcomes[name] = self.tally.outcomes.get(name, 0) + 1
