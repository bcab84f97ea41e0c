"""JSON log lines, limited in rate and written without blocking."""

from __future__ import annotations

import logging
import os
import sys
from collections import Counter
from typing import IO

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(message)s"
WINDOW_S = 1.0
MAX_REQUEST_LINES = 200  # per window and event, of lines about one request
MAX_OTHER_LINES = 10  # per window and event, of all other lines
MAX_LINE_BYTES = 4096  # writes to a pipe are atomic up to this size


class RepeatLimit(logging.Filter):
    """Limits the lines of each event in a time window, and counts the suppressed ones.

    The next line of the event after a full window has the count in `suppressed`.
    """

    def __init__(self) -> None:
        super().__init__()
        self._window = -1
        self._passed: Counter[int] = Counter()
        self._suppressed: Counter[int] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a line is written."""
        event = getattr(record, "event", 0)
        window = int(record.created / WINDOW_S)
        if window != self._window:
            self._window = window
            self._passed.clear()
        limit = MAX_REQUEST_LINES if hasattr(record, "request") else MAX_OTHER_LINES
        if self._passed[event] >= limit:
            self._suppressed[event] += 1
            return False
        self._passed[event] += 1
        suppressed = self._suppressed.pop(event, 0)
        if suppressed:
            record.suppressed = suppressed
        return True


class DroppingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking; drops lines while the pipe is full.

    Args:
        descriptor: Open file descriptor; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line or counts it as dropped."""
        line = self.format(record).encode("utf-8", "replace")[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, line)
        except OSError:  # the pipe is full or has no reader
            self.dropped += 1


def configure_logs(
    level: str, *, instance_id: str, stream: IO[str] | None = None
) -> logging.Handler:
    """Writes log events of the package to a stream, as one JSON object per line.

    Args:
        level: Lowest level that is logged.
        instance_id: Id of the instance, written into every line.
        stream: Stream that is written without blocking, or None for standard error.

    Returns:
        The handler.
    """
    handler: logging.Handler
    if stream is None:
        handler = logging.StreamHandler(sys.stderr)
    else:
        handler = DroppingHandler(stream.fileno())
        handler.addFilter(RepeatLimit())
    handler.setFormatter(
        JsonFormatter(
            _FIELDS,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"instance": instance_id},
        )
    )
    logger = logging.getLogger("wigeonpoint")
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return handler
