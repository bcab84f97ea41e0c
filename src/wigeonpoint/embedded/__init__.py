"""Adapter of the embedded stand-ins: the services of `wigeonpoint.services` over HTTP with JSON."""

from __future__ import annotations

from wigeonpoint.embedded._http import http_platform

__all__ = ["http_platform"]
