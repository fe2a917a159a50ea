"""One run of hollow nodes against a list server: what steady changes, a zone's loss and a restart cost."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from benchmarks.hollow.change_deliveries import ChangeDeliveries
from benchmarks.hollow.messages import (
    Acknowledgement,
    CountersRequest,
    ExpectChange,
    NodeCounters,
    NodesStarted,
    StartNodes,
    WatchedList,
)
from benchmarks.hollow.servers_under_test import ServerKind, ServerUnderTest, server_under_test
from benchmarks.hollow.service_lists import ListChanges, ServiceLists, service_sizes
from benchmarks.support.membership import EndpointListMessage
from benchmarks.support.processes import ChildProcess, ProcessUsage

DAY_S = 86_400.0
CHANGES_PER_DAY = 7_200
SETTLE_S = 1.0  # in which whatever is delivered twice has time to come
DELIVERY_TIMEOUT_S = (
    30.0  # after which a change that has not reached all watches counts as missed by the rest
)
DELIVERY_POLL_S = 0.2
DOWNTIME_S = 1.0  # between a server's end and its start


@dataclass(frozen=True, slots=True)
class Plan:
    """What a run does."""

    server: ServerKind = ServerKind.PLAIN
    lists: int = 1
    servers: int = 1000  # entries of all lists together
    largest: int = 1000  # entries of the largest list
    processes: int = 4  # in which the hollow nodes are
    calm_s: float = 24.0  # seconds at 7,200 changes a day
    rate_s: float = 15.0  # seconds at `rate`
    rate: float = 1.0  # changes a second
    bursts: int = 2  # losses of a zone
    restarts: int = 2
    with_policy: bool = False  # whether each hollow node has its decisions
    seed: int = 7


@dataclass(slots=True)
class Phase:
    """What a phase of the run cost, and how its changes were delivered."""

    seconds: float
    cpu_s: dict[str, float]  # processor time by role
    hollow_cpu_s: float  # processor time of the hollow nodes
    counters: list[NodeCounters]  # of each process of hollow nodes
    changes: int
    deliveries: ChangeDeliveries

    def total(self, counter: Callable[[NodeCounters], int]) -> int:
        """Return a counter's sum over all processes of hollow nodes."""
        return sum(map(counter, self.counters))


@dataclass(frozen=True, slots=True)
class BurstPhases:
    """The loss of a zone and its return."""

    loss: Phase
    recovery: Phase


@dataclass(frozen=True, slots=True)
class RestartPhase:
    """A restart of the server that the nodes watch; delivery times count from its start."""

    phase: Phase
    serving_after_s: float  # from its start until it served again


