"""Reports: error-budget burn as text and HTML, and the log history of one request."""

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
from wigeonpoint.report._explain import Explanation, LogLine, explain_request, parse_log

__all__ = [
    "WINDOWS",
    "BurnEntry",
    "BurnRecorder",
    "BurnReport",
    "BurnRow",
    "BurnSnapshot",
    "BurnWindow",
    "Explanation",
    "LogLine",
    "Objective",
    "WindowCounts",
    "build_burn_report",
    "burn_html",
    "burn_table",
    "explain_request",
    "merge_snapshots",
    "parse_log",
]
