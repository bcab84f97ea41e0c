"""Tests of the gateway as a separate process: metrics and shutdown."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from tests.userplatform._gateway_process import GRACE_S, GatewayProcess
from wigeonpoint.cli import main


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
        gateway = GatewayProcess(tmp_path, silent_store)
        process = gateway.process
        try:
            text = gateway.scrape()
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
