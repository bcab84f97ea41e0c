"""Renders the burn report as a text table."""

from __future__ import annotations

from wigeonpoint.report._burn_report import BurnReport, BurnRow

_HEADINGS = ("route", "rank", "window", "target", "objective", "answers", "good", "burn")


def burn_table(report: BurnReport) -> str:
    """Renders a report for a terminal."""
    lines = [_HEADINGS, *(_cells(row) for row in report.rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(_HEADINGS))]
    text = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    ]
    text.append(f"instances: {', '.join(report.instances) or 'none'}")
    if report.unreachable:
        text.append(f"not reached, counts missing: {', '.join(report.unreachable)}")
    return "\n".join(text)


def _cells(row: BurnRow) -> tuple[str, ...]:
    return (
        row.route,
        row.rank,
        row.window,
        f"{row.target_ms} ms",
        f"{row.objective:.2%}",
        str(row.total),
        f"{row.share:.2%}",
        f"{row.burn_rate:.2f}",
    )
