"""Writes docs/ERRORS.md and docs/EVENTS.md from the enumerations in the code."""

from __future__ import annotations

import logging
from pathlib import Path

from tools.catalogue_texts import ERROR_ADVICE, EVENT_NOTES
from wigeonpoint.errors import ResultCode, error_for
from wigeonpoint.events import Event

DOCS = Path(__file__).resolve().parent.parent / "docs"

_ERRORS_HEAD = """# Result codes

Every answer carries `code`, `name` and `outcome`. `outcome` is `done`, `not_run` or `unknown`;
`not_run` means that the request did not run (of a read: that no rows are answered, though a server
may have executed it), `unknown` that it may have. Codes of one hundred
belong together: 1xx wrong input, 2xx refused before running, 3xx outcome unknown, 4xx
configuration edits, 5xx platform, 6xx settings, 9xx internal. A refusal that a repeat may cure
carries `retry_after_ms`.
Where an earlier attempt of the same request may have run, the outcome is `unknown` whatever the
code.

This page is written by `python -m tools.write_catalogues`; a test compares it with the code.

| code | name | outcome | what to do |
| --- | --- | --- | --- |
"""
_EVENTS_HEAD = """# Log events

Log lines are JSON objects, on standard error (`serve`) or standard output (`gateway`), with
`time`, `level`, `message`, `instance` and
`event`.
Hundreds: 1xx process, 2xx configuration, 3xx membership, 4xx database groups, 5xx owners and
connections, 6xx requests.

This page is written by `python -m tools.write_catalogues`; a test compares it with the code.

| event | level | message | when, and what an operator does |
| --- | --- | --- | --- |
"""


def errors_page() -> str:
    """Text of docs/ERRORS.md."""
    lines = [
        f"| {int(code)} | `{code.label}` | {_outcome(code)} | {ERROR_ADVICE[code.name]} |"
        for code in ResultCode
    ]
    return _ERRORS_HEAD + "\n".join(lines) + "\n"


def events_page() -> str:
    """Text of docs/EVENTS.md."""
    lines = [
        f"| {event.number} | {logging.getLevelName(event.level).lower()} | {event.sentence} "
        f"| {EVENT_NOTES[event.name]} |"
        for event in sorted(Event, key=lambda event: event.number)
    ]
    return _EVENTS_HEAD + "\n".join(lines) + "\n"


def _outcome(code: ResultCode) -> str:
    return "done" if code is ResultCode.DONE else str(error_for(code, "").outcome)


def main() -> None:
    """Writes both pages."""
    (DOCS / "ERRORS.md").write_text(errors_page(), encoding="utf-8")
    (DOCS / "EVENTS.md").write_text(events_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
