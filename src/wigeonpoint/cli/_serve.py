"""`wigeonpoint serve`: runs an instance against the embedded platform."""

from __future__ import annotations

import asyncio
import gc
import signal
from pathlib import Path

import click

from wigeonpoint.backend import WebSocketBackend
from wigeonpoint.cli._errors import numbered_errors
from wigeonpoint.embedded import http_platform
from wigeonpoint.events import Event, log_event
from wigeonpoint.process import (
    Instance,
    Settings,
    configure_logs,
    read_settings,
    return_large_blocks,
)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="JSON file with the settings of the instance.",
)
def serve(path: Path) -> None:
    """Run an entry instance until SIGTERM or SIGINT; a second signal ends it at once."""
    with numbered_errors():
        asyncio.run(_serve(read_settings(path)))


async def _serve(settings: Settings) -> None:
    configure_logs(settings.log_level, instance_id=settings.instance.id)
    return_large_blocks()
    signals: asyncio.Queue[None] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, None)
    platform = http_platform(settings.platform.address, timeout=settings.platform.timeout_ms / 1000)
    instance = Instance(settings, platform, WebSocketBackend())
    instance.start()
    _freeze_startup_objects()
    click.echo(f"listening on {instance.record.address}")
    await signals.get()
    await _drain_until_signal(instance, signals)
    await instance.stop()


def _freeze_startup_objects() -> None:
    """Excludes the objects that exist at the start from later garbage collections.

    A full collection over the loaded modules blocks the event loop for about 60 ms. Under a flood
    one runs every few seconds, which raises the p99 latency of urgent requests.
    """
    gc.collect()
    gc.freeze()


async def _drain_until_signal(instance: Instance, signals: asyncio.Queue[None]) -> None:
    """Drains the instance until it is done or a second signal arrives."""
    draining = asyncio.create_task(instance.drain())
    second = asyncio.create_task(signals.get())
    await asyncio.wait({draining, second}, return_when=asyncio.FIRST_COMPLETED)
    if not draining.done():
        log_event(Event.DRAIN_ABORTED)
    draining.cancel()
    second.cancel()
