"""Serves metrics over HTTP."""

from __future__ import annotations

from typing import Protocol

from tornado.web import RequestHandler


class RenderedMetrics(Protocol):
    """Metrics that can be rendered for a scrape."""

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Renders the metrics.

        Args:
            accept: Values of the Accept header.

        Returns:
            Body and headers.
        """
        ...


class MetricsHandler(RequestHandler):
    """`GET /metrics`."""

    def initialize(self, metrics: RenderedMetrics) -> None:
        """Stores the metrics."""
        self._metrics = metrics

    def get(self) -> None:
        """Answers a scrape."""
        body, headers = self._metrics.render(self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)
