"""Measurement of proxies that watch a changing endpoint list and receive no requests."""

from __future__ import annotations

import asyncio
import os
import statistics
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from benchmarks.control.following_node import MILLISECONDS_PER_S, FollowingNode, UsageSnapshot
from benchmarks.control.plan import ChangeRate, Plan
from benchmarks.support.membership import READY, EndpointEntry
from benchmarks.support.processes import resident_mib
from benchmarks.support.records import Record
from benchmarks.support.regression import standard_error

SETTLE_S = 0.3  # time after a change is in force that is still measured as part of its cost
MICROSECONDS_PER_MS = 1e3


@dataclass(slots=True)
class RateMeasurements:
    """The measurements at one rate of change; lists have one item for each round unless noted otherwise."""

    cores: list[float] = field(default_factory=list)  # cores in use
    run_queue: list[float] = field(default_factory=list)  # seconds of waiting for a core, per second
    bytes_per_s: list[float] = field(default_factory=list)
    in_force_us: list[float] = field(default_factory=list)  # one item for each change
    load_average: list[float] = field(default_factory=list)


class ChangeCostRecord(Record, frozen=True, kw_only=True):
    """The cost of one change of many entries: statistics over several repetitions."""

    cpu_ms: float
    cpu_error_ms: float
    bytes_exchanged: float = msgspec.field(name="bytes")
    in_force_ms: float
    in_force_max_ms: float
    resident_mib: float = msgspec.field(name="mb")


@dataclass(slots=True)
class ChangeCost:
    """The measurements of one change of many entries, over several repetitions."""

    cpu_ms: list[float] = field(default_factory=list)  # of each repetition: processor time less the idle use
    bytes_exchanged: list[int] = field(default_factory=list)  # in each repetition
    in_force_ms: list[float] = field(default_factory=list)  # of each change
    resident_mib: float = 0.0  # after the last repetition

    def record(self) -> ChangeCostRecord:
        """Return means, the standard error, and the median and maximum times until changes are in force."""
        return ChangeCostRecord(
            cpu_ms=statistics.mean(self.cpu_ms),
            cpu_error_ms=standard_error(self.cpu_ms),
            bytes_exchanged=statistics.mean(self.bytes_exchanged),
            in_force_ms=statistics.median(self.in_force_ms),
            in_force_max_ms=max(self.in_force_ms),
            resident_mib=self.resident_mib,
        )


async def run_rounds(plan: Plan, nodes: Sequence[FollowingNode]) -> dict[ChangeRate, RateMeasurements]:
    """Run rounds of all rates in sequence, with all nodes at the same time."""
    measurements: dict[ChangeRate, RateMeasurements] = defaultdict(RateMeasurements)
    for _ in range(plan.rounds):
        for rate in plan.rates:
            before = [UsageSnapshot.of(node) for node in nodes]
            for node in nodes:
                node.in_force_us.clear()
            await asyncio.gather(*(node.run_churn(rate, plan.seconds) for node in nodes))
            for node, snapshot in zip(nodes, before, strict=True):
                _add_round(measurements[ChangeRate(node.size, rate)], node, snapshot)
    return measurements


def _add_round(measured: RateMeasurements, node: FollowingNode, before: UsageSnapshot) -> None:
    after = UsageSnapshot.of(node)
    elapsed_s = after.loop_s - before.loop_s
    measured.cores.append((after.cpu_s - before.cpu_s) / elapsed_s)
    measured.run_queue.append((after.run_queue_s - before.run_queue_s) / elapsed_s)
    measured.bytes_per_s.append((after.bytes_exchanged - before.bytes_exchanged) / elapsed_s)
    measured.in_force_us += node.in_force_us
    measured.load_average.append(os.getloadavg()[0])


async def measure_change(
    node: FollowingNode,
    next_entries: Callable[[], Sequence[EndpointEntry]],
    repeats: int,
    *,
    restore: bool = False,
    compact: bool = False,
) -> ChangeCost:
    """Measure changes that each contain many entries.

    Args:
        node: The node that receives the changes.
        next_entries: Returns the changed entries of the next repetition.
        repeats: The number of repetitions.
        restore: Whether a second change sets the entries to ready after each repetition, unmeasured.
        compact: Whether the node receives each change as a complete list.
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
