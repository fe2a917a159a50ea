"""The state that all parts of one simulated service share."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from benchmarks.models.event_queue import EventQueue
from benchmarks.models.fleet_entities import (
    AttemptEnd,
    SimulatedAttempt,
    SimulatedBackend,
    SimulatedRequest,
)
from benchmarks.models.fleet_scenario import Scenario


class FleetObserver:
    """Receives what happens in a simulation; a subclass overrides the methods that it needs.

    An observer draws nothing from the simulation's random source.
    """

    def on_request(self, request: SimulatedRequest) -> None:
        """Observe a request as a node receives it."""

    def on_attempt_sent(self, attempt: SimulatedAttempt) -> None:
        """Observe an attempt as a node sends it."""

    def on_attempt_end(self, attempt: SimulatedAttempt, end: AttemptEnd) -> None:
        """Observe an attempt's end before the node's policy does; called once for each attempt."""

    def on_backends_stopped(self, backends: Sequence[SimulatedBackend]) -> None:
        """Observe backends that have just ended."""


@dataclass(frozen=True, slots=True)
class SimulationContext:
    """The scenario, the event queue, the one random source and the observers of a simulated service.

    All parts draw from the same random source, so the order of their draws determines a run's result.
    """

    scenario: Scenario
    queue: EventQueue
    random: Random
    observers: list[FleetObserver] = field(default_factory=list)
