"""A run of hollow nodes against a list server, which measures steady changes, zone losses and restarts."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from benchmarks.hollow.messages import StartNodes, WatchedList
from benchmarks.hollow.node_processes import NodeProcesses
from benchmarks.hollow.phases import BurstPhases, Phase, RestartPhase
from benchmarks.hollow.plan import Plan
from benchmarks.hollow.server_under_test import ServerUnderTest
from benchmarks.hollow.service_lists import ListChanges, ServiceLists, service_sizes
from benchmarks.hollow.written_changes import DEFAULT_TIMING, RunTiming, WrittenChanges
from benchmarks.support.membership import EndpointListMessage
from benchmarks.support.processes import ProcessUsage

HOLLOW_ROLE = "hollow"  # the role of the processes of hollow nodes


class HollowRun:
    """A list server and the hollow nodes that watch it."""

    def __init__(
        self,
        plan: Plan,
        watches: int,
        server: ServerUnderTest,
        nodes: NodeProcesses,
        timing: RunTiming = DEFAULT_TIMING,
    ) -> None:
        """Create a run; no process is started yet.

        Args:
            plan: The lists and phases.
            watches: The number of hollow nodes.
            server: The list server.
            nodes: The processes of hollow nodes.
            timing: The run's delays and timeouts.
        """
        self.plan = plan
        self.services = ServiceLists(service_sizes(plan.lists, plan.servers, plan.largest), plan.seed)
        self.watches = self.services.sample_watches(watches)  # the list number of each node
        self.server = server
        self._nodes = nodes
        self._timing = timing
        self._changes = WrittenChanges(server, nodes, timing)

    async def start(self) -> dict[str, float]:
        """Start all processes and watches; return each role's memory before the watches start, in MiB."""
        await self.server.start(self.services)
        before_mib = {role: process.usage().resident_mib for role, process in self.server.roles.items()}
        await self._nodes.start(self._start_message(index) for index in range(self.plan.processes))
        await asyncio.sleep(self._timing.settle_s)
        await self._nodes.read_counters(clear=True)
        return before_mib

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
        """Return the current resident memory in MiB, by role and for all hollow nodes together."""
        memory_mib = {role: process.usage().resident_mib for role, process in self.server.roles.items()}
        return memory_mib | {HOLLOW_ROLE: self._nodes.resident_mib()}

    async def close(self) -> None:
        """Kill all processes."""
        await self._nodes.close()
        await self.server.close()

    async def run_steady(self, seconds: float, interval_s: float) -> Phase:
        """Write the restart of one random server at each interval, at least once.

        Args:
            seconds: The phase's length; the phase lasts longer only while changes are not yet delivered.
            interval_s: Seconds between two changes.
        """
        interval_s = min(interval_s, seconds)
        watched_lists = sorted(set(self.watches))

        async def change() -> None:
            started = time.monotonic()
            for index in range(int(seconds / interval_s)):
                await asyncio.sleep(started + (index + 0.5) * interval_s - time.monotonic())
                await self._write(self.services.restart_one(watched_lists))
            await asyncio.sleep(started + seconds - time.monotonic())
            # The end of the phase resets the counters, so a change that a slow disk delays past the end would
            # count as missed. The phase therefore lasts until all changes are delivered or the delivery times
            # out.
            if not await self._changes.all_delivered():
                await self._changes.wait_until_delivered()

        return await self._measure_phase(change)

    async def run_burst(self, zone_number: int) -> BurstPhases:
        """Measure the removal of a zone's servers in one change, then their recovery."""
        zone = f"z{zone_number:02d}"
        lost: ListChanges = {}

        async def lose() -> None:
            lost.update(self.services.lose_zone(zone))
            await self._write(lost, zone)
            await self._changes.wait_until_delivered()

        async def restore() -> None:
            await self._write(self.services.restore(lost))
            await self._changes.wait_until_delivered()

        return BurstPhases(await self._measure_phase(lose), await self._measure_phase(restore))

    async def run_restart(self) -> RestartPhase:
        """Kill the server that the nodes watch, write a change while it is down, and measure its restart."""
        serving_after_s = 0.0

        async def restart() -> None:
            nonlocal serving_after_s
            await self.server.stop_watched_server()
            await asyncio.sleep(self._timing.downtime_s)
            await self._write(self.services.restart_one_of_each(sorted(set(self.watches))))
            started_at_s = time.monotonic()
            self._changes.count_from(self.services.serial, started_at_s)
            serving_after_s = await self.server.start_watched_server(self.services) - started_at_s
            await self._changes.wait_until_delivered()

        phase = await self._measure_phase(restart)
        return RestartPhase(phase, serving_after_s)

    async def _write(self, changes: ListChanges, lost_zone: str = "") -> None:
        await self._changes.write(self.services.serial, changes, lost_zone)

    async def _measure_phase(self, action: Callable[[], Awaitable[None]]) -> Phase:
        before, nodes_cpu_s, started = self._usage_by_role(), self._nodes.cpu_seconds(), time.monotonic()
        await action()
        seconds, after = time.monotonic() - started, self._usage_by_role()
        cpu_s = {
            role: usage.cpu_s - (before[role].cpu_s if before[role].pid == usage.pid else 0.0)
            for role, usage in after.items()
        }
        nodes_cpu_s = self._nodes.cpu_seconds() - nodes_cpu_s
        counters = await self._nodes.read_counters(clear=True)
        serials = sorted({serial for process_counters in counters for serial in process_counters.changes})
        deliveries = self._changes.deliveries(serials, counters)
        return Phase(seconds, cpu_s, nodes_cpu_s, counters, len(serials), deliveries)

    def _usage_by_role(self) -> dict[str, ProcessUsage]:
        return {role: process.usage() for role, process in self.server.roles.items()}
