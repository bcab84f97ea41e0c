"""Measures how late the machine wakes an idle process, as a sign of other load during a run."""

from __future__ import annotations

import threading
import time
from types import TracebackType

SLEEP_S = 0.005


class IdleLag:
    """Samples the lag of short sleeps in a thread; use as a context manager.

    A request takes about ten wake-ups of processes. A lag of several milliseconds here therefore
    means that the machine, and not the proxy, slowed requests down.
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
        """Stops sampling."""
        self._ended.set()
        self._thread.join()

    def percentile_ms(self, share: float) -> float:
        """Returns a percentile of the lags in milliseconds.

        Args:
            share: Percentile as a share, from 0 to 1.
        """
        lags = sorted(self._lags) or [0.0]
        return round(lags[min(int(len(lags) * share), len(lags) - 1)] * 1000, 1)

    def _sample(self) -> None:
        while not self._ended.is_set():
            started = time.monotonic()
            time.sleep(SLEEP_S)
            self._lags.append(time.monotonic() - started - SLEEP_S)
