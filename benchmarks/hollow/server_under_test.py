"""The interface of the list servers that hollow nodes watch."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Protocol

from benchmarks.hollow.service_lists import ListChanges, ServiceLists
from benchmarks.support.processes import ChildProcess


class ServerKind(StrEnum):
    """The kind of server that the hollow nodes watch."""

    PLAIN = "plain"  # a plain list server
    DISCOVERY_SERVER = "directory"  # one discovery server with a registry as its upstream
    CHAIN = "chain"  # a registry, then the discovery servers of a region and of a zone


class ServerUnderTest(Protocol):
    """A list server or a chain of list servers; changes are written at the source of the lists."""

    roles: dict[str, ChildProcess]  # its processes by role; the nodes watch the last one

    @property
    def ports(self) -> list[int]:
        """The ports at which the nodes watch the lists, by list number."""
        ...

    async def start(self, services: ServiceLists) -> None:
        """Start all processes."""
        ...

    async def change(self, changes: ListChanges) -> float:
        """Write a change at the source; return the time of the write, in seconds of the monotonic clock."""
        ...

    async def stop_watched_server(self) -> None:
        """Kill the process that the nodes watch, without a graceful shutdown."""
        ...

    async def start_watched_server(self, services: ServiceLists, /) -> float:
        """Start that process again at the same addresses; return the time at which it serves."""
        ...

    def logged_problems(self) -> Counter[str]:
        """Count warnings and errors in the logs since the start, by role and event."""
        ...

    async def close(self) -> None:
        """Kill all processes."""
        ...
