"""The scenario of a simulated chain: its depth, the fault of one tier, and the scenario of each tier."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.models.fleet_entities import SimulatedClient
from benchmarks.models.fleet_scenario import CLASSES, Scenario
from loadbalancer.events import AttemptResult

NODES_PER_TIER = 4
BACKENDS_PER_TIER = 4
LOAD = 0.3  # fraction of a tier's capacity, by clients' requests without retries
WARM_UP_MS = 3000.0  # at the beginning: clients that arrive in it are not counted


@dataclass(frozen=True)
class Fault:
    """One tier ends a fraction of its attempts with a given result, independently of its load."""

    tier: int = 0  # 0 is the top
    result: AttemptResult = AttemptResult.ERROR
    fraction: float = 0.0  # of attempts; of clients if `per_client`
    per_client: bool = False  # whether all attempts for a client fail or none; else drawn for each attempt

    def affects(self, client: SimulatedClient, result: AttemptResult, draw: Callable[[], float]) -> bool:
        """Return whether the fault ends an attempt for a client with this result."""
        if self.result is not result or not self.fraction:
            return False
        return client.always_fails if self.per_client else draw() < self.fraction


NO_FAULT = Fault()


@dataclass(frozen=True)
class ChainScenario:
    """One simulated chain."""

    depth: int  # tiers
    fault: Fault
    max_attempts: int  # of each node for a request
    seconds: float = 13.0  # in which clients arrive, including `WARM_UP_MS`
    all_classes: bool = False  # whether requests are of all classes; else all are idempotent

    def tier_scenario(self, number: int) -> Scenario:
        """Return the scenario of one tier; its backends send no load reports."""
        return Scenario(
            NODES_PER_TIER,
            BACKENDS_PER_TIER,
            load=LOAD,
            start_ms=WARM_UP_MS,
            seconds=self.seconds,
            without_slow_start=True,
            error_fraction=0.0,
            max_attempts=self.max_attempts,
            load_report_fields=(),
            classes=CLASSES if self.all_classes else CLASSES[:1],
            tier=number,
        )
