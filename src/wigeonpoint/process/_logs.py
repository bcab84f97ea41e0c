"""Log lines as JSON on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(message)s"


def configure_logs(level: str, *, instance_id: str) -> None:
    """Sends log events of the package to standard error, one JSON object a line.

    Args:
        level: Lowest level that is logged.
        instance_id: Id of the instance, written into every line.
    """
    handler = logging.StreamHandler(sys.stderr)
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
