"""One tier of a simulated chain: its clients, its backends, and their requests to the next lower tier."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from benchmarks.models.chain_scenario import NO_FAULT, Fault
from benchmarks.models.event_queue import EventQueue
from benchmarks.models.fleet_backends import SimulatedBackends
from benchmarks.models.fleet_clients import MIN_WORK_MS, SimulatedClients
from benchmarks.models.fleet_entities import (
    AttemptEnd,
    FinalOutcome,
    SimulatedAttempt,
    SimulatedBackend,
    SimulatedClient,
    SimulatedRequest,
)
from benchmarks.models.fleet_nodes import SimulatedNodes
from benchmarks.models.fleet_scenario import TRAFFIC_MIX, Scenario
from benchmarks.models.simulation_context import SimulationContext
from loadbalancer.events import AttemptResult, LoadReport

MEAN_OWN_WORK_MS = 30.0  # of a request at a tier, on a standard core


class TierClients(SimulatedClients):
    """A tier's clients: those that arrive at the top tier, and the backends of the tier above."""

    def __init__(
        self, context: SimulationContext, nodes: SimulatedNodes, arrival_rate: float, failing_fraction: float
    ) -> None:
        """Create an empty population.

        Args:
            context: The tier's shared state.
            nodes: The tier's nodes.
            arrival_rate: Clients per millisecond, at the top tier.
            failing_fraction: Fraction of the clients whose attempts at the faulty tier all fail.
        """
        super().__init__(context, nodes, arrival_rate)
        self.counted_requests = 0
        self.shed_requests = 0  # counted requests that a node finishes without an attempt
        self._failing_fraction = failing_fraction
        self._end_ms = context.scenario.seconds * 1000.0

    def create_client(self) -> None:
        """Create a client of the top tier, and schedule the next one until the scenario ends."""
        random, now_ms = self.context.random, self.context.queue.now_ms
        if now_ms >= self._end_ms:
            return
        names = [service_class.name for service_class in self.context.scenario.classes]
        name = random.choices(names, [TRAFFIC_MIX[name] for name in names])[0]
        client = SimulatedClient(name, now_ms, self._draw_own_work())
        client.counted = now_ms >= self.context.scenario.start_ms
        client.always_fails = random.random() < self._failing_fraction
        self.all.append(client)
        self.start_attempt(client)
        self.context.queue.schedule(random.expovariate(self.arrival_rate), self.create_client)

    def _draw_own_work(self) -> float:
        """Draw the work of one request at this tier itself, in milliseconds of a standard core."""
        return max(MIN_WORK_MS, self.context.random.expovariate(1.0 / MEAN_OWN_WORK_MS))

    def submit(self, client: SimulatedClient, deadline_ms: float) -> None:
        """Send the request of a client of the top tier, which does not retry."""
        self._submit(client, deadline_ms, lambda _: None)

    def submit_for_caller(
        self, caller: SimulatedAttempt, on_completion: Callable[[FinalOutcome], None]
    ) -> None:
        """Send a request for an attempt of the tier above, with that attempt's deadline.

        Args:
            caller: The attempt of the tier above that needs the request.
            on_completion: Called with the outcome of the final response.
        """
        client = SimulatedClient(
            caller.client.service_class, self.context.queue.now_ms, self._draw_own_work()
        )
        client.counted = caller.client.counted
        client.always_fails = caller.client.always_fails
        self._submit(client, caller.deadline_ms, on_completion)

    def _submit(
        self, client: SimulatedClient, deadline_ms: float, on_completion: Callable[[FinalOutcome], None]
    ) -> None:
        def finish(request: SimulatedRequest, outcome: FinalOutcome) -> None:
            client.record_outcome(outcome, self.context.queue.now_ms)
            self.shed_requests += client.counted and not request.attempts
            on_completion(outcome)

        self.counted_requests += client.counted
        self.nodes.submit(client, deadline_ms, finish)


class TierBackends(SimulatedBackends):
    """A tier's backends: own work, then one request to the next lower tier; they send no load reports."""

    def __init__(self, context: SimulationContext, lower_tier: TierClients | None, fault: Fault) -> None:
        """Create the backends.

        Args:
            context: The tier's shared state.
            lower_tier: The clients of the next lower tier, which send the backends' requests; None at the
                bottom.
            fault: The tier's fault.
        """
        super().__init__(context)
        self.late_attempts = 0  # attempts whose own work ends after their deadline
        self._lower_tier = lower_tier
        self._fault = fault

    def load_report(self, _backend: SimulatedBackend) -> LoadReport | None:
        """Return None: attempts that wait for lower tiers would count as load."""
        return None

    def receive(self, attempt: SimulatedAttempt) -> None:
        """Accept an attempt as `SimulatedBackends` does, unless the fault rejects it."""
        if self._fault.affects(attempt.client, AttemptResult.REJECTED, self.context.random.random):
            self.end_after_delay(attempt, AttemptEnd(AttemptResult.REJECTED, done=False))
        else:
            super().receive(attempt)

    def respond(self, attempt: SimulatedAttempt) -> None:
        """Respond with an error (fault), with success (bottom tier), or send a request to the lower tier."""
        now_ms = self.context.queue.now_ms
        self.late_attempts += attempt.client.counted and now_ms > attempt.deadline_ms
        if self._fault.affects(attempt.client, AttemptResult.ERROR, self.context.random.random):
            self._respond_with(attempt, FinalOutcome.FAILED)
        elif self._lower_tier is None:
            self._respond_with(attempt, FinalOutcome.SERVED)
        elif now_ms < attempt.deadline_ms:
            self._lower_tier.submit_for_caller(attempt, lambda outcome: self._respond_with(attempt, outcome))

    def _respond_with(self, attempt: SimulatedAttempt, outcome: FinalOutcome) -> None:
        succeeded = outcome is FinalOutcome.SERVED
        result = AttemptResult.OK if succeeded else AttemptResult.ERROR
        self.end_after_delay(attempt, AttemptEnd(result, done=succeeded))


class TierSimulation:
    """One tier's nodes, backends and clients, on the event queue of the chain."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        queue: EventQueue,
        *,
        lower_tier: TierSimulation | None,
        fault: Fault,
    ) -> None:
        """Prepare a tier's run.

        Args:
            scenario: The tier's scenario, with its number.
            seed: The seed of all random draws of this tier.
            queue: The chain's event queue.
            lower_tier: The next lower tier, which receives the backends' requests; None at the bottom.
            fault: The chain's fault, which may affect another tier.
        """
        self.context = SimulationContext(scenario, queue, Random(seed))
        own_fault = fault if fault.tier == scenario.tier else NO_FAULT
        self.backends = TierBackends(self.context, lower_tier.clients if lower_tier else None, own_fault)
        self.nodes = SimulatedNodes(self.context, self.backends)
        arrival_rate = scenario.load * self.backends.total_core_speed() / MEAN_OWN_WORK_MS
        failing_fraction = fault.fraction if fault.per_client else 0.0
        self.clients: TierClients = TierClients(self.context, self.nodes, arrival_rate, failing_fraction)
        self.nodes.schedule_initial_lists()
        if scenario.tier == 0:
            queue.schedule(0.0, self.clients.create_client)
