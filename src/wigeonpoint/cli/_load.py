"""`wigeonpoint load`: generates and replays traces."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import click
import orjson

from wigeonpoint.cli._errors import numbered_errors
from wigeonpoint.load import (
    Arrival,
    KeepAliveConnections,
    LoadBounds,
    TraceKind,
    generate,
    read_trace,
    replay,
    write_trace,
)


@click.group()
def load() -> None:
    """Generate traces and replay them against instances."""


@load.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--kind", type=click.Choice([str(kind) for kind in TraceKind]), required=True)
@click.option("--route", required=True)
@click.option("--capacity", type=float, required=True, help="Requests per second.")
@click.option("--times", default=1.0, help="Rate of the flood as a multiple of the capacity.")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def trace(path: Path, kind: str, **options: Any) -> None:
    """Write a generated trace to PATH."""
    write_trace(path, generate(TraceKind(kind), **options))


@load.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--instance", "addresses", multiple=True, required=True, help="host:port")
@click.option("--token", "tokens", multiple=True, required=True, help="TOKEN or CALLER=TOKEN")
@click.option("--requests", default=100_000, show_default=True, help="Maximum number of requests.")
@click.option("--seconds", default=60.0, show_default=True, help="Maximum length in seconds.")
@click.option(
    "--in-flight", default=500, show_default=True, help="Maximum number of open requests of a rank."
)
def run(
    path: Path,
    addresses: tuple[str, ...],
    tokens: tuple[str, ...],
    requests: int,
    seconds: float,
    in_flight: int,
) -> None:
    """Replay the trace at PATH and print results by rank and kind as JSON."""
    with numbered_errors():
        arrivals = read_trace(path)
    pairs = (token.rpartition("=") for token in tokens)
    by_caller = {caller: token for caller, _, token in pairs}
    bounds = LoadBounds(requests, seconds, in_flight)
    results = asyncio.run(_run(arrivals, list(addresses), by_caller, bounds))
    click.echo(orjson.dumps(results, option=orjson.OPT_INDENT_2))


async def _run(
    arrivals: list[Arrival], addresses: list[str], tokens: dict[str, str], bounds: LoadBounds
) -> dict[str, Any]:
    sender = KeepAliveConnections(addresses, tokens)
    started = asyncio.get_running_loop().time()
    results = await replay(arrivals, sender, bounds)
    sender.close()
    result = results.as_json(asyncio.get_running_loop().time() - started)
    return {**result, "connections_opened": sender.opened}
