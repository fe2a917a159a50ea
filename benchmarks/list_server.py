"""Serve an endpoint list that changes on command: `python -m benchmarks.list_server --servers 1000`.

The first line of output is a `ListServerAddress`. Standard input takes one command a line: `change N` changes
and `lose N` removes N random entries, `drop` aborts all connections, `figures` only requests statistics. A
line of output with the `ListServerStatistics` confirms each command.
"""

from __future__ import annotations

import asyncio
import contextlib
import time

import click
import msgspec

from benchmarks.support.child_streams import open_standard_input, write_message
from benchmarks.support.list_server import UNUSED_ADDRESS, ListServer
from benchmarks.support.membership import Churn, Membership, make_entries


class ListServerAddress(msgspec.Struct):
    """The first line of a list server's output."""

    address: str


async def _serve(servers: int, host: str, port: int, seed: int) -> None:
    server = ListServer(Membership(make_entries([UNUSED_ADDRESS] * servers, seed)))
    churn = Churn(server.membership, seed)
    write_message(ListServerAddress(await server.listen(host, port)))
    commands = await open_standard_input()
    while words := (await commands.readline()).split():
        count = int(words[1]) if len(words) > 1 else 1
        match words[0]:
            case b"change":
                server.change(churn.next_changes(count, int(time.time() * 1000.0)))
            case b"lose":
                server.change(churn.next_losses(count))
            case b"drop":
                server.drop_connections()
        write_message(server.statistics())
    server.close()


@click.command()
@click.option("--servers", default=1000, show_default=True, help="Entries in the list.")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True)
@click.option("--seed", default=7, show_default=True)
def main(servers: int, host: str, port: int, seed: int) -> None:
    """Serve a list until standard input ends; commands, one a line: change N, lose N, drop, figures."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(servers, host, port, seed))


if __name__ == "__main__":
    main()
