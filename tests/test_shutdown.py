"""SIGTERM sent to a real process under load."""

from __future__ import annotations

import signal
import threading
import time
from collections import Counter

from tools.cluster import CALLER_TOKEN, Cluster, call, wait_until

from wigeonpoint.version import BackendServer, InstanceRecord, owner_of


class Load:
    """Four callers behind a load balancer that checks readiness before each request."""

    def __init__(self, cluster: Cluster, first: str, other: str) -> None:
        self.failures: list[object] = []
        self.by_instance: Counter[str] = Counter()
        self._cluster, self._first, self._other = cluster, first, other
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._send, daemon=True) for _ in range(4)]

    @property
    def acknowledged(self) -> int:
        """Number of acknowledged writes."""
        return sum(self.by_instance.values())

    def __enter__(self) -> Load:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *failure: object) -> None:
        """Stops the callers."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send(self) -> None:
        while not self._stop.is_set():
            name = self._first if self._ready(self._first) else self._other
            try:
                reply = self._cluster.statement(name, route="r", text="ADD n 1", access="write")
            except OSError as error:
                self.failures.append(error)
                continue
            if reply.status == 200:
                self.by_instance[name] += 1
            else:
                self.failures.append(reply)

    def _ready(self, name: str) -> bool:
        try:
            url = f"http://{self._cluster.processes[name].address}/ready"
            return call("GET", url).status == 200
        except OSError:
            return False


class TestSigterm:
    """Graceful and immediate shutdown of an instance."""

    def test_load_and_transaction_are_not_interrupted(self) -> None:
        """Guards against requests that a graceful shutdown interrupts."""
        with Cluster() as cluster:
            cluster.add_group("g", ["chur"] * 3, ["--statement-ms", "20"])
            cluster.put_rows("pools", {"p": {"group": "g"}})
            cluster.put_rows("routes", {"r": {"pool": "p"}})
            names = ["chur-1", "chur-2"]
            for name in names:
                cluster.add_instance(name, "chur")
            cluster.wait_ready(*names)
            # The owner of the primary is stopped, since it has the transaction and the load.
            server = BackendServer("g-0", "", "chur", "g")
            owner = owner_of(server, [InstanceRecord(name, "", "chur") for name in names])
            assert owner is not None
            leaving = owner.id
            other = next(name for name in names if name != leaving)
            base = f"http://{cluster.processes[other].address}/v1/transactions"
            begun = call("POST", base, {"route": "r"}, token=CALLER_TOKEN).body
            with Load(cluster, leaving, other) as load:
                time.sleep(1)
                cluster.processes[leaving].send_signal(signal.SIGTERM)
                time.sleep(4)
                path = f"{base}/{begun['transaction']}/commit"
                body = {"session": begun["session"], "sequence": 1}
                committed = call("POST", path, body, token=CALLER_TOKEN)
                assert committed.body["outcome"] == "done", committed
                assert cluster.processes[leaving].handle.wait(20) == 0
            read = cluster.statement(other, route="r", text="GET n", access="read")
            assert load.failures == []
            assert read.body["rows"] == [load.acknowledged]
            assert load.by_instance[leaving] > 10

    def test_second_signal_ends_at_once(self) -> None:
        """Guards against a draining process that an operator cannot stop."""
        with Cluster() as cluster:
            cluster.add_group("g", ["chur"])
            process = cluster.add_instance("chur-1", "chur", drain_seconds=600)
            process.send_signal(signal.SIGTERM)
            url = f"http://{process.address}/ready"
            wait_until(lambda: call("GET", url).status == 503, "readiness false")
            process.send_signal(signal.SIGTERM)
            assert process.handle.wait(10) == 0
            assert "second signal" in (cluster.directory / "chur-1.log").read_text()
