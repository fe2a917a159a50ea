"""A seeded discrete-event simulation of a service: nodes with real policies, backends, clients."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Sequence
from random import Random
from typing import TypeVarTuple

from benchmarks.models.event_queue import EventQueue
from benchmarks.models.fleet_entities import (
    AttemptEnd,
    BackendArrival,
    FinalOutcome,
    SimulatedAttempt,
    SimulatedBackend,
    SimulatedClient,
    SimulatedRequest,
)
from benchmarks.models.fleet_metrics import RunMetrics, run_metrics
from benchmarks.models.fleet_scenario import (
    ACTIVE_PER_CORE,
    AVERAGE_WORK_MS,
    BACKEND_CORES,
    CLASSES_BY_NAME,
    CORE_SPEEDS,
    LOAD_REPORT_MAX_AGE_MS,
    MEAN_WORK_MS,
    NETWORK_DELAY_MS,
    QUEUED_PER_CORE,
    TRAFFIC_MIX,
    Scenario,
)
from loadbalancer.actions import Cancel, Fail, Reject, Send, StartTimer
from loadbalancer.events import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointState,
    Event,
    IncomingRequest,
    LoadReport,
    MembershipUpdate,
    TimerFired,
    UpdateKind,
)
from loadbalancer.policy.policy import LoadBalancingPolicy

INITIAL_LIST_DELAY_MS = 200.0  # within which each node gets its first list
BURST_MS = 3000.0
MIN_WORK_MS = 1.0
MIN_REMAINING_MS = 1.0  # of its timeout, below which a client makes no further attempt
ATTEMPT_TIMEOUT_FRACTION = 0.53  # of a client's timeout, that one of its attempts may take
CLIENT_REACTION_MS = 0.5  # before a client's next attempt, besides its retry delay
DEGRADED_SLOWDOWN = 4.0
RESTART_MS = 1000.0

Arguments = TypeVarTuple("Arguments")


class FleetSimulation:
    """All nodes and backends of one service, and its clients."""

    def __init__(self, scenario: Scenario, seed: int, queue: EventQueue | None = None) -> None:
        """Prepare a run.

        Args:
            scenario: What is run.
            seed: Of all random draws.
            queue: The event queue, where it is shared with other services.
        """
        self.scenario = scenario
        self.random = Random(seed)
        self.queue = queue or EventQueue()
        self.initial_backends = [
            SimulatedBackend(f"s{index}", CORE_SPEEDS[index % len(CORE_SPEEDS)])
            for index in range(scenario.servers)
        ]
        self.backends = {backend.address: backend for backend in self.initial_backends}
        self.capacity = self.total_core_speed() / AVERAGE_WORK_MS  # requests a millisecond
        self.nodes = [
            LoadBalancingPolicy(scenario.settings(), self.random.getrandbits(32), 0.0)
            for _ in range(scenario.nodes)
        ]
        traffic = (math.exp(self.random.gauss(0.0, scenario.traffic_sigma)) for _ in self.nodes)
        self._cumulative_traffic = list(itertools.accumulate(traffic))
        self._notified = [False] * scenario.nodes  # of the backends in slow start
        self._request_numbers = itertools.count()
        self.requests: dict[str, SimulatedRequest] = {}
        self.clients: list[SimulatedClient] = []
        self.counted_attempts = 0
        self.warming: list[SimulatedBackend] = []
        self._schedule_start()

    def _schedule_start(self) -> None:
        endpoints = tuple(backend.endpoint() for backend in self.initial_backends)
        initial_list = MembershipUpdate(UpdateKind.CACHED, endpoints)
        for node in range(self.scenario.nodes):
            self.schedule(
                self.random.uniform(0.0, INITIAL_LIST_DELAY_MS), self.handle_event, node, initial_list
            )
        self.schedule(0.0, self.create_client)
        self.schedule(self.scenario.start_ms, self.begin_slow_start)

    @property
    def now_ms(self) -> float:
        """Model time."""
        return self.queue.now_ms

    def schedule(self, delay_ms: float, action: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """See `EventQueue.schedule`."""
        self.queue.schedule(delay_ms, action, *arguments)

    def run(self) -> RunMetrics:
        """Run the scenario to its end."""
        end_ms = self.scenario.seconds * 1000.0
        self.queue.run_until(end_ms)
        return run_metrics(self.warming, self.clients, self.counted_attempts, end_ms)

    def total_core_speed(self) -> float:
        """Return the speed of all cores together, in standard cores."""
        return BACKEND_CORES * sum(backend.core_speed for backend in self.initial_backends)

    def create_client(self) -> None:
        """Create a client, and schedule the next one."""
        scenario = self.scenario
        rate = self.capacity * scenario.load  # a millisecond
        if scenario.start_ms <= self.now_ms < scenario.start_ms + BURST_MS:
            rate *= scenario.burst_factor
        service_class = self.random.choices(list(TRAFFIC_MIX), list(TRAFFIC_MIX.values()))[0]
        work_ms = max(MIN_WORK_MS, self.random.expovariate(1.0 / MEAN_WORK_MS[service_class]))
        client = SimulatedClient(service_class, self.now_ms, work_ms)
        client.counted = self.now_ms >= scenario.start_ms
        self.clients.append(client)
        self.start_client_attempt(client)
        self.schedule(self.random.expovariate(rate), self.create_client)

    def start_client_attempt(self, client: SimulatedClient) -> None:
        """Have a client send its request, once more or for the first time, if it has time left."""
        client.attempts += 1
        timeout_ms = CLASSES_BY_NAME[client.service_class].client_timeout_ms
        remaining_ms = client.created_ms + timeout_ms - self.now_ms
        if remaining_ms > MIN_REMAINING_MS:
            attempt_timeout_ms = ATTEMPT_TIMEOUT_FRACTION * timeout_ms
            self.submit(client, self.now_ms + min(remaining_ms, attempt_timeout_ms))

    def submit(self, client: SimulatedClient, deadline_ms: float) -> None:
        """Send a client's request to a node."""
        request_id = f"q{next(self._request_numbers)}"
        node = self.random.choices(range(self.scenario.nodes), cum_weights=self._cumulative_traffic)[0]
        self.requests[request_id] = SimulatedRequest(client)
        self.handle_event(node, IncomingRequest(request_id, client.service_class, deadline_ms))

    def finish_request(self, request_id: str, outcome: FinalOutcome) -> None:
        """Take a node's final answer to a request."""
        client = self.requests[request_id].client
        client.last_outcome = outcome
        if outcome is FinalOutcome.SERVED:
            client.served_ms = min(client.served_ms, self.now_ms)
            return
        # A failed request may have run, so only an idempotent or keyed one is attempted again.
        retriable = outcome is FinalOutcome.REJECTED or client.service_class != "post"
        if retriable and client.attempts < self.scenario.client_attempts:
            delay_ms = self.scenario.client_retry_delay_ms + CLIENT_REACTION_MS
            self.schedule(delay_ms, self.start_client_attempt, client)

    def handle_event(self, node: int, event: Event) -> None:
        """Give an event to a node's policy and carry out its actions."""
        for action in self.nodes[node].handle(self.now_ms, event):
            match action:
                case Send():
                    self.send_attempt(node, action)
                case Reject(request_id=request_id):
                    self.finish_request(request_id, FinalOutcome.REJECTED)
                case Fail(request_id=request_id):
                    self.finish_request(request_id, FinalOutcome.FAILED)
                case Cancel():
                    attempt = self.requests[action.request_id].attempts[action.attempt]
                    self.schedule(
                        0.0, self.end_attempt, attempt, AttemptEnd(AttemptResult.CANCELLED, done=True)
                    )
                case StartTimer():
                    self.schedule(action.delay_ms, self.handle_event, node, TimerFired(action.name))

    def send_attempt(self, node: int, action: Send) -> None:
        """Send an attempt to a backend."""
        request = self.requests[action.request_id]
        attempt = SimulatedAttempt(
            node,
            action.request_id,
            len(request.attempts),
            self.backends[action.endpoint],
            self.now_ms,
            action.timeout_ms,
            request.client,
        )
        request.attempts.append(attempt)
        self.counted_attempts += request.client.counted
        self.schedule(NETWORK_DELAY_MS, self.reach_backend, attempt)
        timeout = AttemptEnd(AttemptResult.TIMEOUT, done=False)
        self.schedule(action.timeout_ms, self.end_attempt, attempt, timeout)

    def end_attempt(self, attempt: SimulatedAttempt, end: AttemptEnd) -> None:
        """Give an attempt's outcome to its node, unless it has had one."""
        if not attempt.pending:
            return
        attempt.pending = False
        if end.result is AttemptResult.OK:
            self.finish_request(attempt.request_id, FinalOutcome.SERVED)
        outcome = AttemptOutcome(
            attempt.request_id,
            attempt.number,
            attempt.backend.address,
            end.result,
            self.now_ms - attempt.sent_ms,
            end.done,
            end.load_report,
        )
        self.handle_event(attempt.node, outcome)

    def reach_backend(self, attempt: SimulatedAttempt) -> None:
        """Have a backend take an attempt: work on it, queue it or reject it."""
        backend = attempt.backend
        if not backend.up:
            self.end_after_delay(attempt, AttemptEnd(AttemptResult.CONNECT_FAILED, done=False))
            return
        work = attempt.client.work_ms / AVERAGE_WORK_MS
        backend.arrivals.append(BackendArrival(self.now_ms, work, self._notified[attempt.node]))
        if backend.in_flight >= BACKEND_CORES * (ACTIVE_PER_CORE + QUEUED_PER_CORE):
            rejection = AttemptEnd(AttemptResult.REJECTED, done=False, load_report=self.load_report(backend))
            self.end_after_delay(attempt, rejection)
        elif backend.busy_cores < BACKEND_CORES:
            self._start_work(attempt)
        else:
            backend.queue.append(attempt)

    def _start_work(self, attempt: SimulatedAttempt) -> None:
        backend = attempt.backend
        backend.busy_cores += 1
        duration_ms = attempt.client.work_ms / backend.speed(self.now_ms)
        self.schedule(duration_ms, self._finish_work, attempt, backend.incarnation)

    def _finish_work(self, attempt: SimulatedAttempt, incarnation: int) -> None:
        backend = attempt.backend
        if incarnation != backend.incarnation:
            return
        backend.busy_cores -= 1
        if backend.queue:
            self._start_work(backend.queue.popleft())
        self.respond(attempt)

    def respond(self, attempt: SimulatedAttempt) -> None:
        """Send the response of a backend whose own work on an attempt is done."""
        succeeded = self.random.random() >= self.scenario.error_fraction
        result = AttemptResult.OK if succeeded else AttemptResult.ERROR
        load_report = self.load_report(attempt.backend)
        self.end_after_delay(attempt, AttemptEnd(result, done=succeeded, load_report=load_report))

    def end_after_delay(self, attempt: SimulatedAttempt, end: AttemptEnd) -> None:
        """End an attempt after the network delay back to its node."""
        self.schedule(NETWORK_DELAY_MS, self.end_attempt, attempt, end)

    def load_report(self, backend: SimulatedBackend) -> LoadReport | None:
        """Return a backend's load report, if backends report; it may be a little old."""
        if self.now_ms - backend.reported_ms > LOAD_REPORT_MAX_AGE_MS:
            backend.reported_ms = self.now_ms
            backend.reported_in_flight = backend.in_flight
        return LoadReport(in_flight=float(backend.reported_in_flight))

    def begin_slow_start(self) -> None:
        """Replace some backends by new ones, or restart them; degrade some of the others."""
        scenario = self.scenario
        fraction = scenario.slow_start_fraction
        count = 0 if scenario.without_slow_start else max(1, round(fraction * scenario.servers))
        replaced = self.random.sample(self.initial_backends, count)
        others = [backend for backend in self.initial_backends if backend not in replaced]
        degraded_count = round(scenario.degraded_fraction * len(others))
        for backend in self.random.sample(others, degraded_count):
            backend.slowdown = DEGRADED_SLOWDOWN
        if scenario.restart:
            self._stop_backends(replaced)
            self.schedule(RESTART_MS, self._bring_up, replaced, [])
            return
        started = [SimulatedBackend("n" + backend.address, backend.core_speed) for backend in replaced]
        self.backends.update({backend.address: backend for backend in started})
        self._bring_up(started, replaced)

    def _stop_backends(self, stopped: Sequence[SimulatedBackend]) -> None:
        for backend in stopped:
            backend.stop()
        pending = [
            attempt
            for request in self.requests.values()
            for attempt in request.attempts
            if attempt.pending and attempt.backend in stopped
        ]
        for attempt in pending:
            self.end_after_delay(attempt, AttemptEnd(AttemptResult.RESET, done=False))

    def _bring_up(self, started: list[SimulatedBackend], removed: list[SimulatedBackend]) -> None:
        self.warming = started
        for backend in started:
            backend.up = True
            backend.started_ms = self.now_ms
            backend.arrivals.clear()
        changed = (
            *(backend.endpoint() for backend in started),
            *(backend.endpoint(EndpointState.REMOVED) for backend in removed),
        )
        for node in range(self.scenario.nodes):
            delay_ms = self.random.uniform(*self.scenario.notification_delay_ms)
            self.schedule(delay_ms, self._notify, node, changed)

    def _notify(self, node: int, changed: tuple[Endpoint, ...]) -> None:
        self._notified[node] = True
        self.handle_event(node, MembershipUpdate(UpdateKind.DELTA, changed))


def simulate(scenario: Scenario, seed: int) -> RunMetrics:
    """Run a scenario in model time; the same seed gives the same metrics."""
    return FleetSimulation(scenario, seed).run()
