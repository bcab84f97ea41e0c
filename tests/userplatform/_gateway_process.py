"""Starts `wigeonpoint gateway` as a separate process, and reads its metrics."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path
from urllib.request import urlopen

from tests.userplatform._servers import free_port

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


class GatewayProcess:
    """A gateway in a process of its own.

    Args:
        folder: Where to write its settings.
        store_port: Port of the platform's store.

    Attributes:
        process: The process.
    """

    def __init__(self, folder: Path, store_port: int) -> None:
        self._metrics_address = f"127.0.0.1:{free_port()}"
        path = folder / "settings.toml"
        ports = {name: free_port() for name in ("front", "ready", "control")}
        path.write_text(SETTINGS.format(grace=GRACE_S, store=store_port, **ports))
        command = [sys.executable, "-m", "wigeonpoint", "gateway", "--settings", str(path)]
        self.process = subprocess.Popen(
            [*command, "--metrics", self._metrics_address],
            env={**os.environ, "PYTHONPATH": "src"},
            stdout=subprocess.DEVNULL,
        )

    def scrape(self) -> str:
        """The metrics; waits until they are served.

        Raises:
            OSError: They are not served in time.
        """
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                with urlopen(f"http://{self._metrics_address}/metrics", timeout=1.0) as answer:
                    body: bytes = answer.read()
                    return body.decode()
            except OSError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.1)
