"""Log lines as JSON, bounded in volume, on a stream that never blocks."""

from __future__ import annotations

import logging
import os
import sys
from collections import Counter
from typing import IO

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(message)s"
WINDOW_S = 1.0
REQUEST_LINES = 200  # a window and event, of lines that tell of one request
OTHER_LINES = 10  # a window and event, of all others
LONGEST_LINE_BYTES = 4096  # a pipe takes this much whole or not at all


class RepeatLimit(logging.Filter):
    """Lets a bounded number of lines of each event through, and counts the others.

    The next line of the event after a full window carries the count in `suppressed`.
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
        most = REQUEST_LINES if hasattr(record, "request") else OTHER_LINES
        if self._passed[event] >= most:
            self._suppressed[event] += 1
            return False
        self._passed[event] += 1
        suppressed = self._suppressed.pop(event, 0)
        if suppressed:
            record.suppressed = suppressed
        return True


class DroppingHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting; a full pipe costs lines, not time.

    Args:
        descriptor: Open file descriptor; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line or counts it as dropped."""
        line = self.format(record).encode("utf-8", "replace")[: LONGEST_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, line)
        except OSError:  # the pipe is full or nobody reads; the count tells of it
            self.dropped += 1


def configure_logs(
    level: str, *, instance_id: str, stream: IO[str] | None = None
) -> logging.Handler:
    """Sends log events of the package to a stream, one JSON object a line.

    Args:
        level: Lowest level that is logged.
        instance_id: Id of the instance, written into every line.
        stream: Where lines go without blocking, or None for standard error.

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
