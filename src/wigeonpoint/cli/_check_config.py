"""`wigeonpoint check-config`: checks a platform configuration before it is sent."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from wigeonpoint.cli._admin_client import print_json, print_table
from wigeonpoint.errors import StoreUnavailable, WigeonpointError
from wigeonpoint.platform import (
    CheckedConfiguration,
    check_configuration,
    read_active_configuration,
    read_platform_settings,
)
from wigeonpoint.version.catalogue import Catalogue, Difference, Finding, compare_catalogues

WARNINGS_STATUS = 1
ERRORS_STATUS = 2
_PATH = click.Path(path_type=Path, exists=True, dir_okay=False)


@click.command("check-config")
@click.argument("path", metavar="FILE", type=_PATH)
@click.option("--active", type=_PATH, help="File with the configuration that is in force.")
@click.option(
    "--settings", type=_PATH, help="Settings file; the configuration is read from its store."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check_config(path: Path, active: Path | None, settings: Path | None, as_json: bool) -> None:
    """Check a configuration of routes, services and customers before it is sent.

    Prints what a gateway would refuse, entries that can never take effect, limits that contradict
    each other, and what differs from the configuration that is in force. Exits with status 0 if
    nothing was found, 1 after warnings and 2 after errors.

    Example: wigeonpoint check-config new.json --active current.json
    """
    if active is not None and settings is not None:
        raise click.UsageError("give --active or --settings, not both")
    checked = check_configuration(path.read_bytes())
    differences = None
    try:
        in_force = _read_active(active, settings)
    except WigeonpointError as error:
        click.echo(f"error {int(error.code)} {error.code.label}: {error.message}", err=True)
        sys.exit(ERRORS_STATUS)
    if in_force is not None and checked.catalogue is not None:
        differences = compare_catalogues(in_force, checked.catalogue)
    _print(checked, differences, as_json)
    sys.exit(_status(checked))


def _read_active(active: Path | None, settings: Path | None) -> Catalogue | None:
    """Reads the configuration that is in force, None if none was named.

    Raises:
        StoreUnavailable: It cannot be read.
    """
    if active is None and settings is None:
        return None
    if active is not None:
        document: bytes | None = active.read_bytes()
    else:
        assert settings is not None
        document = asyncio.run(read_active_configuration(read_platform_settings(settings)))
    catalogue = check_configuration(document).catalogue if document is not None else None
    if catalogue is None:
        raise StoreUnavailable("the configuration in force cannot be read")
    return catalogue


def _status(checked: CheckedConfiguration) -> int:
    if checked.errors:
        return ERRORS_STATUS
    return WARNINGS_STATUS if checked.warnings else 0


def _print(
    checked: CheckedConfiguration, differences: list[Difference] | None, as_json: bool
) -> None:
    if as_json:
        print_json(
            {
                "errors": [_finding_fields(one) for one in checked.errors],
                "warnings": [_finding_fields(one) for one in checked.warnings],
                "differences": None if differences is None else [asdict(d) for d in differences],
            }
        )
        return
    for level, findings in (("error", checked.errors), ("warning", checked.warnings)):
        for one in findings:
            click.echo(f"{level} {int(one.code)} {one.code.label}: {one.entry}: {one.message}")
    if differences:
        rows = [[one.entry, one.change, ", ".join(one.fields)] for one in differences]
        print_table(["entry", "change", "fields"], rows)
    elif differences is not None:
        click.echo("no difference from the configuration in force")
    if not checked.errors and not checked.warnings:
        click.echo("valid")


def _finding_fields(finding: Finding) -> dict[str, Any]:
    return {
        "code": int(finding.code),
        "name": finding.code.label,
        "entry": finding.entry,
        "message": finding.message,
    }