class HollowRun:
    """A list server with hollow nodes on it."""

    def __init__(self, plan: Plan, watches: int, folder: Path) -> None:
        self.plan = plan
        self.services = ServiceLists(service_sizes(plan.lists, plan.servers, plan.largest), plan.seed)
        self.watches = self.services.sample_watches(watches)  # the list's number for each node
        self.server: ServerUnderTest = server_under_test(plan.server, folder)
        self.node_processes: list[ChildProcess] = []
        self._written_at_s: dict[int, float] = {}  # by the change's serial number

    async def start(self) -> dict[str, float]:
        """Start all processes and watches; return each role's memory before the watches, in MiB."""
        await self.server.start(self.services)
        before = {role: process.usage() for role, process in self.server.roles.items()}
        for index in range(self.plan.processes):
            process = await ChildProcess.start("benchmarks.hollow.nodes")
            self.node_processes.append(process)
            await process.send(self._start_message(index))
        for process in self.node_processes:
            await process.receive(NodesStarted)
        await asyncio.sleep(SETTLE_S)
        await self._read_counters(clear=True)
        return {f"{role}_rss_before_mib": usage.resident_mib for role, usage in before.items()}

    def _start_message(self, index: int) -> StartNodes:
        watches = self.watches[index :: self.plan.processes]
        lists = {
            number: WatchedList(
                self.server.ports[number],
                EndpointListMessage(rev=1, all=True, targets=list(self.services.lists[number].values())),
            )
            for number in set(watches)
        }
        return StartNodes(lists, watches, self.plan.with_policy, self.plan.seed + index)

    def memory_mib(self) -> dict[str, float]:
        """Return the resident memory at present by role, in MiB, under the names of the result file."""
        memory = {
            f"{role}_rss_mib": process.usage().resident_mib for role, process in self.server.roles.items()
        }
        nodes_mib = sum(process.usage().resident_mib for process in self.node_processes)
        return memory | {"hollow_rss_mib": nodes_mib}

    async def close(self) -> None:
        """End all processes."""
        for process in self.node_processes:
            await process.kill()
        await self.server.close()

    async def run_steady(self, seconds: float, interval_s: float) -> Phase:
        """Restart one server at each interval, at least one.

        Args:
            seconds: The phase's length; it takes longer only while a watch lacks a change.
            interval_s: Seconds between two restarts.
        """
        interval_s = min(interval_s, seconds)
        watched_lists = sorted(set(self.watches))

        async def change() -> None:
            started = time.monotonic()
            for index in range(int(seconds / interval_s)):
                await asyncio.sleep(started + (index + 0.5) * interval_s - time.monotonic())
                await self.write(self.services.restart_one(watched_lists))
            await asyncio.sleep(started + seconds - time.monotonic())
            # Guard: counters are cleared at the end, so a change that a slow disk delayed counted as missed.
            if not await self._all_delivered():
                await self._wait_until_delivered()

        return await self._measure_phase(change)

    async def run_burst(self, zone_number: int) -> BurstPhases:
        """Take a zone's servers from the lists at once, and then put them back."""
        zone = f"z{zone_number:02d}"
        lost: ListChanges = {}

        async def lose() -> None:
            lost.update(self.services.lose_zone(zone))
            await self.write(lost, zone)
            await self._wait_until_delivered()

        async def restore() -> None:
            await self.write(self.services.restore(lost))
            await self._wait_until_delivered()

        return BurstPhases(await self._measure_phase(lose), await self._measure_phase(restore))

    async def run_restart(self) -> RestartPhase:
        """End the server that the nodes watch, write a change while it is down, and start it."""
        serving_after_s = 0.0

        async def restart() -> None:
            nonlocal serving_after_s
            await self.server.stop_last()
            await asyncio.sleep(DOWNTIME_S)
            await self.write(self.services.restart_one_of_each(sorted(set(self.watches))))
            started_at_s = time.monotonic()
            self._written_at_s[self.services.serial] = started_at_s
            serving_after_s = await self.server.start_last(self.services) - started_at_s
            await self._wait_until_delivered()

        phase = await self._measure_phase(restart)
        return RestartPhase(phase, serving_after_s)

    async def write(self, changes: ListChanges, lost_zone: str = "") -> None:
        """Have the hollow nodes expect a change, then write it at the source."""
        expected = ExpectChange(self.services.serial, list(changes), lost_zone)
        for process in self.node_processes:
            await process.request(expected, Acknowledgement)
        self._written_at_s[self.services.serial] = await self.server.change(changes)

    async def _wait_until_delivered(self) -> None:
        deadline = time.monotonic() + DELIVERY_TIMEOUT_S
        while time.monotonic() < deadline:
            await asyncio.sleep(DELIVERY_POLL_S)
            if await self._all_delivered():
                break
        await asyncio.sleep(SETTLE_S)

    async def _all_delivered(self) -> bool:
        """Return whether each watch has had every change of this phase that is due to it."""
        return all(
            delivery.delivered >= delivery.due
            for counters in await self._read_counters(clear=False)
            for delivery in counters.changes.values()
        )

    async def _read_counters(self, *, clear: bool) -> list[NodeCounters]:
        request = CountersRequest(clear)
        return [await process.request(request, NodeCounters) for process in self.node_processes]

    async def _measure_phase(self, action: Callable[[], Awaitable[None]]) -> Phase:
        before, nodes_cpu_s, started = self._usage_by_role(), self._nodes_cpu_s(), time.monotonic()
        await action()
        seconds, after = time.monotonic() - started, self._usage_by_role()
        cpu_s = {
            role: usage.cpu_s - (before[role].cpu_s if before[role].pid == usage.pid else 0.0)
            for role, usage in after.items()
        }
        nodes_cpu_s = self._nodes_cpu_s() - nodes_cpu_s
        counters = await self._read_counters(clear=True)
        serials = sorted({serial for process_counters in counters for serial in process_counters.changes})
        deliveries = ChangeDeliveries()
        for serial in serials:
            parts = [process_counters.changes[serial] for process_counters in counters]
            deliveries.add_change(self._written_at_s[serial], parts)
        return Phase(seconds, cpu_s, nodes_cpu_s, counters, len(serials), deliveries)

    def _usage_by_role(self) -> dict[str, ProcessUsage]:
        return {role: process.usage() for role, process in self.server.roles.items()}

    def _nodes_cpu_s(self) -> float:
        return sum(process.usage().cpu_s for process in self.node_processes)
