"""`wigeonpoint gateway`: runs on the users' platform."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
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
from wigeonpoint.process import configure_logs
from wigeonpoint.process.gateway import Gateway, GatewaySettings

INVALID_SETTINGS_STATUS = 2


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    default=lambda: Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH)),
    help="Settings file of the platform; the environment names it by default.",
)
def gateway(path: Path) -> None:
    """Run an entry instance on the users' platform until SIGTERM.

    Example: wigeonpoint gateway --settings /etc/wigeonpoint/settings.toml
    """
    try:
        settings = read_platform_settings(path)
    except SettingsError as error:
        click.echo(f"error {int(error.code)} {error.code.label}: {error.message}", err=True)
        sys.exit(INVALID_SETTINGS_STATUS)
    asyncio.run(_run(settings, path))


async def _run(settings: GatewaySettings, path: Path) -> None:
    configure_logs("INFO", instance_id=settings.instance_id, stream=sys.stdout)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    process = Gateway(settings, UserPlatform(settings))
    process.start()
    gc.collect()
    gc.freeze()
    await stopping.wait()
    await process.drain()
    process.stop()


def _reload(path: Path) -> None:
    """Checks the changed settings file; addresses stay as they were bound at the start."""
    try:
        read_platform_settings(path)
    except SettingsError as error:
        log_event(Event.SETTINGS_REFUSED, problem=error.message)
    else:
        log_event(Event.SETTINGS_READ, path=str(path))
