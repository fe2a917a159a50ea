"""The changes of a run: writes at the source, and deliveries to the hollow nodes."""

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
    """The delays and timeouts of a run, in seconds."""

    settle_s: float = 1.0  # time in which repeated deliveries can still arrive
    downtime_s: float = 1.0  # from a server's kill to its new start
    # After this time, a change counts as missed by all watches without it.
    delivery_timeout_s: float = 30.0


DEFAULT_TIMING = RunTiming()


class WrittenChanges:
    """Writes changes at the source, and reads their deliveries from the nodes' counters."""

    def __init__(self, server: ServerUnderTest, nodes: NodeProcesses, timing: RunTiming) -> None:
        self._server = server
        self._nodes = nodes
        self._timing = timing
        self._written_at_s: dict[int, float] = {}  # by serial number

    async def write(self, serial: int, changes: ListChanges, lost_zone: str) -> None:
        """Announce a change to the hollow nodes, then write it at the source."""
        await self._nodes.expect(ExpectChange(serial, list(changes), lost_zone))
        self._written_at_s[serial] = await self._server.change(changes)

    def count_from(self, serial: int, at_s: float) -> None:
        """Measure the delivery times of a change from `at_s` instead of its write."""
        self._written_at_s[serial] = at_s

    async def wait_until_delivered(self) -> None:
        """Wait until all changes are delivered or the delivery times out, then for repeated deliveries."""
        deadline = time.monotonic() + self._timing.delivery_timeout_s
        while time.monotonic() < deadline:
            await asyncio.sleep(DELIVERY_POLL_S)
            if await self.all_delivered():
                break
        await asyncio.sleep(self._timing.settle_s)

    async def all_delivered(self) -> bool:
        """Return whether every change of this phase is delivered to all watches of its lists."""
        return all(
            delivery.delivered >= delivery.expected
            for counters in await self._nodes.read_counters(clear=False)
            for delivery in counters.changes.values()
        )

    def deliveries(self, serials: Sequence[int], counters: Sequence[NodeCounters]) -> ChangeDeliveries:
        """Return the deliveries of these changes, from the counters of all processes of hollow nodes."""
        deliveries = ChangeDeliveries()
        for serial in serials:
            parts = [process_counters.changes[serial] for process_counters in counters]
            deliveries.add_change(self._written_at_s[serial], parts)
        return deliveries
