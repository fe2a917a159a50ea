"""Phases of a run of hollow nodes: resource usage, counters and deliveries of the changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.hollow.change_deliveries import ChangeDeliveries
from benchmarks.hollow.messages import NodeCounters


@dataclass(slots=True)
class Phase:
    """The resource usage of a phase, and the deliveries of its changes."""

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
    """The loss of a zone, and the recovery that restores its servers."""

    loss: Phase
    recovery: Phase


@dataclass(frozen=True, slots=True)
class RestartPhase:
    """A restart of the server that the nodes watch; delivery times are measured from the new start."""

    phase: Phase
    serving_after_s: float  # from the new start until the server serves
