"""A database proxy with session consistency, urgent-first service and at-most-once writes."""

from __future__ import annotations

__version__ = "0.1.0"
