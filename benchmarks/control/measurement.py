"""Measuring proxies that follow a changing endpoint list and carry no requests.

A change is in force when the proxy's watch polls with its revision: the proxy has put it in force by then.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import time
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.support.list_server import UNUSED_ADDRESS, ListServer
from benchmarks.support.membership import READY, Churn, EndpointEntry, Membership, make_entries
from benchmarks.support.open_loop import MICROSECONDS_PER_S
from benchmarks.support.processes import cpu_seconds, resident_mib, run_queue_seconds
from benchmarks.support.proxy_process import ProxyProcess, proxy_configuration
from benchmarks.support.regression import standard_error

SETTLE_S = 0.3  # after a change is in force, in which what follows from it is still counted
IN_FORCE_TIMEOUT_S = 30.0  # within which a change has to be in force for the run to go on
CHANGES_PER_DAY = 7200
DAY_S = 86_400
MILLISECONDS_PER_S = 1e3
MICROSECONDS_PER_MS = 1e3


@dataclass(frozen=True, slots=True)
class Plan:
    """What is run."""

    sizes: tuple[int, ...] = (13, 100, 400, 1000, 2000)  # endpoints in a list
    rates: tuple[float, ...] = (0.0, CHANGES_PER_DAY / DAY_S, 1.0, 10.0)  # changes a second
    seconds: float = 24.0  # at each rate
    rounds: int = 2  # of all rates
    losses: tuple[int, ...] = (74, 148, 295, 590, 1180)  # entries lost at once
    repeats: int = 5  # of each loss and of each complete list
    seed: int = 7


@dataclass(frozen=True, slots=True)
class ChangeRate:
    """A size of list and a rate, in changes a second, at which it is measured."""

    list_size: int
    per_s: float


@dataclass(slots=True)
class Cell:
    """What was measured at a change rate; lists have an item for each round unless they say otherwise."""

    cores: list[float] = field(default_factory=list)  # in use
    run_queue: list[float] = field(default_factory=list)  # seconds a second of waiting for a core
    bytes_per_s: list[float] = field(default_factory=list)
    in_force_us: list[float] = field(default_factory=list)  # an item for each change
    load_average: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class UsageSnapshot:
    """What a proxy has used, and its list server has exchanged, up to a moment."""

    loop_s: float
    cpu_s: float
    run_queue_s: float
    bytes_exchanged: int

    @staticmethod
    def of(node: FollowingNode) -> UsageSnapshot:
        """Read the usage at this moment."""
        return UsageSnapshot(
            asyncio.get_running_loop().time(),
            cpu_seconds(node.proxy.pid),
            run_queue_seconds(node.proxy.pid),
            node.bytes_exchanged,
        )


@dataclass(slots=True)
class ChangeCost:
    """What changes that come at once cost a proxy, over several repetitions."""

    cpu_ms: list[float] = field(default_factory=list)  # of each repetition: processor time less idle use
    bytes_exchanged: list[int] = field(default_factory=list)  # in each repetition
    in_force_ms: list[float] = field(default_factory=list)  # of each change
    resident_mib: float = 0.0  # at the end

    def record(self) -> dict[str, float]:
        """Return the costs under the names of the result file."""
        return {
            "cpu_ms": statistics.mean(self.cpu_ms),
            "cpu_error_ms": standard_error(self.cpu_ms),
            "bytes": statistics.mean(self.bytes_exchanged),
            "in_force_ms": statistics.median(self.in_force_ms),
            "in_force_max_ms": max(self.in_force_ms),
            "mb": self.resident_mib,
        }


class FollowingNode:
    """A list server of this process and the proxy that follows it."""

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.server = ListServer(Membership(make_entries([UNUSED_ADDRESS] * size, seed)))
        self.server.on_poll = self._on_poll
        self.churn = Churn(self.server.membership, seed)
        self.in_force_us: list[float] = []  # an item for each change since it was last cleared
        self.idle_cores = 0.0  # that the proxy uses without changes, once that is measured
        self.proxy: ProxyProcess
        self._pending_since: dict[int, float] = {}  # by revision that is not in force: when it was written
        self._all_in_force = asyncio.Event()

    async def start(self, folder: Path, seed: int) -> None:
        """Start the list server and the proxy."""
        address = await self.server.listen()
        membership = self.server.membership
        name = f"n{self.size}"
        configuration = proxy_configuration(name, address, membership.complete_list(), seed=seed)
        self.proxy = await ProxyProcess.start(folder, name, configuration)

    async def stop(self) -> None:
        """End the proxy, if it was started, and the list server."""
        if hasattr(self, "proxy"):
            await self.proxy.stop()
        self.server.close()

    @property
    def bytes_exchanged(self) -> int:
        """Bytes in and out of the list server since the start."""
        return self.server.bytes_in + self.server.bytes_out

    def change(self, entries: Sequence[EndpointEntry], *, compact: bool = False) -> None:
        """Put changed entries in force at the list server; see `ListServer.change`."""
        self._all_in_force.clear()
        self._pending_since[self.server.membership.revision + 1] = time.perf_counter()
        self.server.change(entries, compact=compact)

    async def wait_until_in_force(self) -> None:
        """Wait until the proxy has put all changes in force.

        Raises:
            TimeoutError: It has not after `IN_FORCE_TIMEOUT_S`.
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
        """Make so many single changes a second, evenly, for that long."""
        loop = asyncio.get_running_loop()
        started, count = loop.time(), round(per_s * seconds)
        for index in range(count):
            due = started + (index + 0.5) / per_s
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.change(self.churn.next_changes(1, int(time.time() * MILLISECONDS_PER_S)))
        await asyncio.sleep(max(0.0, started + seconds - loop.time()))


