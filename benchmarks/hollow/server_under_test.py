"""The interface of the list servers that hollow nodes watch: start, change and restart."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Protocol

from benchmarks.hollow.service_lists import ListChanges, ServiceLists
from benchmarks.support.processes import ChildProcess


class ServerKind(StrEnum):
    """The kind of server that the hollow nodes watch."""

    PLAIN = "plain"  # a plain list server
    DISCOVERY_SERVER = "directory"  # one discovery server behind a registry
    CHAIN = "chain"  # the discovery servers of a region and a zone behind a registry


class ServerUnderTest(Protocol):
    """A list server, or a chain of them, with the source at which changes are written."""

    roles: dict[str, ChildProcess]  # its processes by role; the last one is the one that the nodes watch

    @property
    def ports(self) -> list[int]:
        """The port of each list, at which the nodes watch it."""
        ...

    async def start(self, services: ServiceLists) -> None:
        """Start all processes."""
        ...

    async def change(self, changes: ListChanges) -> float:
        """Write a change at the source; return the time of the write, in seconds of the monotonic clock."""
        ...

    async def stop_watched_server(self) -> None:
        """End the process that the nodes watch, without a shutdown."""
        ...

    async def start_watched_server(self, services: ServiceLists, /) -> float:
        """Start that process again at the same addresses; return the time from which it serves."""
        ...

    def logged_problems(self) -> Counter[str]:
        """Count warnings and errors in the logs since the start, by role and event."""
        ...

    async def close(self) -> None:
        """End all processes."""
        ...
