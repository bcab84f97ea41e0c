"""Root of the command line."""

from __future__ import annotations

from importlib import import_module

import click

from wigeonpoint import __version__

# Module and attribute of each command. Only the module of the command that runs is imported.
_COMMANDS = {
    "check": ("wigeonpoint.cli._check", "check"),
    "check-config": ("wigeonpoint.cli._check_config", "check_config"),
    "explain": ("wigeonpoint.cli._explain", "explain"),
    "gateway": ("wigeonpoint.cli._gateway", "gateway"),
    "load": ("wigeonpoint.cli._load", "load"),
    "pool": ("wigeonpoint.cli._rows", "pool"),
    "report": ("wigeonpoint.cli._report", "report"),
    "route": ("wigeonpoint.cli._rows", "route"),
    "serve": ("wigeonpoint.cli._serve", "serve"),
    "standin": ("wigeonpoint.cli._standin", "standin"),
    "status": ("wigeonpoint.cli._status", "status"),
}


class _LazyGroup(click.Group):
    """Command group that imports a command when it is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(_COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        location = _COMMANDS.get(cmd_name)
        if location is None:
            return None
        module, attribute = location
        command = getattr(import_module(module), attribute)
        assert isinstance(command, click.Command)
        return command


@click.group(cls=_LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """A database proxy with session consistency and urgent-first service."""
