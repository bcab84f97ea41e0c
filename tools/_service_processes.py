"""Runs the service benchmark through real instances, database members and load processes."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import time
import urllib.request
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tools._idle_lag import IdleLag
from tools.cluster import CALLER_TOKEN, Cluster, call

INSTANCES = 5
CAPACITY = 100.0  # statements per second; with more, Python would limit the runs, not the server
WARM_UP_S = 2.0
START_DELAY_S = 1.5
CALLER_NAMES = (*(f"caller-{number}" for number in range(8)), "flood")
_METRIC = re.compile(r"^(wigeonpoint_\w+)(?:\{(.*)\})? (\S+)$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and an event during it.

    Attributes:
        kind: Load shape of the trace.
        times: Rate of the flood as a multiple of the capacity.
        seconds: Length in seconds.
        flood: Rank or caller whose requests are the flood.
        parts: Number of load processes; the first sends all requests but the flood.
        event: `member down` or `instance replaced` after a third of the run, or empty.
    """

    kind: str
    times: float
    seconds: float
    flood: str = "bulk"
    parts: int = 2
    event: str = ""


SCENARIOS = {
    "calm": Scenario("calm", 1.0, 20.0, flood="", parts=1),
    "bulk 1x": Scenario("bulk-flood", 0.5, 6.0),
    "bulk 2x": Scenario("bulk-flood", 2.0, 6.0),
    "bulk 4x": Scenario("bulk-flood", 4.0, 6.0, parts=3),
    "bulk 8x": Scenario("bulk-flood", 8.0, 20.0, parts=4),
    "urgent 4x": Scenario("urgent-storm", 4.0, 8.0, flood="urgent", parts=3),
    "one caller 4x": Scenario("caller-flood", 4.0, 8.0, flood="flood", parts=3),
    "instance replaced": Scenario("calm", 1.0, 10.0, flood="", parts=1, event="instance replaced"),
    "member down": Scenario("calm", 1.0, 8.0, flood="", parts=1, event="member down"),
}


class ServiceFleet:
    """Instances and one group of three members.

    Args:
        cluster: Starts the processes.
        slots: Statements that a member runs at the same time.
        connections: Connection limit of a member.
    """

    def __init__(self, cluster: Cluster, slots: int, connections: int) -> None:
        self._cluster = cluster
        self.connections = connections
        statement_ms = slots / CAPACITY * 1000
        options = ["--slots", str(slots), "--connections", str(connections)]
        options += ["--connect-ms", "12", "--statement-ms", str(statement_ms)]
        self.members = cluster.add_group("g", ["a", "a", "a"], options)
        cluster.put_rows("pools", {"p": {"group": "g"}})
        cluster.put_rows("routes", {"r": {"pool": "p"}})
        self.names = [f"a-{index}" for index in range(INSTANCES)]
        for name in self.names:
            self._add(name)
        cluster.wait_ready(*self.names)

    @property
    def addresses(self) -> list[str]:
        """Addresses of the instances."""
        return [self._cluster.processes[name].address for name in self.names]

    def run(self, scenario: Scenario, seed: int) -> dict[str, Any]:
        """Runs a scenario; returns records of requests, counters of owners and processor use."""
        before, cpu = self._counters(), self._cpu()
        start = time.time() + START_DELAY_S
        loads = [self._start_load(scenario, part, start, seed) for part in range(scenario.parts)]
        lost_counters: Counter[str] = Counter()
        if scenario.event:
            time.sleep(max(start + scenario.seconds / 3 - time.time(), 0.0))
            lost_counters = self._trigger_event(scenario.event)
        with IdleLag() as lag:
            outputs = [json.loads(load.communicate(timeout=90)[0]) for load in loads]
        after = self._counters()
        after.update(lost_counters)
        after.subtract(before)
        used = {name: s - cpu.get(name, 0.0) for name, s in self._cpu().items()}
        return {
            "records": [record for output in outputs for record in output["records"]],
            "not_sent": sum(output["not_sent"] for output in outputs),
            "counters": dict(after),
            "cpu_share": {name: round(s / scenario.seconds, 3) for name, s in used.items()},
            "load_cpu_share": [round(o["cpu_s"] / scenario.seconds, 3) for o in outputs],
            "idle_lag_ms": {"p99": lag.percentile_ms(0.99), "max": lag.percentile_ms(1.0)},
            "server_connections": self._server_connections(),
        }

    def _add(self, name: str) -> None:
        callers = {f"token-{caller}": caller for caller in CALLER_NAMES}
        self._cluster.add_instance(name, "a", callers={CALLER_TOKEN: "demo", **callers})

    def _start_load(
        self, scenario: Scenario, part: int, start: float, seed: int
    ) -> subprocess.Popen[str]:
        job = {
            "kind": scenario.kind,
            "times": scenario.times,
            "seconds": scenario.seconds,
            "flood": scenario.flood,
            "parts": scenario.parts,
            "part": part,
            "capacity": CAPACITY,
            "seed": seed,
            "start": start,
            "addresses": self.addresses,
            "tokens": {caller: f"token-{caller}" for caller in CALLER_NAMES},
        }
        command = [sys.executable, "-m", "tools._service_load", json.dumps(job)]
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def _trigger_event(self, event: str) -> Counter[str]:
        """Makes an event happen; returns the counters of the instance that it stops, if any."""
        if event == "member down":
            self.members[2].kill()
            return Counter()
        # The instance with the most open connections owns the most servers, so ownership moves.
        counters = {name: self._scrape(name) for name in self.names}
        name = max(counters, key=lambda n: counters[n]["wigeonpoint_connections opened"])
        self._cluster.processes[name].send_signal(signal.SIGTERM)
        new = f"{name}-new"
        self._add(new)
        self.names = [new if n == name else n for n in self.names]
        self._cluster.wait_ready(new)
        return counters[name]

    def _counters(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for name in self.names:
            total.update(self._scrape(name))
        return total

    def _scrape(self, name: str) -> Counter[str]:
        address = self._cluster.processes[name].address
        with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as response:
            text = response.read().decode()
        found: Counter[str] = Counter()
        for metric, labels, value in _METRIC.findall(text):
            if metric.startswith(
                ("wigeonpoint_queue_d", "wigeonpoint_queue_r", "wigeonpoint_connections")
            ):
                labelled = re.findall(r'="(\w+)"', labels)
                found[" ".join((metric, *labelled))] += float(value)  # type: ignore[assignment]
        return found

    def _server_connections(self) -> list[dict[str, Any]]:
        found = []
        for member in self.members:
            if member.handle.poll() is None:
                body = call("GET", f"http://{member.address}/data").body
                found.append({key: body[key] for key in ("connections", "peak_connections")})
        return found

    def _cpu(self) -> dict[str, float]:
        """Returns the processor time in seconds that every process has used so far."""
        tick = os.sysconf("SC_CLK_TCK")
        used = {}
        for name, process in self._cluster.processes.items():
            if process.handle.poll() is None:
                stat = Path(f"/proc/{process.handle.pid}/stat").read_text().rsplit(")", 1)[1]
                fields = stat.split()
                used[name] = (int(fields[11]) + int(fields[12])) / tick
        return used
