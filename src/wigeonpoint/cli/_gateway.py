"""`wigeonpoint gateway`: runs an instance on the users' platform."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from dataclasses import replace
from pathlib import Path

import click

from wigeonpoint.errors import SettingsError
from wigeonpoint.events import Event, log_event
from wigeonpoint.platform import (
    DEFAULT_PATH,
    PATH_VARIABLE,
    UserPlatform,
    read_platform_settings,
)
from wigeonpoint.process import configure_logs, return_large_blocks
from wigeonpoint.process.gateway import (
    DEFAULT_REMOTE_READ_COST_S,
    Gateway,
    GatewayMetrics,
    GatewaySettings,
    serve_metrics,
)

INVALID_SETTINGS_STATUS = 2


def _parse_address(
    context: click.Context, parameter: click.Parameter, value: str | None
) -> tuple[str, int] | None:
    if value is None:
        return None
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise click.BadParameter(f"{value!r} is not HOST:PORT")
    return host, int(port)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    default=lambda: Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH)),
    help="Settings file of the platform; by default the one that the environment names.",
)
@click.option(
    "--metrics",
    "metrics_address",
    metavar="HOST:PORT",
    callback=_parse_address,
    help="Address to serve metrics on; without it, none are served.",
)
@click.option(
    "--remote-read-cost-ms",
    type=click.FloatRange(min=0),
    default=1000 * DEFAULT_REMOTE_READ_COST_S,
    show_default=True,
    help="Cost of a read's traffic to another data centre, in milliseconds of a caller's time.",
)
def gateway(
    path: Path, metrics_address: tuple[str, int] | None, remote_read_cost_ms: float
) -> None:
    """Run an entry instance on the users' platform until SIGTERM.

    Example: wigeonpoint gateway --settings /etc/wigeonpoint/settings.toml
    """
    try:
        settings = replace(
            read_platform_settings(path), remote_read_cost_s=remote_read_cost_ms / 1000
        )
    except SettingsError as error:
        click.echo(f"error {int(error.code)} {error.code.label}: {error.message}", err=True)
        sys.exit(INVALID_SETTINGS_STATUS)
    asyncio.run(_run(settings, path, metrics_address))


async def _run(
    settings: GatewaySettings, path: Path, metrics_address: tuple[str, int] | None
) -> None:
    configure_logs("INFO", instance_id=settings.instance_id, stream=sys.stdout)
    return_large_blocks()
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    process = Gateway(settings, UserPlatform(settings))
    process.start()
    if metrics_address is not None:
        _serve_metrics(process, metrics_address)
    gc.collect()
    gc.freeze()
    await stopping.wait()
    await process.drain()
    process.stop()
    # Exits at once, as no state is left to save. On a slow machine, cancelling the remaining tasks
    # and shutting the interpreter down can exceed the grace period, after which the platform kills
    # the process.
    sys.stdout.flush()
    os._exit(0)


def _serve_metrics(process: Gateway, address: tuple[str, int]) -> None:
    """Serves metrics; a failure is logged, and the instance runs without them."""
    try:
        serve_metrics(GatewayMetrics(process), *address)
    except OSError as error:
        log_event(Event.METRICS_UNAVAILABLE, address=f"{address[0]}:{address[1]}", error=str(error))


def _reload(path: Path) -> None:
    """Validates the settings file again; addresses stay as they were bound at the start."""
    try:
        read_platform_settings(path)
    except SettingsError as error:
        log_event(Event.SETTINGS_REFUSED, problem=error.message)
    else:
        log_event(Event.SETTINGS_READ, path=str(path))
