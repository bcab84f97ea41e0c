"""`wigeonpoint status`: shows the state of all instances."""

from __future__ import annotations

import click

from wigeonpoint.cli._admin_client import (
    AdminClient,
    instance_options,
    print_json,
    print_table,
)


@click.command()
@instance_options
def status(address: str, token: str, as_json: bool) -> None:
    """Show the active state of every instance, refused rows and unreachable instances."""
    answer = AdminClient(address, token).call("GET", "/status")
    if as_json:
        print_json(answer)
        return
    rows = [
        [one["id"], one["data_centre"], one["number"], "yes" if one["poller"] else "no"]
        for one in answer["instances"]
    ]
    rows += [[name, None, "unreachable", None] for name in answer["unreachable"]]
    print_table(["instance", "data centre", "state", "watches tables"], rows)
    for problem in answer["refused"]:
        click.echo(f"refused {problem['code']} {problem['name']}: {problem['message']}")
