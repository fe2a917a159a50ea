"""The changes of a run: their writing at the source, and their delivery to the hollow nodes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.hollow.change_deliveries import ChangeDeliveries
from benchmarks.hollow.messages import ExpectChange, NodeCounters
from benchmarks.hollow.node_processes import NodeProcesses
from benchmarks.hollow.server_under_test import ServerUnderTest
from benchmarks.hollow.service_lists import ListChanges

DELIVERY_POLL_S = 0.2


@dataclass(frozen=True, slots=True)
class RunTiming:
    """The waits of a run, in seconds."""

    settle_s: float = 1.0  # for a repeated delivery to arrive
    downtime_s: float = 1.0  # between a server's end and its start
    # After this, a change counts as missed by the watches that it has not reached.
    delivery_timeout_s: float = 30.0


DEFAULT_TIMING = RunTiming()


class WrittenChanges:
    """Writes changes, and reads from the nodes' counters whether and when they are delivered."""

    def __init__(self, server: ServerUnderTest, nodes: NodeProcesses, timing: RunTiming) -> None:
        self._server = server
        self._nodes = nodes
        self._timing = timing
        self._written_at_s: dict[int, float] = {}  # by the change's serial number

    async def write(self, serial: int, changes: ListChanges, lost_zone: str) -> None:
        """Announce a change to the hollow nodes, then write it at the source."""
        await self._nodes.expect(ExpectChange(serial, list(changes), lost_zone))
        self._written_at_s[serial] = await self._server.change(changes)

    def count_from(self, serial: int, at_s: float) -> None:
        """Count the delivery times of a change from another time than its writing."""
        self._written_at_s[serial] = at_s

    async def wait_until_delivered(self) -> None:
        """Wait until all changes are delivered or the delivery times out, and for repeated deliveries."""
        deadline = time.monotonic() + self._timing.delivery_timeout_s
        while time.monotonic() < deadline:
            await asyncio.sleep(DELIVERY_POLL_S)
            if await self.all_delivered():
                break
        await asyncio.sleep(self._timing.settle_s)

    async def all_delivered(self) -> bool:
        """Return whether every change of this phase has reached all watches that it concerns."""
        return all(
            delivery.delivered >= delivery.expected
            for counters in await self._nodes.read_counters(clear=False)
            for delivery in counters.changes.values()
        )

    def deliveries(self, serials: Sequence[int], counters: Sequence[NodeCounters]) -> ChangeDeliveries:
        """Return the deliveries of changes, from the counters of each process of hollow nodes."""
        deliveries = ChangeDeliveries()
        for serial in serials:
            parts = [process_counters.changes[serial] for process_counters in counters]
            deliveries.add_change(self._written_at_s[serial], parts)
        return deliveries
