"""`wigeonpoint serve`."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import click

from wigeonpoint.backend import WebSocketBackend
from wigeonpoint.cli._errors import numbered_errors
from wigeonpoint.platform import http_platform
from wigeonpoint.process import Instance, Settings, configure_logs, read_settings


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="JSON file with the settings of the instance.",
)
def serve(path: Path) -> None:
    """Run an entry instance until SIGTERM or SIGINT."""
    with numbered_errors():
        asyncio.run(_serve(read_settings(path)))


async def _serve(settings: Settings) -> None:
    configure_logs(settings.log_level, instance_id=settings.instance.id)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    platform = http_platform(settings.platform.address, timeout=settings.platform.timeout_ms / 1000)
    instance = Instance(settings, platform, WebSocketBackend())
    instance.start()
    click.echo(f"listening on {instance.record.address}")
    await stopping.wait()
    await instance.stop()
