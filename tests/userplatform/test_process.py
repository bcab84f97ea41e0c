"""Tests of the gateway as a separate process: metrics and shutdown."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from urllib.request import urlopen

import pytest
from click.testing import CliRunner

from tests.userplatform._servers import free_port
from wigeonpoint.cli import main

GRACE_S = 2.0
START_TIMEOUT_S = 15.0

SETTINGS = """
nodeName = "front-1"
zone = "chur"
[bindAddrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[contractParams]
graceS = {grace}
[platform]
address = "127.0.0.1:{store}"
"""


@pytest.fixture
def silent_store() -> Iterator[int]:
    """Port of a store that accepts connections and never answers."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    yield int(listener.getsockname()[1])
    listener.close()


class TestProcess:
    """`wigeonpoint gateway` with a store that does not answer."""

    def test_serves_metrics_and_ends_within_the_grace_period(
        self, silent_store: int, tmp_path: Path
    ) -> None:
        """Guards against a shutdown that waits for the store until the process is killed."""
        metrics_port = free_port()
        path = tmp_path / "settings.toml"
        ports = {name: free_port() for name in ("front", "ready", "control")}
        path.write_text(SETTINGS.format(grace=GRACE_S, store=silent_store, **ports))
        command = [sys.executable, "-m", "wigeonpoint", "gateway", "--settings", str(path)]
        process = subprocess.Popen(
            [*command, "--metrics", f"127.0.0.1:{metrics_port}"],
            env={**os.environ, "PYTHONPATH": "src"},
            stdout=subprocess.DEVNULL,
        )
        try:
            text = _scrape(f"http://127.0.0.1:{metrics_port}/metrics")
            assert "wigeonpoint_ready 0" in text
            signalled_at = time.monotonic()
            process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=3 * GRACE_S) == 0
            assert time.monotonic() - signalled_at < GRACE_S
        finally:
            process.kill()

    def test_invalid_metrics_address_is_reported(self, tmp_path: Path) -> None:
        """Guards against an invalid address that is ignored, so that metrics are missing."""
        result = CliRunner().invoke(main, ["gateway", "--metrics", "9464"])
        assert result.exit_code == 2
        assert "HOST:PORT" in result.output


def _scrape(url: str) -> str:
    end = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            with urlopen(url, timeout=1.0) as answer:
                body: bytes = answer.read()
                return body.decode()
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(0.1)
