"""The state shared by all parts of one simulated service."""

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
    """Receives the events of a simulation; a subclass overrides the methods that it needs.

    An observer must not draw from the simulation's random source: that would change the run's result.
    """

    def on_request(self, request: SimulatedRequest) -> None:
        """Handle the arrival of a request at a node."""

    def on_attempt_sent(self, attempt: SimulatedAttempt) -> None:
        """Handle the sending of an attempt by a node."""

    def on_attempt_end(self, attempt: SimulatedAttempt, end: AttemptEnd) -> None:
        """Handle the end of an attempt, before the node's policy; called once for each attempt."""

    def on_backends_stopped(self, backends: Sequence[SimulatedBackend]) -> None:
        """Handle the stop of backends."""


@dataclass(frozen=True, slots=True)
class SimulationContext:
    """The scenario, the event queue, the one random source and the observers of a simulated service.

    All parts draw from the same random source, so a run's result depends on the order of their draws.
    """

    scenario: Scenario
    queue: EventQueue
    random: Random
    observers: list[FleetObserver] = field(default_factory=list)
