"""`wigeonpoint explain`: shows the log lines around one request and their likely cause."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from wigeonpoint.report import explain_request, parse_log

NOT_FOUND_STATUS = 1


@click.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
def explain(request: str, logs: tuple[Path, ...]) -> None:
    """Show the log lines of several instances that explain one request.

    REQUEST is the id that the caller gave; LOGS are the instances' logs, one JSON object per line.

    Example: wigeonpoint explain 5c0e7a21d94b36f8 logs/front-*.log
    """
    lines = [
        line for path in logs for line in parse_log(path.read_text(errors="replace").splitlines())
    ]
    explanation = explain_request(request, lines)
    if not explanation.lines:
        click.echo(
            f"no log line mentions request {request}; successful requests are not logged", err=True
        )
        sys.exit(NOT_FOUND_STATUS)
    own = {id(line) for line in explanation.lines}
    both = sorted([*explanation.lines, *explanation.context], key=lambda line: line.at)
    for line in both:
        click.echo(f"{'>' if id(line) in own else ' '} {line}")
    if explanation.cause is not None:
        click.echo(f"\nmost likely cause: {explanation.cause}")
