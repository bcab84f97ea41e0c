"""Numbered log events; `docs/EVENTS.md` is their catalogue."""

from __future__ import annotations

from wigeonpoint._events import Event, log_event

__all__ = ["Event", "log_event"]
