"""A seeded discrete-event simulation of a service: nodes with real policies, backends and clients."""

from __future__ import annotations

from random import Random

from benchmarks.models.backend_replacement import BackendReplacement
from benchmarks.models.event_queue import EventQueue
from benchmarks.models.fleet_backends import SimulatedBackends
from benchmarks.models.fleet_clients import SimulatedClients
from benchmarks.models.fleet_metrics import RunMetrics, run_metrics
from benchmarks.models.fleet_nodes import SimulatedNodes
from benchmarks.models.fleet_scenario import AVERAGE_WORK_MS, Scenario
from benchmarks.models.simulation_context import SimulationContext


class FleetSimulation:
    """One service: its nodes, backends and clients, on one event queue."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.queue = EventQueue()
        self.context = SimulationContext(scenario, self.queue, Random(seed))
        self.backends = SimulatedBackends(self.context)
        self.capacity = self.backends.total_core_speed() / AVERAGE_WORK_MS  # requests per millisecond
        self.nodes = SimulatedNodes(self.context, self.backends)
        self.clients = SimulatedClients(self.context, self.nodes, self.capacity * scenario.load)
        self.replacement = BackendReplacement(self.context, self.backends, self.nodes)
        self.nodes.schedule_initial_lists()
        self.queue.schedule(0.0, self.clients.create_client)
        self.queue.schedule(scenario.start_ms, self.replacement.begin)

    def run(self) -> RunMetrics:
        """Run the scenario to its end."""
        end_ms = self.scenario.seconds * 1000.0
        self.queue.run_until(end_ms)
        return run_metrics(
            self.replacement.warming_backends, self.clients.all, self.nodes.counted_attempts, end_ms
        )


def simulate(scenario: Scenario, seed: int) -> RunMetrics:
    """Run a scenario in model time; a seed determines the metrics."""
    return FleetSimulation(scenario, seed).run()
