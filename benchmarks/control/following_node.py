"""A proxy that watches an endpoint list served by this process, and the times until changes are in force.

A change is in force when the proxy's watch polls with its revision: the proxy applies a revision before it
polls for the next one.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.support.list_server import UNUSED_ADDRESS, ListServer
from benchmarks.support.membership import Churn, EndpointEntry, Membership, make_entries
from benchmarks.support.open_loop import MICROSECONDS_PER_S
from benchmarks.support.processes import cpu_seconds, run_queue_seconds
from benchmarks.support.proxy_process import ProxyProcess, proxy_configuration

IN_FORCE_TIMEOUT_S = 30.0  # from the last change until all are in force; otherwise the run fails
MILLISECONDS_PER_S = 1e3


class FollowingNode:
    """A list server in this process and the proxy that watches it."""

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.server = ListServer(Membership(make_entries([UNUSED_ADDRESS] * size, seed)))
        self.server.on_poll = self._on_poll
        self.churn = Churn(self.server.membership, seed)
        self.in_force_us: list[float] = []  # one item for each change since the last clear
        self.idle_cores = 0.0  # cores in use without changes; set after its measurement
        self.proxy: ProxyProcess
        self._pending_since: dict[int, float] = {}  # write times by revision, for changes not yet in force
        self._all_in_force = asyncio.Event()

    async def start(self, folder: Path, seed: int) -> None:
        """Start the list server and the proxy."""
        address = await self.server.listen()
        membership = self.server.membership
        name = f"n{self.size}"
        configuration = proxy_configuration(name, address, membership.complete_list(), seed=seed)
        self.proxy = await ProxyProcess.start(folder, name, configuration)

    async def stop(self) -> None:
        """Stop the proxy, if it is started, and the list server."""
        if hasattr(self, "proxy"):
            await self.proxy.stop()
        self.server.close()

    @property
    def bytes_exchanged(self) -> int:
        """Bytes received and sent by the list server since the start."""
        return self.server.bytes_in + self.server.bytes_out

    def change(self, entries: Sequence[EndpointEntry], *, compact: bool = False) -> None:
        """Apply changed entries at the list server; see `ListServer.change`."""
        self._all_in_force.clear()
        self._pending_since[self.server.membership.revision + 1] = time.perf_counter()
        self.server.change(entries, compact=compact)

    async def wait_until_in_force(self) -> None:
        """Wait until all changes are in force at the proxy.

        Raises:
            TimeoutError: A change is not in force within `IN_FORCE_TIMEOUT_S`.
        """
        async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
            await self._all_in_force.wait()

    def _on_poll(self, since: int | None) -> None:
        now = time.perf_counter()
        in_force = [revision for revision in self._pending_since if since is not None and revision <= since]
        for revision in in_force:
            self.in_force_us.append((now - self._pending_since.pop(revision)) * MICROSECONDS_PER_S)
        if not self._pending_since:
            self._all_in_force.set()

    async def run_churn(self, per_s: float, seconds: float) -> None:
        """Write evenly spaced changes of one entry, `per_s` a second, for `seconds`."""
        loop = asyncio.get_running_loop()
        started, count = loop.time(), round(per_s * seconds)
        for index in range(count):
            scheduled_at = started + (index + 0.5) / per_s
            await asyncio.sleep(max(0.0, scheduled_at - loop.time()))
            self.change(self.churn.next_changes(1, int(time.time() * MILLISECONDS_PER_S)))
        await asyncio.sleep(max(0.0, started + seconds - loop.time()))


@dataclass(frozen=True, slots=True)
class UsageSnapshot:
    """A proxy's resource usage and its list server's traffic, from the start to the time of the snapshot."""

    loop_s: float
    cpu_s: float
    run_queue_s: float
    bytes_exchanged: int

    @staticmethod
    def of(node: FollowingNode) -> UsageSnapshot:
        """Read the current usage."""
        return UsageSnapshot(
            asyncio.get_running_loop().time(),
            cpu_seconds(node.proxy.pid),
            run_queue_seconds(node.proxy.pid),
            node.bytes_exchanged,
        )
