"""The service-level burn report: counting, merging, and its text and HTML forms."""

from __future__ import annotations

from wigeonpoint.report._burn import (
    WINDOWS,
    BurnEntry,
    BurnRecorder,
    BurnSnapshot,
    BurnWindow,
    WindowCounts,
    merge_snapshots,
)
from wigeonpoint.report._burn_html import burn_html
from wigeonpoint.report._burn_report import BurnReport, BurnRow, Objective, build_burn_report
from wigeonpoint.report._burn_text import burn_table

__all__ = [
    "WINDOWS",
    "BurnEntry",
    "BurnRecorder",
    "BurnReport",
    "BurnRow",
    "BurnSnapshot",
    "BurnWindow",
    "Objective",
    "WindowCounts",
    "build_burn_report",
    "burn_html",
    "burn_table",
    "merge_snapshots",
]
