"""The backends of a simulated service: their queues, their work and their responses."""

from __future__ import annotations

from benchmarks.models.fleet_entities import (
    AttemptEnd,
    BackendArrival,
    SimulatedAttempt,
    SimulatedBackend,
)
from benchmarks.models.fleet_scenario import (
    ACTIVE_PER_CORE,
    AVERAGE_WORK_MS,
    BACKEND_CORES,
    CORE_SPEEDS,
    LOAD_REPORT_MAX_AGE_MS,
    NETWORK_DELAY_MS,
    QUEUED_PER_CORE,
)
from benchmarks.models.simulation_context import SimulationContext
from loadbalancer.events import AttemptResult, LoadReport


class SimulatedBackends:
    """All backends of the service, by address; processes the attempts that reach them."""

    def __init__(self, context: SimulationContext) -> None:
        self.context = context
        self.initial = [
            SimulatedBackend(f"s{index}", CORE_SPEEDS[index % len(CORE_SPEEDS)])
            for index in range(context.scenario.servers)
        ]
        self.by_address = {backend.address: backend for backend in self.initial}

    def total_core_speed(self) -> float:
        """Return the total speed of all cores, in standard cores."""
        return BACKEND_CORES * sum(backend.core_speed for backend in self.initial)

    def receive(self, attempt: SimulatedAttempt) -> None:
        """Handle an attempt that reaches its backend: start its work, queue it or reject it."""
        backend = attempt.backend
        if not backend.up:
            self.end_after_delay(attempt, AttemptEnd(AttemptResult.CONNECT_FAILED, done=False))
            return
        work = attempt.client.work_ms / AVERAGE_WORK_MS
        arrival = BackendArrival(self.context.queue.now_ms, work, attempt.node.notified)
        backend.arrivals.append(arrival)
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
        duration_ms = attempt.client.work_ms / backend.speed(self.context.queue.now_ms)
        self.context.queue.schedule(duration_ms, self._finish_work, attempt, backend.incarnation)

    def _finish_work(self, attempt: SimulatedAttempt, incarnation: int) -> None:
        backend = attempt.backend
        if incarnation != backend.incarnation:
            return
        backend.busy_cores -= 1
        if backend.queue:
            self._start_work(backend.queue.popleft())
        self.respond(attempt)

    def respond(self, attempt: SimulatedAttempt) -> None:
        """Send the response to an attempt on which its backend has finished its work."""
        succeeded = self.context.random.random() >= self.context.scenario.error_fraction
        result = AttemptResult.OK if succeeded else AttemptResult.ERROR
        load_report = self.load_report(attempt.backend)
        self.end_after_delay(attempt, AttemptEnd(result, done=succeeded, load_report=load_report))

    def end_after_delay(self, attempt: SimulatedAttempt, end: AttemptEnd) -> None:
        """End an attempt after the network delay back to its node."""
        self.context.queue.schedule(NETWORK_DELAY_MS, attempt.node.end_attempt, attempt, end)

    def load_report(self, backend: SimulatedBackend) -> LoadReport | None:
        """Return a backend's load report, which is at most `LOAD_REPORT_MAX_AGE_MS` old."""
        now_ms = self.context.queue.now_ms
        if now_ms - backend.reported_ms > LOAD_REPORT_MAX_AGE_MS:
            backend.reported_ms = now_ms
            backend.reported_in_flight = backend.in_flight
        return LoadReport(in_flight=float(backend.reported_in_flight))
