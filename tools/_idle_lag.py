"""How late the machine wakes an idle process, as a measure of what other work does to a run."""

from __future__ import annotations

import threading
import time
from types import TracebackType

SLEEP_S = 0.005


class IdleLag:
    """Samples the lag of a short sleep in a thread; use as a context manager.

    The latencies of a run pass about ten wake-ups of processes, so a lag of several milliseconds
    here says that the machine and not the proxy made a request slow.
    """

    def __init__(self) -> None:
        self._lags: list[float] = []
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)

    def __enter__(self) -> IdleLag:
        """Starts sampling."""
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ends sampling."""
        self._ended.set()
        self._thread.join()

    def percentile_ms(self, share: float) -> float:
        """A percentile of the lags in milliseconds."""
        lags = sorted(self._lags) or [0.0]
        return round(lags[min(int(len(lags) * share), len(lags) - 1)] * 1000, 1)

    def _sample(self) -> None:
        while not self._ended.is_set():
            started = time.monotonic()
            time.sleep(SLEEP_S)
            self._lags.append(time.monotonic() - started - SLEEP_S)
