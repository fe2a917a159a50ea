"""Endpoint selection: a few endpoints are sampled by capacity; the one of the lowest rank gets the attempt.

The rank of an endpoint is the expected cost of an attempt there. If slow start excludes all of the sample,
the attempt goes to the endpoint of the lowest rank among all candidates that have warmed up.
"""

from __future__ import annotations

import math
from random import Random

from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.latency_baseline import ClassLatency
from loadbalancer.policy.parameters import (
    CROSS_ZONE_ATTEMPTS,
    FAILURE_DECAY_MS,
    FAILURE_EXPONENT,
    LATENCY_DECAY_MS,
    MAX_FAILURE_RATIO,
    QUEUE_REPORT_DECAY_MS,
    RANK_JITTER,
    SAMPLED_ENDPOINTS,
)
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint
from loadbalancer.settings import Settings


class EndpointSelector:
    """Selects the endpoint of an attempt by the power of d choices: the best of d sampled at random."""

    def __init__(
        self,
        settings: Settings,
        random: Random,
        endpoints: EndpointSet,
        class_latency: ClassLatency,
        slow_start: SlowStart,
    ) -> None:
        self._random = random
        self._endpoints = endpoints
        self._class_latency = class_latency
        self._slow_start = slow_start
        self._zone = settings.zone
        self._cross_zone_attempts = CROSS_ZONE_ATTEMPTS * settings.cross_zone_price
        # The queue assumed at a warmed-up endpoint without a fresh load report, whatever its capacity.
        self._assumed_queue = 0.0

    def select(
        self, now_ms: float, candidates: list[TrackedEndpoint], service_class: str, weight: float
    ) -> TrackedEndpoint | None:
        """The endpoint for an attempt; None if no candidate may get it."""
        if not candidates:
            return None
        current_capacity = self._slow_start.current_capacity
        capacities = [current_capacity(now_ms, endpoint) for endpoint in candidates]
        sampled, candidates_capacity = candidates, 0.0
        if len(candidates) > SAMPLED_ENDPOINTS:
            # If all replicas ranked all endpoints of a large pool by the same outdated load reports, they
            # would select the same one. Each ranks a random sample only. Trade-off: the endpoint with the
            # lowest rank is often not in the sample.
            sampled = list(dict.fromkeys(self._random.choices(candidates, capacities, k=SAMPLED_ENDPOINTS)))
            candidates_capacity = sum(capacities)
        eligible = self._slow_start.draw_eligible(now_ms, sampled, candidates_capacity, weight)
        if not eligible:
            eligible = [item for item in candidates if self._slow_start.is_warmed_up(now_ms, item)]
        return min(eligible, key=lambda endpoint: self._rank(now_ms, endpoint, service_class), default=None)

    def update_assumed_queue(self, now_ms: float, reporting: list[TrackedEndpoint]) -> None:
        """Set the queue that is assumed at endpoints without a fresh load report.

        It is the total reported queue divided by the total capacity of the reporting endpoints, times the
        mean full capacity of the pool.
        """
        capacity = sum([self._slow_start.current_capacity(now_ms, endpoint) for endpoint in reporting])
        if not capacity:
            self._assumed_queue = 0.0
            return
        ready = self._endpoints.ready
        mean_full_capacity = sum([endpoint.full_capacity for endpoint in ready]) / len(ready)
        reported_queue = sum([endpoint.reported_queue for endpoint in reporting])
        self._assumed_queue = reported_queue / capacity * mean_full_capacity

    def _rank(self, now_ms: float, endpoint: TrackedEndpoint, service_class: str) -> float:
        """The expected latency times the queue position, divided by the success factor."""
        queue_position = endpoint.in_flight + self._expected_queue(now_ms, endpoint) + 1.0
        queue_position += 0.0 if endpoint.listed.zone == self._zone else self._cross_zone_attempts
        cost = self._expected_latency(now_ms, endpoint) * queue_position
        cost /= self._success_factor(now_ms, endpoint, service_class)
        return cost * (1.0 + RANK_JITTER * (self._random.random() - 0.5))

    def _expected_latency(self, now_ms: float, endpoint: TrackedEndpoint) -> float:
        """Ratio of latency to the mean of its class; without new measurements, it decays to 1, the mean."""
        expected = 1.0
        if endpoint.relative_latency is not None:
            decay = math.exp((endpoint.measured_ms - now_ms) / LATENCY_DECAY_MS)
            expected += (endpoint.relative_latency - 1.0) * decay
        if endpoint.outstanding:
            # An endpoint that accepts attempts and never responds would keep its low rank until the first
            # time-outs. The age of its oldest outstanding attempt counts as its latency if none has been
            # measured since that attempt was sent. Trade-off: one slow attempt raises the rank of an endpoint
            # without other traffic.
            oldest = next(iter(endpoint.outstanding))
            if endpoint.measured_ms <= oldest.sent_ms:
                mean_ms = self._class_latency.mean_ms(oldest.service_class)
                return max(expected, (now_ms - oldest.sent_ms) / mean_ms) if mean_ms else expected
        return expected

    def _expected_queue(self, now_ms: float, endpoint: TrackedEndpoint) -> float:
        """The reported queue, which decays to the assumed queue with the age of the report."""
        # If the assumed queue were in proportion to an endpoint's capacity, the smallest endpoints of a
        # sample would have the lowest rank. In large pools, where most endpoints have no fresh report, they
        # would get several times their share and be saturated while large ones are idle. The assumed queue is
        # therefore the same for endpoints of every capacity, and reduced only by what an endpoint still lacks
        # in slow start.
        current_capacity = self._slow_start.current_capacity(now_ms, endpoint)
        assumed = self._assumed_queue * current_capacity / endpoint.full_capacity
        decay = math.exp((endpoint.reported_ms - now_ms) / QUEUE_REPORT_DECAY_MS)
        return assumed + (endpoint.reported_queue - assumed) * decay

    def _success_factor(self, now_ms: float, endpoint: TrackedEndpoint, service_class: str) -> float:
        """A power of the success ratio of a service class at an endpoint.

        New endpoints can fail nine in ten attempts of one class while they serve the other classes. With one
        ratio for all classes, they would continue to get attempts of that class, which must not be repeated.
        Each class therefore has its own ratio. Trade-off: a fault that affects all classes lowers the ratio
        of each class only after failures of that class.
        """
        failures = endpoint.failure_ratios.get(service_class)
        if failures is None:
            return 1.0
        ratio = failures.value * math.exp((failures.updated_ms - now_ms) / FAILURE_DECAY_MS)
        return math.pow(1.0 - min(MAX_FAILURE_RATIO, ratio), FAILURE_EXPONENT)