async def run_rounds(plan: Plan, nodes: Sequence[FollowingNode]) -> dict[ChangeRate, Cell]:
    """Run all rates in turn, all nodes at once, round by round."""
    cells: dict[ChangeRate, Cell] = defaultdict(Cell)
    for _ in range(plan.rounds):
        for rate in plan.rates:
            before = [UsageSnapshot.of(node) for node in nodes]
            for node in nodes:
                node.in_force_us.clear()
            await asyncio.gather(*(node.run_churn(rate, plan.seconds) for node in nodes))
            for node, snapshot in zip(nodes, before, strict=True):
                _add_round(cells[ChangeRate(node.size, rate)], node, snapshot)
    return cells


def _add_round(cell: Cell, node: FollowingNode, before: UsageSnapshot) -> None:
    after = UsageSnapshot.of(node)
    elapsed_s = after.loop_s - before.loop_s
    cell.cores.append((after.cpu_s - before.cpu_s) / elapsed_s)
    cell.run_queue.append((after.run_queue_s - before.run_queue_s) / elapsed_s)
    cell.bytes_per_s.append((after.bytes_exchanged - before.bytes_exchanged) / elapsed_s)
    cell.in_force_us += node.in_force_us
    cell.load_average.append(os.getloadavg()[0])


async def measure_change(
    node: FollowingNode,
    next_entries: Callable[[], Sequence[EndpointEntry]],
    repeats: int,
    *,
    restore: bool = False,
    compact: bool = False,
) -> ChangeCost:
    """Measure changes that come at once.

    Args:
        node: The node that follows them.
        next_entries: Returns the entries that change in the next repetition.
        repeats: Repetitions.
        restore: Whether the entries are ready again after each repetition.
        compact: Whether the node gets each change as a complete list.
    """
    cost = ChangeCost()
    for _ in range(repeats):
        entries = next_entries()
        await _measure_one_change(node, entries, cost, compact=compact)
        if restore:
            node.change([entry | {"state": READY} for entry in entries])
            await node.wait_until_in_force()
            await asyncio.sleep(SETTLE_S)
    cost.resident_mib = resident_mib(node.proxy.pid)
    return cost


async def _measure_one_change(
    node: FollowingNode, entries: Sequence[EndpointEntry], cost: ChangeCost, *, compact: bool
) -> None:
    node.in_force_us.clear()
    before = UsageSnapshot.of(node)
    node.change(entries, compact=compact)
    await node.wait_until_in_force()
    cost.bytes_exchanged.append(node.bytes_exchanged - before.bytes_exchanged)
    await asyncio.sleep(SETTLE_S)
    after = UsageSnapshot.of(node)
    idle_s = node.idle_cores * (after.loop_s - before.loop_s)
    cost.cpu_ms.append((after.cpu_s - before.cpu_s - idle_s) * MILLISECONDS_PER_S)
    cost.in_force_ms += [in_force_us / MICROSECONDS_PER_MS for in_force_us in node.in_force_us]
