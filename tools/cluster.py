"""Starts instances and stand-ins as processes on loopback, and ends only these processes."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

START_TIMEOUT_S = 20.0
CALLER_TOKEN = "caller-token"
OPERATOR_TOKEN = "operator-token"
PEER_KEY = "peer-key-of-the-demo"
SESSION_KEYS = {"active": "k1", "keys": {"k1": "session-key-of-the-demo"}}


@dataclass(slots=True)
class Process:
    """A started process and the address on which it listens."""

    name: str
    handle: subprocess.Popen[str]
    address: str

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process only."""
        self.handle.send_signal(number)

    def kill(self) -> None:
        """Kills the process, if it still runs, and waits until it has ended."""
        if self.handle.poll() is None:
            self.handle.send_signal(signal.SIGKILL)
            self.handle.wait()

    def terminate(self, timeout: float) -> int:
        """Sends SIGTERM, waits and returns the exit status.

        Raises:
            subprocess.TimeoutExpired: The process still runs after `timeout` seconds.
        """
        self.handle.send_signal(signal.SIGTERM)
        return self.handle.wait(timeout)


@dataclass(frozen=True, slots=True)
class Reply:
    """HTTP status and decoded JSON body."""

    status: int
    body: Any


def call(
    method: str,
    url: str,
    body: Any = None,
    *,
    token: str | None = None,
    timeout: float = 10.0,
) -> Reply:
    """Sends an HTTP request with a JSON body.

    Raises:
        OSError: No answer arrived within `timeout` seconds.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    if token is not None:
        request.add_header("Authorization", f"Bearer {token}")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return Reply(response.status, json.loads(response.read() or b"null"))
    except urllib.error.HTTPError as error:
        return Reply(error.code, json.loads(error.read() or b"null"))


@dataclass(slots=True)
class Cluster:
    """Processes of stand-ins and instances; use as a context manager."""

    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="wigeonpoint-")))
    processes: dict[str, Process] = field(default_factory=dict)

    def __enter__(self) -> Cluster:
        """Starts the stand-in platform."""
        self.start("platform", ["standin", "platform"])
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kills every process that this cluster started."""
        for process in self.processes.values():
            process.kill()

    @property
    def platform(self) -> str:
        """Address of the platform."""
        return self.processes["platform"].address

    def start(self, name: str, arguments: list[str]) -> Process:
        """Starts a process and waits until it prints its address."""
        log = (self.directory / f"{name}.log").open("a")
        handle = subprocess.Popen(
            [sys.executable, "-m", "wigeonpoint", *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
        )
        assert handle.stdout is not None
        line = handle.stdout.readline()
        if "listening on" not in line:
            raise RuntimeError(f"{name} did not start; see {log.name}")
        process = Process(name, handle, line.split()[-1])
        self.processes[name] = process
        return process

    def add_group(
        self, group: str, data_centres: list[str], options: list[str] | None = None
    ) -> list[Process]:
        """Starts the members of a database group, one in each data centre given.

        The first member is the primary.
        """
        members = []
        for index, data_centre in enumerate(data_centres):
            name = f"{group}-{index}"
            role = ["--primary"] if index == 0 else []
            arguments = ["standin", "database", "--name", name, *role, *(options or [])]
            members.append(self.start(name, arguments))
            self.list_server(name, data_centre, group)
        for member in members:
            others = [other.address for other in members if other is not member]
            call("POST", f"http://{member.address}/peers", others)
        return members

    def add_instance(self, name: str, data_centre: str, **extra: Any) -> Process:
        """Starts an instance and adds it to the directory."""
        settings = {
            "instance": {"id": name, "data_centre": data_centre},
            "platform": {"address": self.platform},
            "session_keys": SESSION_KEYS,
            "peer_key": PEER_KEY,
            "callers": {CALLER_TOKEN: "demo"},
            "operators": {OPERATOR_TOKEN: "operator"},
            **extra,
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = self.start(name, ["serve", "--settings", str(path)])
        self.list_entry(name, data_centre)
        return process

    def list_entry(self, name: str, data_centre: str, state: str = "live") -> None:
        """Adds an instance to the directory of the platform, or changes its state."""
        self._list(name, "entry", data_centre, "", state)

    def list_server(self, name: str, data_centre: str, group: str, state: str = "live") -> None:
        """Adds a backend server to the directory of the platform, or changes its state."""
        self._list(name, "backend_server", data_centre, group, state)

    def wait_ready(self, *names: str) -> None:
        """Waits until instances are ready.

        Raises:
            TimeoutError: An instance is not ready after `START_TIMEOUT_S` seconds.
        """
        for name in names:
            url = f"http://{self.processes[name].address}/ready"
            wait_until(lambda url=url: call("GET", url).status == 200, f"{name} ready")

    def put_rows(self, table: str, rows: dict[str, dict[str, Any]]) -> None:
        """Writes rows directly into a table of the platform."""
        puts = [{"table": table, "key": key, "value": value} for key, value in rows.items()]
        body = {"checks": [], "puts": puts, "deletes": []}
        call("POST", f"http://{self.platform}/transactions", body)

    def statement(self, instance: str, **body: Any) -> Reply:
        """Sends a statement to an instance as a caller."""
        address = self.processes[instance].address
        return call("POST", f"http://{address}/v1/statements", body, token=CALLER_TOKEN)

    def _list(self, name: str, kind: str, data_centre: str, group: str, state: str) -> None:
        listing = {
            "id": name,
            "kind": kind,
            "address": self.processes[name].address,
            "data_centre": data_centre,
            "group": group,
            "state": state,
        }
        call("PUT", f"http://{self.platform}/directory", listing)


def wait_until(check: Any, what: str, limit: float = START_TIMEOUT_S) -> None:
    """Polls a check until it is true; an `OSError` of the check counts as false.

    Args:
        check: Returns whether the condition is met.
        what: Description of the condition, for the error.
        limit: Seconds after which the wait ends.

    Raises:
        TimeoutError: The condition was not met in time.
    """
    end = time.monotonic() + limit
    while time.monotonic() < end:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"condition not met after {limit:g} s: {what}")
