"""Admission control: requests are admitted or rejected on arrival, by priority and attempts in flight.

The cursor table holds a threshold for the cursor's position and the request's priority. The remainder is this
threshold minus the weight of the proxy's attempts in flight at ready endpoints, including abandoned ones. A
request is admitted with the remainder as its probability: always from 1 upwards, never at 0 or less.

Once per period, the cursor moves by at most one position: to the right, where thresholds are lower, if the
load of the pool is above its target, and else back to the left; a move right waits for outcomes of attempts
(cursor_table.py). Thresholds fall faster for lower priorities, so that these are rejected first. All
thresholds from `MIN_THRESHOLD` upwards are in proportion to the full threshold, which follows from the rate
at which the pool completes attempts.
"""

from __future__ import annotations

import math
from random import Random

from loadbalancer.events import IncomingRequest
from loadbalancer.policy.completion_rate import CompletionRate
from loadbalancer.policy.cursor_table import CursorTable, cursor_period_ms
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.latency_baseline import LatencyBaseline
from loadbalancer.policy.load_estimator import PoolLoad
from loadbalancer.policy.parameters import (
    FULL_THRESHOLD_DEVIATIONS,
    FULL_THRESHOLD_HEADROOM_FRACTION,
    MAX_IN_FLIGHT_PER_ENDPOINT,
    MIN_IN_FLIGHT_PER_ENDPOINT,
    RETRY_PRIORITY_FACTOR,
    STARTUP_IN_FLIGHT_PER_ENDPOINT,
)
from loadbalancer.policy.tenant_quota import quotas_by_tenant
from loadbalancer.settings import ServiceClass, Settings


class FullThreshold:
    """The threshold of the weight in flight for the highest priority while the pool is not overloaded.

    By Little's law (the number in flight is the rate times the latency), it is the pool's peak completion
    rate times an allowed latency, limited to bounds per endpoint. `FULL_THRESHOLD_DEVIATIONS` standard
    deviations of a Poisson count of this size are added.
    """

    def __init__(
        self,
        replicas: int,
        endpoints: EndpointSet,
        latency: LatencyBaseline,
        completion_rate: CompletionRate,
    ) -> None:
        self._replicas = replicas
        self._endpoints = endpoints
        self._latency = latency
        self._completion_rate = completion_rate

    def value(self, ready_count: int) -> float:
        """The threshold with this number of ready endpoints, as a weight in flight."""
        # With a minimum of one attempt per replica, the sum over many replicas would be above any threshold
        # that limits the load. The minimum therefore applies to all replicas together, and each has an equal
        # part of it. Trade-off: the part can be less than one attempt.
        is_starting = self._completion_rate.is_starting()
        minimum = STARTUP_IN_FLIGHT_PER_ENDPOINT if is_starting else MIN_IN_FLIGHT_PER_ENDPOINT
        latency_fraction = self._latency.between_baseline_and_objective(FULL_THRESHOLD_HEADROOM_FRACTION)
        sustainable = self._completion_rate.sustainable_in_flight(latency_fraction)
        in_flight = max(sustainable, ready_count * minimum / self._replicas)
        if self._endpoints.reports_in_flight():
            in_flight = min(in_flight, ready_count * MAX_IN_FLIGHT_PER_ENDPOINT / self._replicas)
        return in_flight + FULL_THRESHOLD_DEVIATIONS * math.sqrt(in_flight)


class AdmissionControl:
    """Admits or rejects requests by priority weight and weight in flight."""

    def __init__(
        self,
        settings: Settings,
        random: Random,
        endpoints: EndpointSet,
        full_threshold: FullThreshold,
        now_ms: float,
    ) -> None:
        self._settings = settings
        self._random = random
        self._endpoints = endpoints
        self._full_threshold = full_threshold
        self._quotas = quotas_by_tenant(settings, now_ms)
        self._period_ms = cursor_period_ms(settings)
        self._max_priority_weight = (
            max(service_class.priority_weight for service_class in settings.classes) or 1.0
        )
        self._table = CursorTable()

    @property
    def cursor(self) -> int:
        """The position of the cursor in its table; 0 admits the most."""
        return self._table.cursor

    @property
    def last_position(self) -> int:
        """The position of the cursor that admits the least."""
        return self._table.last_position

    def move_cursor(self, pool_load: PoolLoad) -> None:
        """Move the cursor in accordance with the load of the period that ends."""
        self._table.move(pool_load)

    def admit(self, now_ms: float, request: IncomingRequest, service_class: ServiceClass) -> bool:
        """Whether a request is admitted; takes a token from its tenant's quota."""
        in_flight = self._endpoints.in_flight()
        over_quota = not self.take_quota_token(now_ms, request.tenant)
        priority_weight = self.priority_weight(request, service_class, over_quota=over_quota)
        remaining = self.threshold(priority_weight, len(self._endpoints.ready)) - in_flight
        # One attempt from each of hundreds of replicas is enough to keep the pool congested. A replica with a
        # threshold below 1 must therefore not admit every request while it has no attempt in flight, and a
        # remainder below 1 is the probability of admission. Trade-off: at very low thresholds, the
        # admission of a single request is random.
        return remaining >= 1.0 or self._random.random() < remaining

    def take_quota_token(self, now_ms: float, tenant: str | None) -> bool:
        """Take a token from a tenant's quota; returns whether its request is within the quota."""
        quota = self._quotas.get(tenant or "")
        return quota is None or quota.take_token(now_ms)

    def priority_weight(
        self, request: IncomingRequest, service_class: ServiceClass, *, over_quota: bool
    ) -> float:
        """The class's priority weight over the highest one, reduced for retries and above the quota."""
        weight = service_class.priority_weight / self._max_priority_weight
        if request.is_retry:
            weight *= RETRY_PRIORITY_FACTOR
        return weight * self._settings.over_quota_weight if over_quota else weight

    def threshold(self, priority_weight: float, ready_count: int) -> float:
        """The threshold at the cursor for a priority weight with this number of ready endpoints."""
        return self._table.threshold(self._full_threshold.value(ready_count), priority_weight)

    def retry_after_ms(self) -> float:
        """The Retry-After of a rejection, which grows with the cursor's position; 0 to send none."""
        if not self._settings.sends_retry_after or self._settings.tier != 0:
            return 0.0
        return min(self._settings.max_retry_after_ms, self._period_ms * self._table.cursor)
