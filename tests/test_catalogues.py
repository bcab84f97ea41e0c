"""The catalogues of result codes and log events."""

from __future__ import annotations

from tools.write_catalogues import DOCS, errors_page, events_page

from wigeonpoint.events import Event


class TestCatalogues:
    """Pages that are generated from the code."""

    def test_errors_page_matches_the_code(self) -> None:
        """Guards against result codes that the page does not list."""
        assert (DOCS / "ERRORS.md").read_text(encoding="utf-8") == errors_page()

    def test_events_page_matches_the_code(self) -> None:
        """Guards against events that the page does not list."""
        assert (DOCS / "EVENTS.md").read_text(encoding="utf-8") == events_page()

    def test_event_numbers_are_unique(self) -> None:
        """Guards against two events that share a number."""
        numbers = [event.number for event in Event]
        assert len(numbers) == len(set(numbers))
