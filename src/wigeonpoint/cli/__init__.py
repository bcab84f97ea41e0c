"""The `wigeonpoint` command."""

from __future__ import annotations

from wigeonpoint.cli._main import main

__all__ = ["main"]
