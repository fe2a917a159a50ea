"""The nodes of a simulated service: real policies whose actions are executed in model time."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable

from benchmarks.models.fleet_backends import SimulatedBackends
from benchmarks.models.fleet_entities import (
    AttemptEnd,
    FinalOutcome,
    SimulatedAttempt,
    SimulatedClient,
    SimulatedRequest,
)
from benchmarks.models.fleet_scenario import NETWORK_DELAY_MS
from benchmarks.models.simulation_context import SimulationContext
from loadbalancer.actions import Cancel, Fail, Reject, Send, StartTimer
from loadbalancer.events import (
    AttemptOutcome,
    AttemptResult,
    Event,
    IncomingRequest,
    MembershipUpdate,
    TimerFired,
    UpdateKind,
)
from loadbalancer.policy.policy import LoadBalancingPolicy

INITIAL_LIST_DELAY_MS = 200.0  # the longest delay of a node's first list


class SimulatedNode:
    """One node: passes events to its policy, and schedules the policy's actions on the event queue."""

    def __init__(
        self,
        number: int,
        context: SimulationContext,
        backends: SimulatedBackends,
        requests: dict[str, SimulatedRequest],
    ) -> None:
        """Create a node; its policy's seed is drawn from the simulation's random source.

        Args:
            number: The node's index.
            context: The simulation's shared state.
            backends: The backends that attempts are sent to.
            requests: The requests of all nodes, by id.
        """
        self.number = number
        self.notified = False
        self.counted_attempts = 0
        self._context = context
        self._backends = backends
        self._requests = requests
        self._policy = LoadBalancingPolicy(context.scenario.settings(), context.random.getrandbits(32), 0.0)

    def receive(self, request: SimulatedRequest) -> None:
        """Pass a client's request to the policy."""
        for observer in self._context.observers:
            observer.on_request(request)
        service_class = request.client.service_class
        self.handle_event(IncomingRequest(request.request_id, service_class, request.deadline_ms))

    def handle_event(self, event: Event) -> None:
        """Pass an event to the policy and execute the actions that it returns."""
        queue = self._context.queue
        for action in self._policy.handle(queue.now_ms, event):
            match action:
                case Send():
                    self._send_attempt(action)
                case Reject(request_id=request_id):
                    self._requests[request_id].finish(FinalOutcome.REJECTED)
                case Fail(request_id=request_id):
                    self._requests[request_id].finish(FinalOutcome.FAILED)
                case Cancel():
                    attempt = self._requests[action.request_id].attempts[action.attempt]
                    cancelled = AttemptEnd(AttemptResult.CANCELLED, done=True)
                    queue.schedule(0.0, self.end_attempt, attempt, cancelled)
                case StartTimer():
                    queue.schedule(action.delay_ms, self.handle_event, TimerFired(action.name))

    def _send_attempt(self, action: Send) -> None:
        request, queue = self._requests[action.request_id], self._context.queue
        backend = self._backends.by_address[action.endpoint]
        number = len(request.attempts)
        attempt = SimulatedAttempt(self, request, number, backend, queue.now_ms, action.timeout_ms)
        request.attempts.append(attempt)
        self.counted_attempts += request.client.counted
        queue.schedule(NETWORK_DELAY_MS, self._backends.receive, attempt)
        timeout = AttemptEnd(AttemptResult.TIMEOUT, done=False)
        queue.schedule(action.timeout_ms, self.end_attempt, attempt, timeout)
        for observer in self._context.observers:
            observer.on_attempt_sent(attempt)

    def end_attempt(self, attempt: SimulatedAttempt, end: AttemptEnd) -> None:
        """Pass an attempt's outcome to the policy, unless the attempt has already ended."""
        if not attempt.pending:
            return
        for observer in self._context.observers:
            observer.on_attempt_end(attempt, end)
        attempt.pending = False
        if end.result is AttemptResult.OK:
            attempt.request.finish(FinalOutcome.SERVED)
        outcome = AttemptOutcome(
            attempt.request.request_id,
            attempt.number,
            attempt.backend.address,
            end.result,
            self._context.queue.now_ms - attempt.sent_ms,
            end.done,
            end.load_report,
        )
        self.handle_event(outcome)


class SimulatedNodes:
    """All nodes of the service; each request goes to a random one, weighted by its share of the traffic."""

    def __init__(self, context: SimulationContext, backends: SimulatedBackends) -> None:
        self.requests: dict[str, SimulatedRequest] = {}  # by id, in the order of their arrival
        self._context = context
        self._backends = backends
        scenario, random = context.scenario, context.random
        self.nodes = [
            SimulatedNode(number, context, backends, self.requests) for number in range(scenario.nodes)
        ]
        traffic = (math.exp(random.gauss(0.0, scenario.traffic_sigma)) for _ in self.nodes)
        self._cumulative_traffic = list(itertools.accumulate(traffic))
        self._request_numbers = itertools.count()

    @property
    def counted_attempts(self) -> int:
        """Attempts of all nodes for counted clients."""
        return sum(node.counted_attempts for node in self.nodes)

    def schedule_initial_lists(self) -> None:
        """Schedule the delivery of each node's first endpoint list."""
        endpoints = tuple(backend.endpoint() for backend in self._backends.initial)
        initial_list = MembershipUpdate(UpdateKind.CACHED, endpoints)
        for node in self.nodes:
            delay_ms = self._context.random.uniform(0.0, INITIAL_LIST_DELAY_MS)
            self._context.queue.schedule(delay_ms, node.handle_event, initial_list)

    def submit(
        self,
        client: SimulatedClient,
        deadline_ms: float,
        on_final_response: Callable[[SimulatedRequest, FinalOutcome], None],
    ) -> None:
        """Send a client's request to a node.

        Args:
            client: The client that sends the request.
            deadline_ms: The request's deadline, in model time.
            on_final_response: Called with the request and its outcome.
        """
        request_id = f"q{next(self._request_numbers)}"
        (node,) = self._context.random.choices(self.nodes, cum_weights=self._cumulative_traffic)
        request = SimulatedRequest(request_id, client, deadline_ms, on_final_response)
        self.requests[request_id] = request
        node.receive(request)

    def pending_attempts(self) -> list[SimulatedAttempt]:
        """Return the attempts of all nodes that have no outcome yet, in the order of their requests."""
        return [
            attempt for request in self.requests.values() for attempt in request.attempts if attempt.pending
        ]
