"""Log lines, which are limited in rate and never block a request."""

from __future__ import annotations

import logging
import os

from wigeonpoint.process._logs import (
    MAX_OTHER_LINES,
    MAX_REQUEST_LINES,
    DroppingHandler,
    RepeatLimit,
)


def record(event: int, *, at: float, **fields: object) -> logging.LogRecord:
    """A line of an event."""
    line = logging.LogRecord("wigeonpoint", logging.INFO, "", 0, "message", None, None)
    line.created = at
    line.__dict__.update({"event": event, **fields})
    return line


class TestRepeatLimit:
    """Repeated lines."""

    def test_repeats_are_suppressed_and_counted(self) -> None:
        """Guards against a fault that floods the logs, and against lines dropped uncounted."""
        limit = RepeatLimit()
        passed = [limit.filter(record(502, at=10.0)) for _ in range(MAX_OTHER_LINES + 7)]
        assert sum(passed) == MAX_OTHER_LINES
        later = record(502, at=11.0)
        assert limit.filter(later)
        assert later.suppressed == 7  # type: ignore[attr-defined]

    def test_lines_of_requests_have_a_higher_limit(self) -> None:
        """Guards against failed requests whose lines are suppressed."""
        limit = RepeatLimit()
        passed = [limit.filter(record(603, at=10.0, request="a")) for _ in range(MAX_REQUEST_LINES)]
        assert all(passed)
        assert limit.filter(record(604, at=10.0, request="a"))


class TestDroppingHandler:
    """A pipe without an active reader."""

    def test_full_pipe_drops_lines_without_blocking(self) -> None:
        """Guards against a request that waits for a reader of the logs."""
        reader, writer = os.pipe()
        handler = DroppingHandler(writer)
        for _ in range(20_000):
            handler.emit(record(1, at=1.0))
        assert handler.dropped > 0
        first = os.read(reader, 1 << 20)
        handler.emit(record(1, at=1.0))
        assert set(first.split(b"\n")) == {b"message", b""}
        os.close(reader)
        handler.emit(record(1, at=1.0))
        os.close(writer)
