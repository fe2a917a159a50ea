"""The child processes of a run in which the hollow nodes run, controlled as a group."""

from __future__ import annotations

from collections.abc import Iterable

from benchmarks.hollow.messages import (
    Acknowledgement,
    CountersRequest,
    ExpectChange,
    NodeCounters,
    NodesStarted,
    StartNodes,
)
from benchmarks.support.processes import ChildProcess

NODES_MODULE = "benchmarks.hollow.nodes"


class NodeProcesses:
    """All processes of hollow nodes; each method applies to all of them."""

    def __init__(self) -> None:
        self._processes: list[ChildProcess] = []

    async def start(self, messages: Iterable[StartNodes]) -> None:
        """Start a process for each message, and wait until all watches have received a response."""
        for message in messages:
            process = await ChildProcess.start(NODES_MODULE)
            self._processes.append(process)
            await process.send(message)
        for process in self._processes:
            await process.receive(NodesStarted)

    async def expect(self, change: ExpectChange) -> None:
        """Announce a change to all processes before it is written."""
        for process in self._processes:
            await process.request(change, Acknowledgement)

    async def read_counters(self, *, clear: bool) -> list[NodeCounters]:
        """Return the counters of each process; with `clear`, include delivery times and reset them."""
        request = CountersRequest(clear)
        return [await process.request(request, NodeCounters) for process in self._processes]

    def cpu_seconds(self) -> float:
        """Return the processor time of all processes since their start."""
        return sum(process.usage().cpu_s for process in self._processes)

    def resident_mib(self) -> float:
        """Return the current resident memory of all processes, in MiB."""
        return sum(process.usage().resident_mib for process in self._processes)

    async def close(self) -> None:
        """Kill all processes."""
        for process in self._processes:
            await process.kill()
