"""Numbered log events, which `docs/EVENTS.md` lists."""

from __future__ import annotations

from wigeonpoint._events import Event, log_event

__all__ = ["Event", "log_event"]
