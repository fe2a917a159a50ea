"""A plain list server in a child process, as the server under test or as the registry of a chain."""

from __future__ import annotations

import time
from collections import Counter
from pathlib import Path

import msgspec

from benchmarks.hollow.plain_server import ChangeWritten, PlainList, PlainServerReady
from benchmarks.hollow.service_lists import ListChanges, ServiceLists
from benchmarks.support.free_ports import free_ports
from benchmarks.support.processes import ChildProcess

PLAIN_ROLE = "plain"
RESTART_REVISION_INCREMENT = (
    1_000_000  # a restarted server has no change log; its revisions start above all old ones
)


class PlainServer:
    """A plain list server in a child process."""

    def __init__(self, folder: Path) -> None:
        self.roles: dict[str, ChildProcess] = {}
        self.ports: list[int] = []
        self._lists_file = folder / "lists.json"
        self._revision = 1

    async def start(self, services: ServiceLists) -> None:
        """See `ServerUnderTest`."""
        self.ports = free_ports(len(services.lists))
        await self.start_watched_server(services)

    async def change(self, changes: ListChanges) -> float:
        """See `ServerUnderTest`; a process that is down reads the change from its file at the next start."""
        process = self.roles.get(PLAIN_ROLE)
        if process is None:
            return time.monotonic()
        return (await process.request(changes, ChangeWritten)).at_s

    async def stop_watched_server(self) -> None:
        """See `ServerUnderTest`."""
        await self.roles.pop(PLAIN_ROLE).kill()

    async def start_watched_server(self, services: ServiceLists, /) -> float:
        """See `ServerUnderTest`."""
        lists = [
            PlainList(self._revision, list(entries.values()), port)
            for port, entries in zip(self.ports, services.lists, strict=True)
        ]
        self._revision += RESTART_REVISION_INCREMENT
        self._lists_file.write_bytes(msgspec.json.encode(lists))
        process = await ChildProcess.start("benchmarks.hollow.plain_server", str(self._lists_file))
        await process.receive(PlainServerReady)
        self.roles[PLAIN_ROLE] = process
        return time.monotonic()

    def logged_problems(self) -> Counter[str]:
        """See `ServerUnderTest`; a plain server has no log."""
        return Counter()

    async def close(self) -> None:
        """See `ServerUnderTest`."""
        for process in self.roles.values():
            await process.kill()
