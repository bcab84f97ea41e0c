"""Numbered log events and the function that logs them.

Numbers are grouped by hundreds: 1xx process, 2xx configuration, 3xx membership, 4xx database
groups, 5xx owners and connections, 6xx requests.
"""

from __future__ import annotations

import logging
from enum import Enum
from typing import Any

_LOGGER = logging.getLogger("wigeonpoint")


class Event(Enum):
    """A log event: its number, its level and its sentence."""

    INSTANCE_STARTED = (100, logging.INFO, "instance started")
    INSTANCE_STOPPING = (101, logging.INFO, "graceful shutdown started")
    INSTANCE_STOPPED = (102, logging.INFO, "instance stopped")
    INTERNAL_ERROR = (103, logging.ERROR, "unexpected error")

    QUEUE_FULL = (500, logging.WARNING, "owner queue is full; refusing its heaviest caller")
    CONNECTION_REFUSED = (501, logging.WARNING, "backend server refused a connection; retrying")

    def __init__(self, number: int, level: int, sentence: str) -> None:
        self.number = number
        self.level = level
        self.sentence = sentence


def log_event(event: Event, **fields: Any) -> None:
    """Logs an event with its number and fields.

    Args:
        event: The event.
        fields: Further JSON fields of the log line.
    """
    if _LOGGER.isEnabledFor(event.level):
        _LOGGER.log(event.level, event.sentence, extra={"event": event.number, **fields})
