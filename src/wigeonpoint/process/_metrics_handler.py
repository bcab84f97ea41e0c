"""Serves metrics over HTTP."""

from __future__ import annotations

import asyncio
from typing import Protocol

from tornado.web import RequestHandler

MAX_AGE_S = 0.2
MAX_FORMS = 4  # different Accept headers whose result is kept


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


class RecentMetrics:
    """Renders metrics at most once in `MAX_AGE_S`, as that takes far longer than a request.

    Args:
        metrics: The metrics.
    """

    def __init__(self, metrics: RenderedMetrics) -> None:
        self._metrics = metrics
        self._rendered: dict[tuple[str, ...], tuple[bytes, dict[str, str]]] = {}
        self._rendered_at = float("-inf")

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Renders the metrics, or returns those of a moment ago."""
        now = asyncio.get_running_loop().time()
        if now - self._rendered_at > MAX_AGE_S:
            self._rendered.clear()
            self._rendered_at = now
        form = tuple(accept)
        rendered = self._rendered.get(form)
        if rendered is None:
            rendered = self._metrics.render(accept)
            if len(self._rendered) < MAX_FORMS:
                self._rendered[form] = rendered
        return rendered


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
