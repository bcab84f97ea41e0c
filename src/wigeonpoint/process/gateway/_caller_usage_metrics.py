"""Metrics of what callers use of the process."""

from __future__ import annotations

from aioprometheus import Gauge, Registry

from wigeonpoint.process.gateway._caller_usage import CallerUsage
from wigeonpoint.process.gateway._session_memory import SessionMemory


def add_caller_usage(registry: Registry, usage: CallerUsage, sessions: SessionMemory) -> None:
    """Adds the memory and connections that callers use, and what was closed or refused.

    Args:
        registry: Where to add them.
        usage: Use of connections, messages and replies.
        sessions: Use of values and prepared statements.
    """
    text = "Bytes that callers hold, by what holds them."
    held = Gauge("wigeonpoint_caller_bytes", text, registry=registry)
    held.set({"holder": "messages"}, usage.gate.held)
    held.set({"holder": "replies"}, usage.outbox.held)
    held.set({"holder": "sessions"}, sessions.held)
    text = "Open connections of callers."
    Gauge("wigeonpoint_caller_connections", text, registry=registry).set({}, usage.connections)
    text = "Large messages that waited for room."
    waits = Gauge("wigeonpoint_caller_message_waits_total", text, registry=registry)
    waits.set({}, usage.gate.waits)
    text = "Connections of callers closed or refused to stay within the limits, by reason."
    ended = Gauge("wigeonpoint_caller_connections_ended_total", text, registry=registry)
    for reason, count in (
        ("slow_message", usage.gate.closed),
        ("late_message", usage.late_messages),
        ("unread_replies", usage.outbox.closed),
        ("late_reply", usage.late_replies),
        ("room", usage.closed_for_room),
        ("refused", usage.refused),
        ("session_values", sessions.closed),
    ):
        ended.set({"reason": reason}, count)
    text = "Session values and prepared statements refused as too large."
    refused = Gauge("wigeonpoint_session_entries_refused_total", text, registry=registry)
    refused.set({}, sessions.refusals)
