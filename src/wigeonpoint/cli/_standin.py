"""`wigeonpoint standin`: runs stand-ins, to try the proxy without a platform or a database."""

from __future__ import annotations

import asyncio
import gc

import click
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from wigeonpoint.standins import (
    DatabaseMemberStandIn,
    MemberOptions,
    PlatformStandIn,
    database_application,
)


@click.group()
def standin() -> None:
    """Run a stand-in of the platform or of a database member."""


@standin.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 lets the kernel choose.")
def platform(host: str, port: int) -> None:
    """Run an in-memory table service, object store and directory."""
    asyncio.run(_run(PlatformStandIn().application(), host, port))


@standin.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 lets the kernel choose.")
@click.option("--name", required=True, help="Name of the member.")
@click.option("--primary", is_flag=True, help="Start as primary of term 1.")
@click.option("--slots", default=2, show_default=True)
@click.option("--connections", default=16, show_default=True)
@click.option("--connect-ms", default=12.0, show_default=True)
@click.option("--statement-ms", default=1.0, show_default=True)
@click.option("--replication-ms", default=1.0, show_default=True)
def database(
    host: str,
    port: int,
    name: str,
    primary: bool,
    slots: int,
    connections: int,
    connect_ms: float,
    statement_ms: float,
    replication_ms: float,
) -> None:
    """Run an in-memory member of a database group."""
    options = MemberOptions(
        slots=slots,
        connection_limit=connections,
        connect_ms=connect_ms,
        statement_ms=statement_ms,
        replication_ms=replication_ms,
    )
    asyncio.run(_run_member(name, primary, options, host, port))


async def _run_member(
    name: str, primary: bool, options: MemberOptions, host: str, port: int
) -> None:
    member = DatabaseMemberStandIn(name, [], primary=primary, options=options)
    member.start()
    await _run(database_application(member), host, port)


async def _run(application: Application, host: str, port: int) -> None:
    server = HTTPServer(application)
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    gc.collect()
    gc.freeze()  # long collections in a stand-in would be measured as latency of the proxy
    click.echo(f"listening on {host}:{sockets[0].getsockname()[1]}")
    await asyncio.Event().wait()
