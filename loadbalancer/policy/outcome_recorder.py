"""Records the outcome of an attempt in the state of its endpoint and in the estimates of the pool."""

from __future__ import annotations

from loadbalancer.events import AttemptOutcome, AttemptResult
from loadbalancer.policy.attempts import AttemptState
from loadbalancer.policy.completion_rate import CompletionRate
from loadbalancer.policy.latency_baseline import ClassLatency, LatencyBaseline
from loadbalancer.policy.load_signals import OutcomeCounter
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint
from loadbalancer.settings import ServiceClass


class OutcomeRecorder:
    """Updates the endpoint and the pool's latency, completion rate and outcome counts with each outcome."""

    def __init__(
        self,
        class_latency: ClassLatency,
        latency: LatencyBaseline,
        completion_rate: CompletionRate,
        outcome_counter: OutcomeCounter,
    ) -> None:
        self._class_latency = class_latency
        self._latency = latency
        self._completion_rate = completion_rate
        self._outcome_counter = outcome_counter

    def record(
        self,
        now_ms: float,
        service_class: ServiceClass,
        endpoint: TrackedEndpoint,
        attempt: AttemptState,
        outcome: AttemptOutcome,
    ) -> None:
        """End an attempt at its endpoint; update the endpoint and the pool by its result and latency."""
        result, name = outcome.result, service_class.name
        expected_latency_ms = self._class_latency.mean_ms(name) or 0.0
        endpoint.end_attempt(attempt, result, now_ms + expected_latency_ms)
        self.observe(service_class, result, outcome.latency_ms, attempt.weight)
        match result:
            case AttemptResult.CANCELLED | AttemptResult.NOT_SENT:
                return
            case AttemptResult.REJECTED:
                endpoint.observe_rejection(now_ms)
                return
        endpoint.observe_result(now_ms, name, result)
        if result.measures_latency:
            endpoint.observe_latency(now_ms, self._class_latency.relative(name, outcome.latency_ms))

    def observe(
        self, service_class: ServiceClass, result: AttemptResult, latency_ms: float, weight: float
    ) -> None:
        """Update the estimates of the pool with the outcome of an attempt."""
        match result:
            case AttemptResult.NOT_SENT:
                return
            case AttemptResult.CANCELLED:
                self._observe_cancelled(service_class, latency_ms)
                return
        self._outcome_counter.observe(result)
        if result.measures_latency:
            self._latency.observe(latency_ms / service_class.latency_objective_ms)
        if result is AttemptResult.OK:
            self._class_latency.observe(service_class.name, latency_ms)
            self._completion_rate.observe(service_class, weight)

    def _observe_cancelled(self, service_class: ServiceClass, latency_ms: float) -> None:
        # Clients disconnect from slow requests; without their attempts, the latency of a congested pool would
        # be estimated too low. A cancelled attempt that took longer than the mean of its class counts with
        # its duration.
        mean_ms = self._class_latency.mean_ms(service_class.name)
        if mean_ms is not None and latency_ms > mean_ms:
            self._latency.observe(latency_ms / service_class.latency_objective_ms)
