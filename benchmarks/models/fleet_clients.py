"""The clients of a simulated service: their arrival, their requests and their retries."""

from __future__ import annotations

from benchmarks.models.fleet_entities import FinalOutcome, SimulatedClient, SimulatedRequest
from benchmarks.models.fleet_nodes import SimulatedNodes
from benchmarks.models.fleet_scenario import CLASSES_BY_NAME, MEAN_WORK_MS, TRAFFIC_MIX
from benchmarks.models.simulation_context import SimulationContext
from loadbalancer.settings import Idempotency

BURST_MS = 3000.0  # duration of the burst from `start_ms` on
MIN_WORK_MS = 1.0
MIN_REMAINING_MS = 1.0  # of a client's timeout; with less left it makes no further attempt
ATTEMPT_TIMEOUT_FRACTION = 0.53  # of a client's timeout: the limit for one of its attempts
CLIENT_REACTION_MS = 0.5  # before a client's next attempt, in addition to its retry delay


class SimulatedClients:
    """The clients of a service, which arrive in a Poisson process and retry requests that are not served."""

    def __init__(self, context: SimulationContext, nodes: SimulatedNodes, arrival_rate: float) -> None:
        """Create an empty population.

        Args:
            context: The simulation's shared state.
            nodes: The nodes that requests are sent to.
            arrival_rate: Clients per millisecond, outside a burst.
        """
        self.all: list[SimulatedClient] = []  # in the order of their arrival
        self.context = context
        self.nodes = nodes
        self.arrival_rate = arrival_rate

    def create_client(self) -> None:
        """Create a client, and schedule the next one."""
        scenario, random, now_ms = self.context.scenario, self.context.random, self.context.queue.now_ms
        rate = self.arrival_rate
        if scenario.start_ms <= now_ms < scenario.start_ms + BURST_MS:
            rate *= scenario.burst_factor
        service_class = random.choices(list(TRAFFIC_MIX), list(TRAFFIC_MIX.values()))[0]
        work_ms = max(MIN_WORK_MS, random.expovariate(1.0 / MEAN_WORK_MS[service_class]))
        client = SimulatedClient(service_class, now_ms, work_ms)
        client.counted = now_ms >= scenario.start_ms
        self.all.append(client)
        self.start_attempt(client)
        self.context.queue.schedule(random.expovariate(rate), self.create_client)

    def start_attempt(self, client: SimulatedClient) -> None:
        """Send a client's request, or retry it, if enough of the client's timeout remains."""
        client.attempts += 1
        now_ms = self.context.queue.now_ms
        timeout_ms = CLASSES_BY_NAME[client.service_class].client_timeout_ms
        remaining_ms = client.created_ms + timeout_ms - now_ms
        if remaining_ms > MIN_REMAINING_MS:
            attempt_timeout_ms = ATTEMPT_TIMEOUT_FRACTION * timeout_ms
            self.submit(client, now_ms + min(remaining_ms, attempt_timeout_ms))

    def submit(self, client: SimulatedClient, deadline_ms: float) -> None:
        """Send a client's request to a node."""
        self.nodes.submit(client, deadline_ms, self.finish_request)

    def finish_request(self, request: SimulatedRequest, outcome: FinalOutcome) -> None:
        """Handle a node's final response; schedule the client's next attempt if a retry is safe."""
        client, scenario = request.client, self.context.scenario
        client.record_outcome(outcome, self.context.queue.now_ms)
        if outcome is FinalOutcome.SERVED:
            return
        # A backend may have executed a failed request, so only an idempotent or keyed one is retried.
        idempotency = CLASSES_BY_NAME[client.service_class].idempotency
        retriable = outcome is FinalOutcome.REJECTED or idempotency is not Idempotency.NON_IDEMPOTENT
        if retriable and client.attempts < scenario.client_attempts:
            delay_ms = scenario.client_retry_delay_ms + CLIENT_REACTION_MS
            self.context.queue.schedule(delay_ms, self.start_attempt, client)
