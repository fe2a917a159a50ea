"""Slow start: the capacity of warming endpoints and the attempts that they may get."""

from __future__ import annotations

from random import Random

from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.parameters import (
    MIN_POOL_CAPACITY_FRACTION,
    MIN_USED_TOKENS,
    OVERLOAD_FACTOR_FRACTION,
    PEAK_RATE_DECAY_MS,
    SAMPLED_ENDPOINTS,
)
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint
from loadbalancer.settings import Settings


class SlowStart:
    """Keeps all replicas together from overloading an endpoint that is warming up."""

    def __init__(self, settings: Settings, random: Random, endpoints: EndpointSet, now_ms: float) -> None:
        self._random = random
        self._endpoints = endpoints
        self._ramp_ms = settings.slow_start_ms
        self._initial_fraction = settings.slow_start_initial_fraction
        self._ramp_fraction = 1.0 - settings.slow_start_initial_fraction
        self._allowed_factor = OVERLOAD_FACTOR_FRACTION * settings.overload_factor
        self._window_ms = settings.overload_window_ms
        # Weight of completed attempts per ms, long-term; not learned while most of the pool is warming up.
        self._usual_rate = 0.0
        self._usual_rate_measured_ms = 0.0
        # A token bucket, filled at the usual rate: the attempts for which warming endpoints may be sampled.
        self._tokens = 0.0
        self._refilled_ms = now_ms

    def is_warmed_up(self, now_ms: float, endpoint: TrackedEndpoint) -> bool:
        """Whether the endpoint has its full capacity."""
        started_ms = endpoint.listed.started_ms
        return started_ms is None or now_ms - started_ms >= self._ramp_ms

    def current_capacity(self, now_ms: float, endpoint: TrackedEndpoint) -> float:
        """A lower bound of the capacity that the endpoint has now; it rises linearly during slow start."""
        started_ms = endpoint.listed.started_ms
        if started_ms is None or now_ms - started_ms >= self._ramp_ms:
            return endpoint.full_capacity
        age_ms = max(0.0, now_ms - started_ms)
        return endpoint.full_capacity * (
            self._initial_fraction + self._ramp_fraction * age_ms / self._ramp_ms
        )

    def draw_eligible(
        self,
        now_ms: float,
        sampled: list[TrackedEndpoint],
        sampled_capacity: float,
        weight: float,
    ) -> list[TrackedEndpoint]:
        """Draw which sampled endpoints may get an attempt; takes tokens if most of the pool is warming up.

        Args:
            now_ms: the time of the attempt.
            sampled: the endpoints sampled for it.
            sampled_capacity: the capacity that they were sampled from; 0 if no sample was taken.
            weight: what the attempt counts in flight.
        """
        is_warmed_up = self.is_warmed_up
        if all([is_warmed_up(now_ms, endpoint) for endpoint in sampled]):
            return sampled
        pool_capacity, min_capacity = self._pool_capacities(now_ms)
        if pool_capacity >= min_capacity or self._usual_rate <= 0.0:
            # Guard: an endpoint's share is its capacity over the pool's. While a whole pool is warming up,
            # the shares add up to all attempts, which the pool can't bear yet. The pool therefore counts with
            # at least the minimum capacity. Trade-off: attempts are held back that the pool could bear.
            pool_capacity = max(pool_capacity, min_capacity)
        else:
            # An attempt over the usual rate sees a larger pool, so that its chance is lower.
            pool_capacity = min_capacity * weight / max(self._take_tokens(now_ms, weight), MIN_USED_TOKENS)
        is_eligible = self.is_eligible
        return [item for item in sampled if is_eligible(now_ms, item, sampled_capacity, pool_capacity)]

    def is_eligible(
        self, now_ms: float, endpoint: TrackedEndpoint, sampled_capacity: float, pool_capacity: float
    ) -> bool:
        """Whether a sampled endpoint may get the attempt; a random draw if it is warming up.

        Guard: attempts of all replicas together overloaded a warming endpoint when each replica counted its
        own. Sampling from `sampled_capacity` (0: no sample was taken) gives it `SAMPLED_ENDPOINTS` times its
        share; the chance here leaves it a multiple of its share of `pool_capacity`. A random draw for each
        attempt keeps the sum to the share with any number of replicas. Trade-off: the number in one window
        varies.
        """
        if self.is_warmed_up(now_ms, endpoint):
            return True
        capacity = self.current_capacity(now_ms, endpoint)
        chance = min(1.0, SAMPLED_ENDPOINTS * capacity / sampled_capacity) if sampled_capacity else 1.0
        return self._random.random() * chance * pool_capacity < self._allowed_factor * capacity

    def update_usual_rate(self, now_ms: float, completed_weight: float, period_ms: float) -> None:
        """Update the usual rate with the weight completed in a period, unless most are warming up."""
        pool_capacity, min_capacity = self._pool_capacities(now_ms)
        if pool_capacity < min_capacity:
            return
        self._usual_rate_measured_ms = min(PEAK_RATE_DECAY_MS, self._usual_rate_measured_ms + period_ms)
        gain = min(1.0, period_ms / self._usual_rate_measured_ms)
        self._usual_rate += gain * (completed_weight / period_ms - self._usual_rate)
        self._tokens = 0.0
        self._refilled_ms = now_ms

    def _take_tokens(self, now_ms: float, weight: float) -> float:
        """Take up to `weight` tokens from the bucket, which holds one overload window; returns the number.

        Guard: while most endpoints were warming up, clients retried at once after each rejection. With a new
        draw for each retry, warming endpoints got several times what they can bear. Attempts over the usual
        rate get no tokens and so nearly no chance. Trade-off: new traffic waits until the pool has warmed up.
        """
        max_tokens = self._usual_rate * self._window_ms
        tokens = self._tokens + self._usual_rate * (now_ms - self._refilled_ms)
        used = min(weight, tokens, max_tokens)
        self._tokens = min(tokens, max_tokens) - used
        self._refilled_ms = now_ms
        return used

    def _pool_capacities(self, now_ms: float) -> tuple[float, float]:
        """The current capacity of the ready endpoints, and the one below which most count as warming up."""
        ready = self._endpoints.ready
        capacity = sum([self.current_capacity(now_ms, endpoint) for endpoint in ready])
        full_capacity = sum([endpoint.full_capacity for endpoint in ready])
        return capacity, MIN_POOL_CAPACITY_FRACTION * full_capacity
