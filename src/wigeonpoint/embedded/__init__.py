"""Adapter of the embedded platform: the services of `wigeonpoint.services` as JSON over HTTP."""

from __future__ import annotations

from wigeonpoint.embedded._http import http_platform

__all__ = ["http_platform"]
