"""A plain list server for many lists, to which the discovery server is compared.

The server listens at a separate port for each list and encodes every response separately for each watch.
`python -m benchmarks.hollow.plain_server FILE` reads the lists from a JSON file of `PlainList` objects and
writes `PlainServerReady`. Each line of standard input is a JSON object of changed entries by list number, and
is confirmed with `ChangeWritten`.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from benchmarks.support.child_streams import open_standard_input, read_message, write_message
from benchmarks.support.list_server import ListServer
from benchmarks.support.membership import EndpointEntry, Membership

CHANGES = msgspec.json.Decoder(dict[int, list[EndpointEntry]])  # changed entries by the number of their list


class PlainList(msgspec.Struct):
    """An endpoint list to serve."""

    revision: int
    entries: list[EndpointEntry]
    port: int = 0  # 0: any free port


class PlainServerReady(msgspec.Struct):
    """Reports the ports of all lists when the server serves them."""

    ports: list[int]


class ChangeWritten(msgspec.Struct):
    """Confirms that a change has been applied to the lists."""

    at_s: float  # when the change is read from standard input, by the machine's monotonic clock


class UncachedMembership(Membership):
    """A membership that encodes every response again instead of sharing it among watches."""

    def watch_response(self, since: int | None) -> bytes:
        """See `Membership.watch_response`; cached encodings are not used."""
        self.discard_encoded_responses()
        return super().watch_response(since)


@dataclass(frozen=True, slots=True)
class RunningLists:
    """The servers of all lists, and the port of each."""

    servers: list[ListServer]
    ports: list[int]


async def serve(lists: Sequence[PlainList]) -> RunningLists:
    """Start a server for each list."""
    running = RunningLists([], [])
    for plain_list in lists:
        server = ListServer(UncachedMembership(plain_list.entries, plain_list.revision))
        address = await server.listen(port=plain_list.port)
        running.servers.append(server)
        running.ports.append(int(address.rpartition(":")[2]))
    return running


def load_lists(path: Path) -> list[PlainList]:
    """Read the lists from a JSON file."""
    return msgspec.json.decode(path.read_bytes(), type=list[PlainList])


async def main(path: Path) -> None:
    """Serve the lists of a file and apply changes until standard input ends."""
    running = await serve(load_lists(path))
    write_message(PlainServerReady(running.ports))
    changes = await open_standard_input()
    while (changed_lists := await read_message(changes, CHANGES)) is not None:
        written = ChangeWritten(time.monotonic())
        for number, entries in changed_lists.items():
            running.servers[number].change(entries)
        write_message(written)


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1])))
