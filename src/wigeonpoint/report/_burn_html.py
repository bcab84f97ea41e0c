"""Renders the burn report as a self-contained HTML page with plots, without scripts."""

from __future__ import annotations

from html import escape
from itertools import groupby

from wigeonpoint.report._burn_report import BurnReport, BurnRow

PLOT_WIDTH = 240
PLOT_HEIGHT = 56
BURN_WARNING = 1.0
BURN_CRITICAL = 6.0  # uses up a 30-day error budget in five days

_STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 68rem; color: #1c2733;
       background: #fff; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: .25rem; } h2 { font-size: 1.1rem; margin: 2rem 0 .5rem; }
.note { color: #566574; } .missing { color: #a12622; font-weight: 600; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: right; padding: .35rem .7rem; border-bottom: 1px solid #dde3e8; }
th:first-child, td:first-child, td.plot, th.plot { text-align: left; }
th { color: #566574; font-weight: 600; font-size: .85rem; }
.ok { color: #1d6b3a; } .warning { color: #8a5a00; } .critical { color: #a12622; font-weight: 700; }
svg { display: block; }
"""


def burn_html(report: BurnReport) -> str:
    """Renders a report as an HTML page."""
    sections = [
        _route_section(route, list(rows))
        for route, rows in groupby(report.rows, key=lambda row: row.route)
    ]
    body = "\n".join(sections) or '<p class="note">No answers have been counted yet.</p>'
    return f"""<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>{_STYLE}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p class="note">A burn rate of 1 uses the error budget exactly as planned; above 1 it runs out
early. Plots show the share of answers within the target, oldest on the left; the dashed line is the
objective.</p>
{_instance_notes(report)}
{body}
</body>
</html>
"""


def _instance_notes(report: BurnReport) -> str:
    names = escape(", ".join(report.instances) or "none")
    text = f'<p class="note">Instances counted: {names}.</p>'
    if report.unreachable:
        missing = escape(", ".join(report.unreachable))
        text += f'\n<p class="missing">Not reached, counts missing: {missing}.</p>'
    return text


def _route_section(route: str, rows: list[BurnRow]) -> str:
    lines = "\n".join(_row_html(row) for row in rows)
    return f"""<h2>{escape(route)}</h2>
<table>
<thead><tr><th>Rank</th><th>Window</th><th>Target</th><th>Objective</th><th>Answers</th>
<th>Within target</th><th>Burn rate</th><th class="plot">Share within target</th></tr></thead>
<tbody>
{lines}
</tbody>
</table>"""


def _row_html(row: BurnRow) -> str:
    return (
        f"<tr><td>{escape(row.rank)}</td><td>{escape(row.window)}</td><td>{row.target_ms} ms</td>"
        f"<td>{row.objective:.2%}</td><td>{row.total:,}</td><td>{row.share:.2%}</td>"
        f'<td class="{_severity(row)}">{row.burn_rate:.2f}</td>'
        f'<td class="plot">{_svg_plot(row)}</td></tr>'
    )


def _severity(row: BurnRow) -> str:
    if row.burn_rate >= BURN_CRITICAL:
        return "critical"
    return "warning" if row.burn_rate > BURN_WARNING else "ok"


def _svg_plot(row: BurnRow) -> str:
    """Draws a bar for each bucket that has answers; the vertical axis runs from 0 to 1."""
    width = PLOT_WIDTH / len(row.total_by_bucket)
    bars = []
    for index, (good, total) in enumerate(
        zip(row.good_by_bucket, row.total_by_bucket, strict=True)
    ):
        if total:
            height = PLOT_HEIGHT * good / total
            colour = "#2f7d4f" if good / total >= row.objective else "#c0463f"
            bars.append(
                f'<rect x="{index * width + 1:.1f}" y="{PLOT_HEIGHT - height:.1f}" '
                f'width="{width - 2:.1f}" height="{max(height, 1):.1f}" fill="{colour}">'
                f"<title>{good} of {total}</title></rect>"
            )
    line = PLOT_HEIGHT * (1 - row.objective)
    return (
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" role="img" '
        f'aria-label="share within target by bucket">'
        f'<rect width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" fill="#f2f5f7"/>'
        f"{''.join(bars)}"
        f'<line x1="0" x2="{PLOT_WIDTH}" y1="{line:.1f}" y2="{line:.1f}" stroke="#1c2733" '
        f'stroke-dasharray="4 3"/></svg>'
    )
