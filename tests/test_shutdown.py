"""SIGTERM to a real process under load."""

from __future__ import annotations

import signal
import threading
import time

from tools.cluster import CALLER_TOKEN, Cluster, call, wait_until


class TestSigterm:
    """Graceful and immediate ends of an instance."""

    def test_load_and_transaction_are_not_cut_off(self) -> None:
        """Guards against requests that a graceful shutdown interrupts."""
        with Cluster() as cluster:
            cluster.add_group("g", ["chur"] * 3, ["--statement-ms", "20"])
            cluster.put_rows("pools", {"p": {"group": "g"}})
            cluster.put_rows("routes", {"r": {"pool": "p"}})
            for name in ("chur-1", "chur-2"):
                cluster.add_instance(name, "chur")
            cluster.wait_ready("chur-1", "chur-2")
            failures: list[object] = []
            acknowledged = [0]
            stop = threading.Event()

            def in_service(name: str) -> bool:
                try:
                    url = f"http://{cluster.processes[name].address}/ready"
                    return call("GET", url).status == 200
                except OSError:
                    return False

            def send() -> None:
                # Like a balancer, looks at readiness, but only before each request.
                while not stop.is_set():
                    name = "chur-1" if in_service("chur-1") else "chur-2"
                    try:
                        reply = cluster.statement(name, route="r", text="ADD n 1", access="write")
                    except OSError as error:
                        failures.append(error)
                        continue
                    if reply.status == 200:
                        acknowledged[0] += 1
                    else:
                        failures.append(reply)

            base = f"http://{cluster.processes['chur-1'].address}/v1/transactions"
            begun = call("POST", base, {"route": "r"}, token=CALLER_TOKEN).body
            threads = [threading.Thread(target=send) for _ in range(1)]
            for thread in threads:
                thread.start()
            time.sleep(1)
            cluster.processes["chur-1"].send_signal(signal.SIGTERM)
            wait_until(lambda: not in_service("chur-1"), "readiness false")
            time.sleep(3)
            path = f"{base}/{begun['transaction']}/commit"
            body = {"session": begun["session"]}
            assert call("POST", path, body, token=CALLER_TOKEN).body["outcome"] == "done"
            assert cluster.processes["chur-1"].handle.wait(20) == 0
            stop.set()
            for thread in threads:
                thread.join()
            read = cluster.statement("chur-2", route="r", text="GET n", access="read")
            assert (failures, read.body["rows"]) == ([], [acknowledged[0]])

    def test_second_signal_ends_at_once(self) -> None:
        """Guards against an operator who cannot end a process that still drains."""
        with Cluster() as cluster:
            cluster.add_group("g", ["chur"])
            process = cluster.add_instance("chur-1", "chur", drain_seconds=600)
            process.send_signal(signal.SIGTERM)
            url = f"http://{process.address}/ready"
            wait_until(lambda: call("GET", url).status == 503, "readiness false")
            process.send_signal(signal.SIGTERM)
            assert process.handle.wait(10) == 0
            assert "second signal" in (cluster.directory / "chur-1.log").read_text()
